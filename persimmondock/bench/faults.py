"""Scenarios with timed faults, read from YAML, and the injection of the faults."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeAlias, get_args

import attrs
import yaml
from cattrs.errors import BaseValidationError
from cattrs.strategies import configure_tagged_union

from persimmondock._adapters.log_client import HttpLog
from persimmondock._domain.records import ConfigurationPublished, encode_record, make_record_id
from persimmondock._domain.structuring import describe_mistakes, make_strict_converter
from persimmondock._domain.view import Accepted, Rejection, View
from persimmondock._tasks.publisher import list_changes, publish, read_view
from persimmondock.configuration import Configuration

if TYPE_CHECKING:
    from persimmondock.bench.mixes import Mix
    from persimmondock.standins.fleet import Fleet

SCENARIO_DIRECTORY = Path(__file__).parent / "scenarios"
PUBLISH_TIMEOUT_S = 20.0
RACE_TIMEOUT_MS = 9_000  # request time-out in the change that is appended first


class ScenarioError(ValueError):
    """A scenario cannot be run; the message names the wrong value and its place."""


# Fields of all faults: ``at_s`` is the time after the start of the load, ``vm`` the number of a VM,
# and ``domain`` an index into the failure domains of the mix.


@attrs.frozen
class DomainOut:
    """Operators take a failure domain out of service."""

    at_s: float
    domain: int


@attrs.frozen
class DomainBack:
    """Operators bring a failure domain back into service."""

    at_s: float
    domain: int


@attrs.frozen
class VmLost:
    """A VM is lost with its daemon and its backend server, which are killed."""

    at_s: float
    vm: int


@attrs.frozen
class VmStarted:
    """A lost VM is replaced by one with the same address."""

    at_s: float
    vm: int


@attrs.frozen
class DaemonFrozen:
    """A daemon is paused for a time."""

    at_s: float
    vm: int
    for_s: float


@attrs.frozen
class DaemonKilled:
    """A daemon is killed while its backend server keeps running."""

    at_s: float
    vm: int


@attrs.frozen
class DaemonRestarted:
    """A daemon is stopped by SIGTERM and started again after its exit."""

    at_s: float
    vm: int


@attrs.frozen
class BackendSlowed:
    """A backend server's requests take longer by a factor; 1 ends the fault."""

    at_s: float
    vm: int
    slowness: float


@attrs.frozen
class BackendTurnedCold:
    """A backend server turns cold without announcing it."""

    at_s: float
    vm: int


@attrs.frozen
class LogDown:
    """The log service answers with status 503 for a time."""

    at_s: float
    for_s: float


@attrs.frozen
class LogSlowed:
    """Every answer of the log service is delayed; 0 ends the fault."""

    at_s: float
    delay_ms: int


@attrs.frozen
class LogAnswersLost:
    """The next ``count`` appends take effect but get no answer."""

    at_s: float
    count: int


@attrs.frozen
class OperatorsRace:
    """Two operators publish different changes at the same time."""

    at_s: float


Fault: TypeAlias = (
    DomainOut
    | DomainBack
    | VmLost
    | VmStarted
    | DaemonFrozen
    | DaemonKilled
    | DaemonRestarted
    | BackendSlowed
    | BackendTurnedCold
    | LogDown
    | LogSlowed
    | LogAnswersLost
    | OperatorsRace
)


@attrs.frozen
class Scenario:
    """A load with faults.

    Parameters
    ----------
    duration_s
        Length of the load, in seconds.
    faults
        Faults to inject.
    rate_factor, work_factor
        Factors on the request rate of the mix and on the duration of its requests.
    hot_share
        Share of the requests that go to hot keys; None for the share of the mix.
    checks_tokens
        Whether the backend servers check fencing tokens.
    """

    duration_s: float
    rate_factor: float = 1.0
    work_factor: float = 1.0
    hot_share: float | None = None
    checks_tokens: bool = True
    faults: tuple[Fault, ...] = ()

    def adapt_mix(self, mix: Mix) -> Mix:
        """Return the mix as changed by this scenario."""
        services = tuple(
            attrs.evolve(service, work_ms=service.work_ms * self.work_factor)
            for service in mix.services
        )
        hot_share = mix.hot_share if self.hot_share is None else self.hot_share
        return attrs.evolve(
            mix,
            services=services,
            rate=mix.rate * self.rate_factor,
            hot_share=hot_share,
            checks_tokens=self.checks_tokens,
        )


_converter = make_strict_converter()
configure_tagged_union(Fault, _converter, tag_name="fault")


def load_scenario(name: str) -> Scenario:
    """Read a scenario by its name or by the path of its file.

    Raises
    ------
    ScenarioError
        If there is no such scenario or a value is wrong.
    """
    path = SCENARIO_DIRECTORY / f"{name}.yaml"
    if not path.exists():
        path = Path(name)
    if not path.exists():
        known = ", ".join(sorted(item.stem for item in SCENARIO_DIRECTORY.glob("*.yaml")))
        raise ScenarioError(f"no scenario {name!r}; known: {known}")
    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
        _check_fault_names(path, data)
        return _converter.structure(data, Scenario)
    except yaml.YAMLError as error:
        raise ScenarioError(f"{path}: not YAML: {error}".replace("\n", " ")) from error
    except BaseValidationError as error:
        raise ScenarioError(f"{path}: " + describe_mistakes(error)) from error


def _check_fault_names(path: Path, data: Any) -> None:
    """Raise ``ScenarioError`` for a document that is no mapping and for unknown faults."""
    if not isinstance(data, dict):
        raise ScenarioError(f"{path}: expected a mapping, not {data!r}")
    known = [kind.__name__ for kind in get_args(Fault)]
    for position, fault in enumerate(data.get("faults") or []):
        name = fault.get("fault") if isinstance(fault, dict) else fault
        if name not in known:
            choices = ", ".join(known)
            raise ScenarioError(f"{path}: faults[{position}]: no fault {name!r}; known: {choices}")


@attrs.define
class FaultMark:
    """A fault that was injected.

    Parameters
    ----------
    at_s
        Time at which the injection was complete, in seconds after the start of the load.
    note
        Outcome of a publication or exit code of a process; otherwise empty.
    """

    fault: Fault
    at_s: float
    note: str = ""


@attrs.define
class FaultPlayer:
    """Injects the faults of a scenario.

    Parameters
    ----------
    configuration
        Configuration last published; faults change it.
    started_at
        Monotonic time of the start of the load, in seconds.
    """

    fleet: Fleet
    mix: Mix
    configuration: Configuration
    started_at: float = 0.0
    marks: list[FaultMark] = attrs.field(factory=list)

    async def play(self, scenario: Scenario) -> None:
        """Inject each fault at its time; faults may overlap."""
        self.started_at = time.monotonic()
        await asyncio.gather(*(self._play_fault(fault) for fault in scenario.faults))

    async def _play_fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self.started_at + fault.at_s - time.monotonic()))
        note = await self._inject(fault)
        self.marks.append(FaultMark(fault, time.monotonic() - self.started_at, note))

    async def _inject(self, fault: Fault) -> str:
        """Inject a fault and return a note for the report."""
        fleet = self.fleet
        match fault:
            case DomainOut(domain=domain):
                self.configuration.take_out(self.mix.failure_domains[domain])
                return await self._publish()
            case DomainBack(domain=domain):
                self.configuration.bring_back(self.mix.failure_domains[domain])
                return await self._publish()
            case VmLost(vm=vm):
                fleet.kill_vm(vm)
            case VmStarted(vm=vm):
                fleet.start_vm(vm)
            case DaemonFrozen(vm=vm, for_s=for_s):
                fleet.signal_process(f"daemon-{vm}", signal.SIGSTOP)
                await asyncio.sleep(for_s)
                fleet.signal_process(f"daemon-{vm}", signal.SIGCONT)
            case DaemonKilled(vm=vm):
                fleet.signal_process(f"daemon-{vm}", signal.SIGKILL)
            case DaemonRestarted(vm=vm):
                fleet.signal_process(f"daemon-{vm}", signal.SIGTERM)
                code = await fleet.wait_for_exit(f"daemon-{vm}", 40.0)
                fleet.start_daemon(vm)
                return f"exit code {code}"
            case BackendSlowed(vm=vm, slowness=slowness):
                await fleet.set_backend_faults(vm, slowness=slowness)
            case BackendTurnedCold(vm=vm):
                await fleet.set_backend_faults(vm, turn_cold=True)
            case LogDown(for_s=for_s):
                await fleet.set_log_faults(outage=True)
                await asyncio.sleep(for_s)
                await fleet.set_log_faults(outage=False)
            case LogSlowed(delay_ms=delay_ms):
                await fleet.set_log_faults(delay_ms=delay_ms)
            case LogAnswersLost(count=count):
                await fleet.set_log_faults(lose_answers=count)
            case OperatorsRace():
                return await self._publish_racing_changes()
        return ""

    async def _publish(self, author: str = "bench") -> str:
        log = HttpLog(self.fleet.log_address, self.fleet.session)
        outcome = await publish(log, self.configuration, author, PUBLISH_TIMEOUT_S)
        return f"{type(outcome).__name__} {outcome}"

    async def _publish_racing_changes(self) -> str:
        """Append two different changes based on the same versions.

        Only the first may be accepted.
        """
        log = HttpLog(self.fleet.log_address, self.fleet.session)
        deadline = time.monotonic() + PUBLISH_TIMEOUT_S
        view = await read_view(log, View(), deadline)
        if not isinstance(view, View):
            return f"not run: {view.detail}"
        records = [self._build_racing_record(view, RACE_TIMEOUT_MS + step) for step in range(2)]
        for record in records:
            await log.append([encode_record(record)])
        after = await read_view(log, view, deadline)
        if not isinstance(after, View):
            return f"not resolved: {after.detail}"
        outcomes = [after.publications.get(record.record_id) for record in records]
        kinds = [type(outcome) for outcome in outcomes]
        return "one won" if kinds == [Accepted, Rejection] else f"unexpected {outcomes}"

    def _build_racing_record(self, view: View, timeout_ms: int) -> ConfigurationPublished:
        """Return a change of a request time-out.

        The change to ``RACE_TIMEOUT_MS``, which is appended first, is also made in the player's
        configuration.
        """
        changed = Configuration()
        changed.fleet = self.configuration.fleet
        changed.services = dict(self.configuration.services)
        name = self.mix.services[0].name
        changed.services[name] = attrs.evolve(changed.services[name], timeout_ms=timeout_ms)
        if timeout_ms == RACE_TIMEOUT_MS:
            self.configuration.services = changed.services
        return ConfigurationPublished(make_record_id(), "racer", list_changes(view, changed))
