"""The order of requests and answers of one connection."""

from __future__ import annotations

from persimmondock._domain.pipeline import Exchange, Pipeline, PipelineLimits

LIMITS = PipelineLimits(side_by_side=3, waiting=4, held_bytes=1000)


def make_pipeline(*requests: str) -> Pipeline[str, str]:
    """Return a pipeline with requests of 10 bytes, of which those named ``once`` run alone."""
    pipeline: Pipeline[str, str] = Pipeline(LIMITS, lambda name: not name.startswith("once"))
    for request in requests:
        pipeline.add(request, 10)
    return pipeline


def begin_all(pipeline: Pipeline[str, str]) -> list[Exchange[str, str]]:
    """Begin all requests that may run now."""
    return list(iter(pipeline.begin_next, None))


def list_names(exchanges: list[Exchange[str, str]]) -> list[str]:
    """Return the requests of exchanges."""
    return [exchange.request for exchange in exchanges]


def test_requests_that_may_be_repeated_run_side_by_side_up_to_the_bound() -> None:
    """A client sends many lookups at once."""
    pipeline = make_pipeline("a", "b", "c", "d")
    assert list_names(begin_all(pipeline)) == ["a", "b", "c"]
    assert (len(pipeline), pipeline.waiting) == (4, 1)


def test_an_answer_waits_for_those_before_it_and_its_place_is_not_taken() -> None:
    pipeline = make_pipeline("a", "b", "c", "d")
    first, second, _ = begin_all(pipeline)
    second.answer = "B"
    assert pipeline.find_first_answer() is None
    assert begin_all(pipeline) == []  # its answer is held
    first.answer = "A"
    assert [pipeline.pop().answer for _ in range(2)] == ["A", "B"]
    assert list_names(begin_all(pipeline)) == ["d"]


def test_a_request_that_must_not_be_repeated_runs_alone() -> None:
    """A client sends a booking among lookups; none of them may see another's half-done work."""
    pipeline = make_pipeline("a", "once", "b")
    (first,) = begin_all(pipeline)
    first.answer = "A"
    assert begin_all(pipeline) == []  # the answer before it is not sent
    pipeline.pop()
    assert list_names(begin_all(pipeline)) == ["once"]
    assert begin_all(pipeline) == []


def test_nothing_that_has_not_begun_runs_after_a_closing_answer() -> None:
    """The caller sends a request again if it was behind an answer that closes the connection."""
    pipeline = make_pipeline("a", "b", "c", "d", "once")
    begun = begin_all(pipeline)
    pipeline.stop()
    pipeline.add("e", 10)
    assert len(pipeline) == len(begun) == 3
    for exchange in begun:
        exchange.answer = exchange.request.upper()
        pipeline.pop()
    assert begin_all(pipeline) == []
    assert (len(pipeline), pipeline.held_bytes) == (0, 0)


def test_a_refusal_is_sent_after_the_answers_before_it() -> None:
    """A client sends a request that cannot be read behind proper ones."""
    pipeline = make_pipeline("a", "once")
    pipeline.add_refusal("", "refused")
    pipeline.add("behind", 10)
    answers = []
    for _ in range(2):
        (exchange,) = begin_all(pipeline)
        exchange.answer = exchange.request.upper()
        answers.append(pipeline.pop().answer)
    assert [*answers, pipeline.find_first_answer()] == ["A", "ONCE", "refused"]


def test_held_bytes_stop_what_is_behind_and_never_the_first() -> None:
    """Large answers wait behind a slow one."""
    pipeline = make_pipeline("a", "b")
    _, second = begin_all(pipeline)
    pipeline.set_held(second, 1000)
    pipeline.add("c", 10)
    assert pipeline.is_full
    assert begin_all(pipeline) == []
    pipeline.pop()
    pipeline.pop()
    assert not pipeline.is_full
    assert list_names(begin_all(pipeline)) == ["c"]


def test_reading_pauses_when_enough_requests_wait() -> None:
    """A client sends requests without end."""
    pipeline = make_pipeline(*"abcdefg")
    begin_all(pipeline)
    assert (pipeline.waiting, pipeline.is_full) == (4, False)
    pipeline.add("h", 10)
    assert pipeline.is_full


def test_a_large_first_request_is_read_and_begun() -> None:
    pipeline: Pipeline[str, str] = Pipeline(LIMITS, lambda _: True)
    pipeline.add("large", 5000)
    assert list_names(begin_all(pipeline)) == ["large"]
    assert not pipeline.is_full
