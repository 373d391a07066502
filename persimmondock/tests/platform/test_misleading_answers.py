"""Answers of requests that have run, with statuses that tell callers that they have not."""

from __future__ import annotations

import pytest

from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason, Verdict
from persimmondock.platform import _headers
from persimmondock.tests.live_site import LiveSite, make_config, run_site

NOT_RUN = [408, 421, 429, 503]
REMOTE, LOCAL = 0, 2  # indices of VMs: without and with a backend server of the service
SIZES = [0, 540_000]  # answers of the second size are streamed


def make_answer(status: int) -> Answered:
    return Answered(Answer(status, (), b"body"))


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("status", [200, 201, 204, 301, 400, 404, 409, 500, 502, 504, *NOT_RUN])
def test_an_answer_says_not_run_only_of_an_idempotent_request(
    status: int, idempotent: bool
) -> None:
    """Guards against a request that may run once and is sent again after a failed run."""
    answer = make_answer(status)
    misleading = status in NOT_RUN and not idempotent
    expected = MayHaveRun(Reason.ANSWER_MISLEADING) if misleading else answer
    assert _headers.withhold_misleading_answer(answer, idempotent) == expected


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    "verdict", [NotRun(Reason.OVERLOADED, 100), MayHaveRun(Reason.BACKEND_LOST)], ids=repr
)
def test_other_verdicts_are_told_as_they_are(verdict: Verdict, idempotent: bool) -> None:
    assert _headers.withhold_misleading_answer(verdict, idempotent) is verdict


def fail_all(site: LiveSite, status: int, size: int = 0) -> None:
    for node in site.nodes:
        node.backend.failure_status, node.backend.answer_bytes = status, size


@pytest.mark.parametrize("size", SIZES, ids=["whole", "streamed"])
@pytest.mark.parametrize("index", [REMOTE, LOCAL], ids=["remote", "local"])
async def test_a_failed_run_is_no_refusal_to_a_caller_that_may_send_once(
    index: int, size: int
) -> None:
    """Guards against a request that may run once and is sent again after a failed run."""
    async with run_site() as site:
        for status in (408, 429, 503):
            fail_all(site, status, size)
            found, headers, body = await site.ask(
                site.nodes[index], "/assign/1", attempt=f"b{status}"
            )
            ran = [run for node in site.nodes for run in node.backend.runs]
            assert [run.attempt for run in ran].count(f"b{status}") == 1
            assert (found, body) == (502, b"")
            assert "X-Server-Signature" not in headers and "Retry-After" not in headers
            assert headers["X-Attempt-Id"] == f"b{status}"
        sidecars = [node.daemon.sidecar for node in site.nodes]
        assert sum(len(item.gate.pool.running) for item in sidecars) == 0


@pytest.mark.parametrize("index", [REMOTE, LOCAL], ids=["remote", "local"])
async def test_a_failed_run_of_an_idempotent_request_is_answered_as_the_server_did(
    index: int,
) -> None:
    async with run_site(make_config(route_type="safe")) as site:
        fail_all(site, 503)
        status, headers, body = await site.ask(site.nodes[index], "/assign/1", attempt="s1")
        assert (status, body) == (503, b"answer to s1")
        assert headers["X-Server-Signature"].startswith("signed-by-")


async def test_what_a_withheld_answer_says_of_its_server_binds() -> None:
    """Guards against a limit, or a departure, that is lost with the answer that named it."""
    async with run_site() as site:
        fail_all(site, 503)
        for node in site.nodes:
            node.backend.limit, node.backend.leaving = "40", True
        assert (await site.ask(site.nodes[REMOTE], "/assign/1", attempt="n1"))[0] == 502
        server = next(n for n in site.nodes if any(r.attempt == "n1" for r in n.backend.runs))
        notice = server.daemon.sidecar.gate.notice
        assert (notice.max_per_s, notice.leaving) == (40.0, True)
