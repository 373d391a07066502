"""Translation of the platform's configurations, reports, records and header fields."""

from __future__ import annotations

import json
import re
import struct
import subprocess
import sys
from pathlib import Path

import pytest

import persimmondock
from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_exchange import HttpResponse
from persimmondock._domain.backend_notice import BackendNotice
from persimmondock._domain.backend_report import AnnouncementError
from persimmondock._domain.holdings import (
    GrantedHoldings,
    GrantedRow,
    ReleasedRange,
    ReportedHoldings,
    ReportedRow,
)
from persimmondock._domain.log_position import make_position
from persimmondock._domain.replica import KeyedEntry
from persimmondock._domain.routing_table import RoutingTable, TrafficShare
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason
from persimmondock._ports.backend import (
    GrantAccepted,
    GrantFenced,
    GrantMisdirected,
    GrantOutcome,
    ReleaseFailed,
)
from persimmondock._ports.keyed_log import Records, StoreFailed
from persimmondock._tasks.heartbeat_grants import MAX_ROWS
from persimmondock.platform import _backend, _discovery, _headers, _operator, _store
from persimmondock.standins.site_backend import MAX_REPLY_BYTES
from persimmondock.tests.live_site import make_config
from persimmondock.tests.scripted_server import ScriptedServer
from persimmondock.tests.sites import make_forwarded

SOURCES = Path(persimmondock.__file__).parent
PLATFORM_NAMES = re.compile(
    r"/-/|X-Shard-Key|X-Attempt-Id|X-Timeout-Ms|X-Caller-Service|X-Not-Executed|X-Server-|"
    r"virtual_hosts|traffic_split|target_latency_s|keyed\.op|local_app|heartbeat_url"
)
REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "recife",
    "capacity": 6,
    "state": "ready",
    "cold_s": 0.5,
    "sequence": 4,
    "born": 1000,
}


DEEP = 200_000


def name_briefly(value: object) -> str:
    """Return the name of a parameter that may be too large to be shown."""
    return repr(value)[:24]


# What other writers have left among announcements: nested too deeply, as a whole or in a field.
ODD_BODIES = [
    b"[" * DEEP,
    b"[" * DEEP + b"]" * DEEP,
    b'{"born":' + b"[" * 3_000 + b"]" * 3_000 + b"}",
    b'{"born": 1' + b"0" * 400 + b"}",
    b'{"born": 1e400}',
    b'{"born": NaN}',
    b'{"born": -1}',
    b'{"born": 99999999999999}',
]


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [
        (b"", None),
        (b"{}", None),
        (b'{"born": 7, "sequence": 3}', 7),
    ],
)
def test_a_leave_notice_may_name_the_start_of_its_process(body: bytes, born_ms: int | None) -> None:
    assert _discovery.find_start(body) == born_ms


@pytest.mark.parametrize(
    "body",
    [b"[1]", b"\xff", b'{"born": "7"}', b'{"born": null}', *ODD_BODIES],
    ids=name_briefly,
)
def test_a_leave_notice_that_cannot_be_read_names_no_backend_server(body: bytes) -> None:
    """Guards against a sound backend server that is out for good by bytes of another writer."""
    with pytest.raises(AnnouncementError):
        _discovery.find_start(body)


def test_platform_names_are_used_only_in_the_adapter() -> None:
    outside = [
        path
        for path in SOURCES.rglob("*.py")
        if not {"platform", "tests", "standins"} & set(path.relative_to(SOURCES).parts)
    ]
    found = [str(path) for path in outside if PLATFORM_NAMES.search(path.read_text())]
    assert found == []


def test_the_standard_library_module_platform_stays_importable() -> None:
    """The start command puts the repository's root on ``sys.path``; nothing there may hide it."""
    code = "import platform, persimmondock.platform._daemon; print(platform.python_version())"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=SOURCES.parent, capture_output=True, text=True, check=True
    )
    assert completed.stdout.count(".") == 2


def test_a_daemon_without_settings_exits_with_an_error() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "persimmondock.platform"],
        cwd=SOURCES.parent,
        capture_output=True,
        text=True,
        env={"PATH": "/usr/bin"},
        check=False,
    )
    assert completed.returncode == 2
    assert "event=settings_refused" in completed.stdout
    assert "PERSIMMONDOCK_NODE_FILE" in completed.stdout


# Configurations.


def test_a_configuration_becomes_a_routing_table() -> None:
    config = make_config(
        7, traffic_split=[{"service": "a", "weight": 9}, {"service": "b", "weight": 1}]
    )
    table = _operator.decode_configuration(json.dumps(config).encode())
    route = table.find_route("board.example", "/assign/x")
    assert table.version == 7
    assert route is not None and not route.idempotent
    assert route.shares == (TrafficShare("a", 9.0), TrafficShare("b", 1.0))
    assert table.services["painel"].keyed and not table.services["recepcao"].keyed


@pytest.mark.parametrize(
    ("route_type", "idempotent"),
    [("safe", True), ("download", True), ("unsafe", False), ("new", False), (["safe"], None)],
)
def test_downloads_may_be_repeated_like_safe_requests(
    route_type: object, idempotent: bool | None
) -> None:
    """Guards against downloads that fail with their first backend server.

    Downloads counted as requests that may run once, so none was retried or given up early.
    """
    config = make_config(1, route_type=route_type)
    route = _operator.decode_configuration(json.dumps(config).encode()).find_route(
        "board.example", "/assign/x"
    )
    assert route is not None
    if idempotent is None:
        assert not route.shares
    else:
        assert route.idempotent == idempotent


def test_the_longest_prefix_wins() -> None:
    config = make_config(1, path_prefix="/view/deep/")
    table = _operator.decode_configuration(json.dumps(config).encode())
    found = [table.find_route("board.example", p) for p in ("/view/deep/x", "/view/x", "/no")]
    assert [route and route.path_prefix for route in found] == ["/view/deep/", "/view/", None]


@pytest.mark.parametrize(
    ("data", "place"),
    [(b"{", "body"), (b"[]", "version"), (b'{"version": null}', "version"), (b"", "body")],
)
def test_an_invalid_configuration_names_the_place(data: bytes, place: str) -> None:
    with pytest.raises(_operator.ConfigurationUnreadableError, match=place):
        _operator.decode_configuration(data)


def list_services(table: RoutingTable, path: str) -> list[str] | None:
    """Return the services that may get a request, or None without a route."""
    route = table.find_route("board.example", path)
    return None if route is None else [share.service for share in route.shares]


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"target_latency_s": "x"}, r"paths[1]"),
        ({"service": None}, r"paths[1]"),
        ({"service": 7}, r"paths[1]"),
        ({"traffic_split": [{"service": "a"}]}, r"paths[1]"),
        ({"traffic_split": "a"}, r"paths[1]"),
        ({"max_attempts": []}, r"paths[1]"),
        ({"path_prefix": "/assign"}, r"paths[1]"),
    ],
)
def test_an_unreadable_route_holds_back_no_other(changes: dict[str, object], place: str) -> None:
    """Guards against a new version that no daemon uses since one part of it is misread."""
    config = make_config(7, **changes)
    config["virtual_hosts"][0]["paths"].append(
        {"path_prefix": "/", "service": "recepcao", "route_type": "safe"}
    )
    table = _operator.decode_configuration(json.dumps(config).encode())
    assert table.version == 7
    assert [place in part for part in table.unreadable_parts] == [True]
    # Its requests do not fall to the shorter prefix.
    assert list_services(table, "/assign/x") == []
    assert list_services(table, "/view/x") == ["painel"]
    assert list_services(table, "/other") == ["recepcao"]


@pytest.mark.parametrize(
    ("part", "place"),
    [
        ({"services": [{}]}, "services[0]"),
        ({"services": [7]}, "services[0]"),
        ({"services": {"a": 1}}, "services"),
        ({"limits": {"idle_timeout_s": "long"}}, "limits"),
        ({"limits": [1]}, "limits"),
    ],
)
def test_an_unreadable_part_is_named_and_holds_back_no_route(
    part: dict[str, object], place: str
) -> None:
    table = _operator.decode_configuration(json.dumps(make_config(7) | part).encode())
    assert [place in found for found in table.unreadable_parts] == [True]
    assert list_services(table, "/view/x") == ["painel"]


@pytest.mark.parametrize(
    "text",
    ["[" * 3_000 + "]" * 3_000, "1" + "0" * 400, "1e999", "NaN", "Infinity", '"x"'],
    ids=name_briefly,
)
@pytest.mark.parametrize("field", ["timeout_s", "target_latency_s", "max_attempts", "priority"])
def test_an_odd_number_holds_back_its_route_only(field: str, text: str) -> None:
    marker = "999983"
    config = json.dumps(make_config(7, **{field: int(marker)}))
    data = config.replace(f'"{field}": {marker}', f'"{field}": {text}').encode()
    if text.startswith("[["):
        # Nothing of what is nested too deeply can be read.
        with pytest.raises(ValueError, match="body"):
            _operator.decode_configuration(data)
        return
    table = _operator.decode_configuration(data)
    assert len(table.unreadable_parts) == 1
    assert list_services(table, "/assign/x") == []
    assert list_services(table, "/view/x") == ["painel"]


@pytest.mark.parametrize(
    "text", ["[" * 200_000, "1" + "0" * 400, "1e999", "NaN", "null", "[]"], ids=name_briefly
)
def test_a_configuration_without_a_usable_version_is_refused(text: str) -> None:
    with pytest.raises(_operator.ConfigurationUnreadableError):
        _operator.decode_configuration(f'{{"version": {text}}}'.encode())


@pytest.mark.parametrize(
    "value", ["9" * 5_000, "9" * 400, "1" * 16, "-5", "1.5", "x", ""], ids=name_briefly
)
def test_odd_numbers_in_the_headers_of_a_caller_count_as_absent(value: str) -> None:
    """Guards against status 500 for a number with more digits than are converted."""
    fields = _headers.read_caller_fields([("X-Timeout-Ms", value), ("X-Shard-Key", value)])
    assert (fields.timeout_s, fields.key) == (None, -1)


@pytest.mark.parametrize("host", [{}, {"host": 7, "paths": []}, 7, {"host": "x", "paths": 7}])
def test_an_unreadable_host_holds_back_no_other(host: object) -> None:
    config = make_config(7)
    config["virtual_hosts"].insert(0, host)
    table = _operator.decode_configuration(json.dumps(config).encode())
    assert [found.startswith("virtual_hosts[0]") for found in table.unreadable_parts] == [True]
    assert list_services(table, "/view/x") == ["painel"]


def test_fields_that_the_platform_may_leave_out_are_not_needed() -> None:
    config = {
        "version": 7,
        "services": [{"name": "painel", "health_path": None, "cold_per_s": None, "new": {}}],
        "limits": None,
        "virtual_hosts": [
            {"host": "empty.example"},
            {
                "host": "Board.Example",
                "paths": [
                    {"path_prefix": "/view/", "service": "painel"},
                    {
                        "path_prefix": "/assign/",
                        "service": None,
                        "traffic_split": [{"service": "a", "weight": 9}],
                        "route_type": "safe",
                        "timeout_s": None,
                        "target_latency_s": 1,
                        "priority": None,
                        "max_attempts": None,
                        "name": None,
                    },
                ],
            },
        ],
    }
    table = _operator.decode_configuration(json.dumps(config).encode())
    assert table.unreadable_parts == ()
    assert table.services["painel"].health_path == "/health"
    view, assign = (table.find_route("board.example", path) for path in ("/view/", "/assign/"))
    assert view is not None and not view.idempotent
    assert assign is not None and assign.idempotent and assign.objective_s == 1.0


# Reports.


def test_a_report_is_decoded() -> None:
    report = _discovery.decode_announcement("/-/instances/i-1", json.dumps(REPORT).encode())
    assert (report.instance, report.slots, report.cold_s, report.draining) == ("i-1", 6, 0.5, False)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", None),
        ("state", "dancing"),
        ("capacity", "6"),
        ("capacity", 0),
        ("sequence", 1.5),
        ("sequence", None),
        ("cold_s", "long"),
        ("born", "yesterday"),
        ("address", 7),
        ("holds", "all"),
        ("freed", {"0": 9}),
        ("capacity", 10**30),
        ("capacity", 1_000_001),
        ("sequence", 2**63),
        ("sequence", -1),
        ("born", 10**30),
        ("born", 10**14),
        ("cold_s", -1),
        ("cold_s", 10**30),
        ("cold_s", 86_401),
        ("cold_s", True),
    ],
)
def test_an_invalid_report_names_the_field_and_value(field: str, value: object) -> None:
    with pytest.raises(AnnouncementError, match=field) as caught:
        _discovery.decode_announcement(
            "/-/instances/i-1", json.dumps(REPORT | {field: value}).encode()
        )
    assert repr(value) in str(caught.value)


@pytest.mark.parametrize(
    ("row", "shown"),
    [
        ([0, 9], "[0, 9]"),
        ([9, 0, 1], "[9, 0, 1]"),
        ([0, 65536, 1], "[0, 65536, 1]"),
        ([True, 9, 1], "True"),
        ([0, 9, "x"], "'x'"),
        ([0, 9, 2**63], "9223372036854775808"),
    ],
)
def test_an_invalid_row_of_a_report_is_shown(row: list[object], shown: str) -> None:
    data = json.dumps(REPORT | {"holds": [[0, 1, 1], row]}).encode()
    with pytest.raises(AnnouncementError, match="holds") as caught:
        _discovery.decode_announcement("/-/instances/i-1", data)
    assert shown in str(caught.value)


def test_what_a_report_says_of_keys_is_decoded() -> None:
    data = REPORT | {"holds": [[0, 4095, 7]], "freed": [[4096, 8191, "5c0e7a21d94b36f8"]]}
    report = _discovery.decode_announcement("/-/instances/i-1", json.dumps(data).encode())
    assert report.holdings == ReportedHoldings(
        (ReportedRow(0, 4095, 7),), (ReleasedRange(4096, 8191, "5c0e7a21d94b36f8"),)
    )


def test_a_reply_lists_all_grants_and_their_duration() -> None:
    rows = (GrantedRow(0, 4095, 7), GrantedRow(9000, 9999, 12, "7a21d94b36f85c0e"))
    assert json.loads(_discovery.encode_reply(GrantedHoldings(rows, 2.98765))) == {
        "holds": [[0, 4095, 7, ""], [9000, 9999, 12, "7a21d94b36f85c0e"]],
        "hold_s": 2.988,
    }
    assert json.loads(_discovery.encode_reply(GrantedHoldings((), 3.0)))["holds"] == []
    assert json.loads(_discovery.encode_reply(None)) == {}


def test_the_largest_reply_counts_as_an_acknowledgement() -> None:
    row = GrantedRow(65_535, 65_535, make_position(2**20, 10**6), "f" * 16)
    reply = _discovery.encode_reply(GrantedHoldings((row,) * MAX_ROWS, 2.999))
    assert len(reply) <= MAX_REPLY_BYTES


@pytest.mark.parametrize("field", [*REPORT, "holds", "freed"])
@pytest.mark.parametrize(
    "text",
    [
        "[" * 3_000 + "]" * 3_000,
        '{"a":' * 3_000 + "1" + "}" * 3_000,
        "1" + "0" * 400,
        "-1" + "0" * 400,
        "1" * 5_000,
        "1e999",
        "NaN",
        "Infinity",
        "-Infinity",
        '"' + "x" * 5_000 + '"',
        "null",
    ],
    ids=name_briefly,
)
def test_an_odd_value_of_another_writer_is_refused_by_its_field(field: str, text: str) -> None:
    """Guards against errors that no caller of the decoder expects, and against broken peers.

    A capacity that does not fit into a message broke the connections between daemons.
    """
    parts = [f'"{name}": {json.dumps(value)}' for name, value in REPORT.items() if name != field]
    body = f'{{"{field}": {text}, {", ".join(parts)}}}'.encode()
    with pytest.raises(AnnouncementError) as caught:
        _discovery.decode_announcement("/-/instances/i-1", body)
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b"7", *ODD_BODIES], ids=name_briefly)
def test_bytes_that_are_no_report_are_rejected(body: bytes) -> None:
    with pytest.raises(AnnouncementError):
        _discovery.decode_announcement("/-/instances/i-1", body)


# Records.


def test_decoding_returns_the_encoded_records() -> None:
    body = struct.pack(">QQ", 9, 2) + _store.encode_records([("a", b"1"), ("b", b"")])
    assert _store.decode_records(body, 7) == Records(
        (KeyedEntry(7, "a", b"1"), KeyedEntry(8, "b", b"")), 9, True
    )


@pytest.mark.parametrize("length", [1, 5, 17, 20])
def test_truncated_records_are_rejected(length: int) -> None:
    body = struct.pack(">QQ", 9, 2) + _store.encode_records([("a", b"1")])
    assert isinstance(_store.decode_records(body[:length], 7), StoreFailed)


def test_an_answer_to_a_read_from_an_earlier_offset_is_rejected() -> None:
    """Guards against records, as of assignments, that are read under offsets that others have."""
    body = struct.pack(">QQ", 9, 2) + _store.encode_records([("a", b"1"), ("b", b"2")])
    assert isinstance(_store.decode_records(body, 8), StoreFailed)


@pytest.mark.parametrize("end", [5, 7])
def test_an_empty_answer_to_a_read_from_an_earlier_offset_is_rejected(end: int) -> None:
    """Guards against a lease that is confirmed by an answer from before the newest record."""
    assert isinstance(_store.decode_records(struct.pack(">QQ", end, 2), 8), StoreFailed)
    assert _store.decode_records(struct.pack(">QQ", 8, 2), 8) == Records((), 8)


# Headers.


def test_caller_fields_are_forwarded_except_those_that_the_daemon_sets() -> None:
    fields = _headers.read_caller_fields(
        [
            ("Host", "h"),
            ("X-Attempt-Id", "a"),
            ("X-Timeout-Ms", "800"),
            ("X-Caller-Service", "forged"),
            ("X-Expected-Instance", "forged"),
            ("X-Shard-Key", "77"),
            ("Connection", "keep-alive, x-hop"),
            ("X-Hop", "1"),
            ("Accept", "*/*"),
        ]
    )
    assert fields.forwarded == (
        ("Host", "h"),
        ("X-Attempt-Id", "a"),
        ("X-Shard-Key", "77"),
        ("Accept", "*/*"),
    )
    assert (fields.attempt, fields.key, fields.timeout_s) == ("a", 77, 0.8)


@pytest.mark.parametrize("key", ["-1", "65536", "x", "1.5", ""])
def test_a_malformed_key_counts_as_absent(key: str) -> None:
    assert _headers.read_caller_fields([("X-Shard-Key", key)]).key == -1


def make_response(status: int, **headers: str) -> HttpResponse:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return HttpResponse(status, tuple(named.items()), b"body")


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (make_response(503, X_Not_Executed="1"), Reason.BACKEND_REFUSED),
        (make_response(429, X_Not_Executed="1"), Reason.BACKEND_REFUSED),
        (make_response(421), Reason.NOT_OWNER),
        (make_response(421, X_Instance_Id="i-1"), Reason.NOT_OWNER),
        (make_response(421, X_Instance_Id="i-other"), Reason.BACKEND_DOWN),
    ],
)
def test_only_these_responses_say_that_a_request_has_not_run(
    response: HttpResponse, reason: Reason
) -> None:
    verdict = _backend._classify_response(response, "a", "i-1", is_first_request=True)
    assert isinstance(verdict, NotRun) and verdict.reason is reason


@pytest.mark.parametrize(
    "response",
    [
        make_response(503, X_Not_Executed="1"),
        make_response(421),
        make_response(503, X_Not_Executed="1", X_Attempt_Id="b"),
    ],
)
def test_a_refusal_that_may_belong_to_an_earlier_request_proves_nothing(
    response: HttpResponse,
) -> None:
    """On a reused connection a late response to an earlier request may arrive first."""
    verdict = _backend._classify_response(response, "a", "i-1", is_first_request=False)
    assert verdict == MayHaveRun(Reason.ANSWER_INVALID)


def test_a_refusal_with_the_identifier_of_the_attempt_is_proof_on_any_connection() -> None:
    response = make_response(503, X_Not_Executed="1", X_Attempt_Id="a")
    verdict = _backend._classify_response(response, "a", "i-1", is_first_request=False)
    assert isinstance(verdict, NotRun)


@pytest.mark.parametrize(
    "response",
    [
        make_response(200, X_Attempt_Id="a"),
        make_response(200, X_Attempt_Id="b", X_Server_Signature="s"),
        make_response(503),
    ],
    ids=["no signature", "another attempt", "no attempt"],
)
def test_a_response_that_may_belong_to_another_request_is_invalid(response: HttpResponse) -> None:
    assert _backend._classify_response(response, "a", "i-1", is_first_request=True) == MayHaveRun(
        Reason.ANSWER_INVALID
    )


def test_an_error_status_of_a_backend_server_is_its_answer() -> None:
    response = make_response(500, X_Attempt_Id="a", X_Server_Signature="s")
    verdict = _backend._classify_response(response, "a", "i-1", is_first_request=True)
    assert isinstance(verdict, Answered) and verdict.answer.status == 500


@pytest.mark.parametrize(
    ("verdict", "deadline_passed", "status"),
    [
        (NotRun(Reason.OVERLOADED, 100), True, 503),
        (MayHaveRun(Reason.DEADLINE_PASSED), True, 504),
        (MayHaveRun(Reason.BACKEND_LOST), False, 502),
    ],
)
def test_only_a_request_that_has_not_run_gets_503(
    verdict: NotRun | MayHaveRun, deadline_passed: bool, status: int
) -> None:
    assert _headers.choose_status(verdict, deadline_passed) == status


def test_the_backend_server_gets_the_remaining_time() -> None:
    fields = dict(_headers.build_backend_fields(make_forwarded(0.0), "i-1", 0.7))
    assert fields["X-Timeout-Ms"] == "700"
    assert fields["X-Expected-Instance"] == "i-1"
    assert fields["X-Caller-Service"] == "recepcao"


# What answers say about their backend server.


def render_answer(status: int, **headers: str) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(
        [f"HTTP/1.1 {status} X", *lines, "Server-Limit: 7.5", "Content-Length: 2", "", "ok"]
    ).encode()


@pytest.mark.parametrize(
    ("response", "notices"),
    [
        (
            render_answer(200, X_Attempt_Id="a", X_Server_Signature="s"),
            [BackendNotice(7.5, conclusive=True)],
        ),
        (
            render_answer(500, X_Attempt_Id="a", X_Server_Signature="s"),
            [BackendNotice(7.5, conclusive=True)],
        ),
        (render_answer(500, X_Attempt_Id="a"), [BackendNotice(7.5)]),
        (render_answer(503, X_Not_Executed="1"), [BackendNotice(7.5)]),
        (render_answer(421), [BackendNotice(7.5)]),
        (render_answer(421, X_Instance_Id="i-other"), []),
        (render_answer(200, X_Attempt_Id="a"), []),
        (render_answer(200, X_Attempt_Id="b", X_Server_Signature="s"), []),
        (render_answer(200, X_Attempt_Id="a", X_Server_Signature="s")[:-1], []),
    ],
    ids=[
        "answer",
        "failure",
        "unsigned failure",
        "refusal",
        "not owner",
        "another instance",
        "unsigned success",
        "another attempt",
        "broken off",
    ],
)
async def test_answers_of_the_instance_and_attempt_say_something(
    response: bytes, notices: list[BackendNotice]
) -> None:
    """Whatever is passed on to a caller counts; what is not from this backend server does not."""
    is_broken_off = response.endswith(b"o")
    server = ScriptedServer([response], close_after_response=is_broken_off)
    found: list[BackendNotice] = []
    async with server.listen() as address:
        backend = _backend.PlatformBackend(address)
        request = make_forwarded(read_clock(), attempt="a", deadline=read_clock() + 0.5)
        await backend.run(request, "i-1", lambda: None, found.append)
        backend.close()
    assert found == notices


@pytest.mark.parametrize(
    ("response", "notice"),
    [
        (render_answer(200, X_Instance_Id="i-1"), BackendNotice(7.5)),
        (render_answer(503, X_Instance_Id="i-1", Server_Leaving="1"), BackendNotice(7.5, True)),
        (render_answer(200, X_Instance_Id="i-2"), None),
        (render_answer(200), None),
        (None, None),
    ],
    ids=["healthy", "leaving", "another instance", "no instance", "no answer"],
)
async def test_a_health_check_tells_of_a_limit(
    response: bytes | None, notice: BackendNotice | None
) -> None:
    async with ScriptedServer([response]).listen() as address:
        backend = _backend.PlatformBackend(address)
        assert await backend.check_health("/health", "i-1") == notice
        backend.close()


# Grants and releases.


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (render_answer(200), GrantAccepted()),
        (render_answer(409), GrantFenced()),
        (render_answer(421), GrantMisdirected("")),
        (render_answer(421, X_Instance_Id="i-2"), GrantMisdirected("i-2")),
    ],
    ids=["accepted", "fenced", "another instance", "another instance that names itself"],
)
async def test_a_grant_names_the_instance_that_may_take_it(
    response: bytes, outcome: GrantOutcome
) -> None:
    """Guards against keys for one process that the next one at its address takes."""
    server = ScriptedServer([response])
    async with server.listen() as address:
        backend = _backend.PlatformBackend(address)
        assert await backend.grant("i-1", 0, 9, 3, lambda: 2.0, "") == outcome
        backend.close()
    assert b"X-Expected-Instance: i-1\r\n" in server.requests[0]


@pytest.mark.parametrize(("status", "is_misdirected"), [(421, True), (500, False)])
async def test_a_release_names_the_instance_that_is_meant(
    status: int, is_misdirected: bool
) -> None:
    """Guards against a release for one process that takes keys from the next one."""
    server = ScriptedServer([render_answer(status)])
    async with server.listen() as address:
        backend = _backend.PlatformBackend(address)
        outcome = await backend.release("i-1", 0, 9, 3)
        assert outcome == ReleaseFailed(f"status {status}", misdirected=is_misdirected)
        await backend.release("", 0, 9, 3)
        backend.close()
    assert b"X-Expected-Instance: i-1\r\n" in server.requests[0]
    assert b"X-Expected-Instance" not in server.requests[1]


@pytest.mark.parametrize(
    "path", ["/-/instances/", "/-/instances/a/b", "/-/instances/" + "x" * 1_025]
)
def test_a_path_without_a_usable_instance_is_refused(path: str) -> None:
    """Guards against a record of departures that the next process cannot read."""
    with pytest.raises(AnnouncementError, match="no instance in path"):
        _discovery.parse_instance(path)
