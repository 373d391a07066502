"""Generates the events of a soak from its seed."""

from __future__ import annotations

import random

import attrs

from persimmondock.standins.endless import ENDLESS_FORMS, ENDLESS_PLACES
from persimmondock.standins.site_backend import ANSWER_FAULTS, HEALTH_FAULTS
from persimmondock.standins.site_messages import KEYED_SERVICE, UNKEYED_SERVICE

FIRST_EVENT_AT_S = 3.0  # after callers start
SETTLING_TIME_S = 10.0  # for takeovers and cold starts to finish before the last check of service
MEAN_EVENT_INTERVAL_S = 0.8  # most events last longer, so that they overlap

VM_KINDS = ("kill", "terminate", "freeze", "reload", "restart_backend", "drain_backend")
PATH_KINDS = ("store_path", "backend_path")
SITE_KINDS = ("store_down", "lose_append", "evacuate", "configure")
DURATIONS_S = (0.3, 1.0, 2.0, 3.5, 5.0)
FREEZE_DURATIONS_S = (0.3, 1.0, 3.0, 7.0, 9.0)  # keys are taken over after about 6 s
NOTICE_KINDS = ("name_limit", "say_leaving")
LIMITS = ("0", "0.3", "2", "2", "5")  # a backend server gets about ten requests a second
LIMIT_DURATIONS_S = (5.0, 7.0, 9.0)
MEAN_NOTICE_INTERVAL_S = 3.0
CRASH_KINDS = ("crash_backend", "crash_keeping_id", "late_grants", "fail_health")
CRASH_WEIGHTS = (4, 1, 2, 1)
CRASH_DURATIONS_S = (0.1, 0.3, 0.4, 0.7, 1.0)
MAX_ANNOUNCEMENT_DELAY_S = 0.8
LATE_GRANT_DURATIONS_S = (2.0, 4.0, 6.0)
LATE_GRANT_RATIOS = ("0.2", "0.5")
MEAN_CRASH_INTERVAL_S = 1.5
ANSWER_KINDS = ("faulty_answers", "unnamed_orders", "refuse_once", "terminate_under_work")
ANSWER_WEIGHTS = (5, 2, 3, 1)
MEAN_ANSWER_INTERVAL_S = 1.5
DEPARTURE_KINDS = ("leave_and_kill", "drain_and_kill")
KILL_DURATIONS_S = (0.1, 0.5, 1.0, 2.0)
MAX_ANNOUNCEMENT_AGE_S = 4.0
MEAN_DEPARTURE_INTERVAL_S = 5.0
RESTORE_KINDS = ("restore_store",)
COPY_AGES_S = ("0.3", "1", "2", "3", "6")
AWAY_DURATIONS_S = (0.0, 0.3, 0.5, 1.0, 2.0)
MEAN_RESTORE_INTERVAL_S = 7.0
SHEDDING_KINDS = ("shed",)
SHED_RATIOS = ("0.2", "0.5", "0.8")
SHED_DURATIONS_S = (1.0, 3.0, 6.0)
MEAN_SHEDDING_INTERVAL_S = 6.0
FAILURE_KINDS = ("fail_runs", "undefined_status", "forget_departure")
FAILURE_WEIGHTS = (4, 2, 1)
FAILURE_STATUSES = ("408", "429", "500", "503")
UNDEFINED_STATUSES = ("000", "042", "600", "999")
MEAN_FAILURE_INTERVAL_S = 3.0
PROCESS_KINDS = (
    "endless_answers",
    "endless_requests",
    "early_signal",
    "signal_series",
    "overlap",
    "few_descriptors",
)
PROCESS_WEIGHTS = (5, 4, 3, 1, 2, 2)
ENDLESS_DURATIONS_S = (1.0, 2.0, 4.0)
ENDLESS_PORTS = ("caller", "announce", "ready")
MAX_SIGNAL_DELAY_S = 0.5
MAX_OVERLAP_DELAY_S = 0.3
MEAN_PROCESS_INTERVAL_S = 1.5
PATH_MODES = ("delay", "reset", "silent", "one_way")


@attrs.frozen
class Event:
    """One fault or one planned operation.

    Parameters
    ----------
    at_s
        Start in seconds after callers start.
    kind
        One of ``VM_KINDS``, ``PATH_KINDS``, ``SITE_KINDS``, ``NOTICE_KINDS``, ``CRASH_KINDS``,
        ``ANSWER_KINDS``, ``DEPARTURE_KINDS``, ``RESTORE_KINDS``, ``PROCESS_KINDS``,
        ``SHEDDING_KINDS`` and ``FAILURE_KINDS``.
    vm
        Number of the VM; 0 if the event concerns the whole site.
    for_s
        Duration in seconds.
    mode
        One of ``PATH_MODES``, the fault that a proxy injects; one of ``LIMITS``, which a backend
        server names; seconds from the start of a crashed backend server to its announcement; the
        share of grants that are late; one of ``HEALTH_FAULTS`` or of ``ANSWER_FAULTS``; one of
        ``COPY_AGES_S``, seconds from the copy with which the store comes back to its outage;
        seconds from the start of a killed daemon to the arrival of an announcement from before the
        departure of its backend server; one of ``ENDLESS_FORMS`` and of ``ENDLESS_PLACES`` or
        ``ENDLESS_PORTS``; a signal and the seconds from a start to it; seconds from SIGTERM to the
        start of the next process; the service that sheds load, and the share of its requests; the
        status of answers.
        Empty for other kinds of events.
    """

    at_s: float
    kind: str
    vm: int = 0
    for_s: float = 0.0
    mode: str = ""


def draw_plan(seed: int, duration_s: float, vms: int) -> tuple[Event, ...]:
    """Return the events of a seed, in order of time."""
    generator = random.Random(seed)
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        # Each kind of VM event is drawn twice as often as any other kind.
        kind = generator.choice((*VM_KINDS, *VM_KINDS, *PATH_KINDS, *SITE_KINDS))
        vm = 0 if kind in SITE_KINDS else generator.randint(1, vms)
        mode = generator.choice(PATH_MODES) if kind in PATH_KINDS else ""
        for_s = generator.choice(FREEZE_DURATIONS_S if kind == "freeze" else DURATIONS_S)
        events.append(Event(round(at_s, 2), kind, vm, for_s, mode))
        at_s += generator.expovariate(1 / MEAN_EVENT_INTERVAL_S)
    events += draw_notices(seed, duration_s, vms)
    events += draw_crashes(seed, duration_s, vms)
    events += draw_answers(seed, duration_s, vms)
    events += draw_departures(seed, duration_s, vms)
    events += draw_restorations(seed, duration_s)
    events += draw_process_faults(seed, duration_s, vms)
    events += draw_shedding(seed, duration_s)
    events += draw_failures(seed, duration_s, vms)
    return tuple(sorted(events, key=lambda event: event.at_s))


def draw_notices(seed: int, duration_s: float, vms: int) -> list[Event]:
    """Return the events in which backend servers say something about themselves.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"notices {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        kind = generator.choice(("name_limit", "name_limit", "say_leaving"))
        for_s = generator.choice(LIMIT_DURATIONS_S) if kind == "name_limit" else 0.0
        mode = generator.choice(LIMITS) if kind == "name_limit" else ""
        events.append(Event(round(at_s, 2), kind, generator.randint(1, vms), for_s, mode))
        at_s += generator.expovariate(1 / MEAN_NOTICE_INTERVAL_S)
    return events


def draw_crashes(seed: int, duration_s: float, vms: int) -> list[Event]:
    """Return crashes of backend servers, and times of late grants and of false health answers.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"crashes {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        (kind,) = generator.choices(CRASH_KINDS, CRASH_WEIGHTS)
        match kind:
            case "late_grants":
                for_s = generator.choice(LATE_GRANT_DURATIONS_S)
                mode = generator.choice(LATE_GRANT_RATIOS)
            case "fail_health":
                for_s, mode = generator.choice(DURATIONS_S), generator.choice(HEALTH_FAULTS)
            case _:
                for_s = generator.choice(CRASH_DURATIONS_S)
                mode = f"{generator.uniform(0.0, MAX_ANNOUNCEMENT_DELAY_S):.2f}"
        events.append(Event(round(at_s, 2), kind, generator.randint(1, vms), for_s, mode))
        at_s += generator.expovariate(1 / MEAN_CRASH_INTERVAL_S)
    return events


def draw_answers(seed: int, duration_s: float, vms: int) -> list[Event]:
    """Return times of faulty answers and of refusals, and stops of daemons with slow requests.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"answers {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        (kind,) = generator.choices(ANSWER_KINDS, ANSWER_WEIGHTS)
        for_s = 0.0 if kind == "terminate_under_work" else generator.choice(DURATIONS_S)
        mode = generator.choice(ANSWER_FAULTS) if kind == "faulty_answers" else ""
        events.append(Event(round(at_s, 2), kind, generator.randint(1, vms), for_s, mode))
        at_s += generator.expovariate(1 / MEAN_ANSWER_INTERVAL_S)
    return events


def draw_departures(seed: int, duration_s: float, vms: int) -> list[Event]:
    """Return departures of backend servers whose daemons are killed right after the answer.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"departures {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        kind, vm = generator.choice(DEPARTURE_KINDS), generator.randint(1, vms)
        for_s = generator.choice(KILL_DURATIONS_S)
        late_s = f"{generator.uniform(0.0, MAX_ANNOUNCEMENT_AGE_S):.2f}"
        events.append(Event(round(at_s, 2), kind, vm, for_s, late_s))
        at_s += generator.expovariate(1 / MEAN_DEPARTURE_INTERVAL_S)
    return events


def draw_restorations(seed: int, duration_s: float) -> list[Event]:
    """Return instants at which the store goes away and comes back from an older copy of itself.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"restorations {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S + generator.uniform(0.0, MEAN_RESTORE_INTERVAL_S)
    while at_s < duration_s - SETTLING_TIME_S:
        (kind,) = RESTORE_KINDS
        for_s, mode = generator.choice(AWAY_DURATIONS_S), generator.choice(COPY_AGES_S)
        events.append(Event(round(at_s, 2), kind, 0, for_s, mode))
        at_s += generator.expovariate(1 / MEAN_RESTORE_INTERVAL_S)
    return events


def draw_process_faults(seed: int, duration_s: float, vms: int) -> list[Event]:
    """Return messages without end, and starts, stops and limits of the daemons' processes.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"processes {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        (kind,) = generator.choices(PROCESS_KINDS, PROCESS_WEIGHTS)
        for_s, mode = 0.0, ""
        match kind:
            case "endless_answers" | "endless_requests":
                places = ENDLESS_PLACES if kind == "endless_answers" else ENDLESS_PORTS
                for_s = generator.choice(ENDLESS_DURATIONS_S)
                mode = f"{generator.choice(tuple(ENDLESS_FORMS))} {generator.choice(places)}"
            case "early_signal":
                name = generator.choice(("SIGHUP", "SIGTERM"))
                mode = f"{name} {generator.uniform(0.0, MAX_SIGNAL_DELAY_S):.2f}"
            case "overlap":
                mode = f"{generator.uniform(0.0, MAX_OVERLAP_DELAY_S):.2f}"
            case "few_descriptors":
                for_s = generator.choice(ENDLESS_DURATIONS_S)
        events.append(Event(round(at_s, 2), kind, generator.randint(1, vms), for_s, mode))
        at_s += generator.expovariate(1 / MEAN_PROCESS_INTERVAL_S)
    return events


def draw_shedding(seed: int, duration_s: float) -> list[Event]:
    """Return times in which all backend servers of a service refuse a share of their requests.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"shedding {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        (kind,) = SHEDDING_KINDS
        (service,) = generator.choices((UNKEYED_SERVICE, KEYED_SERVICE), (3, 1))
        for_s, ratio = generator.choice(SHED_DURATIONS_S), generator.choice(SHED_RATIOS)
        events.append(Event(round(at_s, 2), kind, 0, for_s, f"{service} {ratio}"))
        at_s += generator.expovariate(1 / MEAN_SHEDDING_INTERVAL_S)
    return events


def draw_failures(seed: int, duration_s: float, vms: int) -> list[Event]:
    """Return times of runs that fail, and departures that all daemons forget in an outage.

    They have a sequence of their own, so that the other events of a seed stay the same.
    """
    generator = random.Random(f"failures {seed}")
    events = []
    at_s = FIRST_EVENT_AT_S
    while at_s < duration_s - SETTLING_TIME_S:
        (kind,) = generator.choices(FAILURE_KINDS, FAILURE_WEIGHTS)
        match kind:
            case "fail_runs":
                for_s, mode = generator.choice(DURATIONS_S), generator.choice(FAILURE_STATUSES)
            case "undefined_status":
                for_s, mode = generator.choice(DURATIONS_S), generator.choice(UNDEFINED_STATUSES)
            case _:
                for_s = generator.choice(KILL_DURATIONS_S)
                mode = f"{generator.uniform(0.0, MAX_ANNOUNCEMENT_AGE_S):.2f}"
        events.append(Event(round(at_s, 2), kind, generator.randint(1, vms), for_s, mode))
        at_s += generator.expovariate(1 / MEAN_FAILURE_INTERVAL_S)
    return events
