"""Tests of the tasks that read and write the log."""

from __future__ import annotations

from persimmondock._domain.membership import MAX_LOG_READ_AGE_S
from persimmondock._tasks.log_follower import READ_RETRY_S, READ_WAIT_S


def test_a_quiet_log_does_not_count_as_an_outage() -> None:
    """Witnesses vote only after a recent read of the log.

    A long poll and its retry must therefore end before a read stops counting as recent.
    """
    assert READ_WAIT_S + READ_RETRY_S < MAX_LOG_READ_AGE_S
