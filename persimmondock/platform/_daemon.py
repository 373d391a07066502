"""Assembles a daemon from `persimmondock._tasks` and the adapters of the platform."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, TypeAlias

from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.process_usage import raise_descriptor_limit
from persimmondock._adapters.prometheus import PrometheusMetrics
from persimmondock._domain.descriptor_budget import compute_callers_share, compute_connections
from persimmondock._domain.memory_budget import MemoryBudget, compute_limit
from persimmondock._domain.settings_error import SettingsError, SettingsUnreadableError
from persimmondock._tasks.sidecar import OperatorCodec, Sidecar, SitePartitions
from persimmondock._tasks.usage_monitor import UsageMonitor
from persimmondock.platform import _headers, _operator, _settings, _store
from persimmondock.platform._backend import PlatformBackend
from persimmondock.platform._ingress import Ingress

if TYPE_CHECKING:
    from pathlib import Path

    from persimmondock._domain.site import NodeSettings
    from persimmondock.platform._settings import MetricsEndpoint

FileStamp: TypeAlias = tuple[int, int] | None

SETTINGS_POLL_S = 1.0  # the file may also change without a SIGHUP


class PlatformDaemon:
    """One daemon on the platform."""

    def __init__(
        self, settings: NodeSettings, metrics_endpoint: MetricsEndpoint | None = None
    ) -> None:
        self._connections = compute_connections(0, -1)
        self.memory = MemoryBudget(compute_limit(settings.memory_mb))
        self._monitor = UsageMonitor(
            settings.memory_mb,
            settings.max_descriptors,
            self.memory,
            self._update_shares,
        )
        self._store = _store.PlatformStore(settings.store_address, settings.node, self.memory)
        self._metrics = PrometheusMetrics() if metrics_endpoint is not None else None
        self._backend = PlatformBackend(settings.backend_address, self._metrics, self.memory)
        self.sidecar = Sidecar(
            settings,
            self._store,
            self._backend,
            SitePartitions(
                _store.OPERATOR_PARTITION, _store.MEMBERS_PARTITION, _store.ASSIGNMENTS_PARTITION
            ),
            OperatorCodec(
                _operator.CONFIG_KEY, _operator.decode_configuration, _operator.find_evacuated
            ),
            self._metrics,
            self.memory,
        )
        self.sidecar.dispatcher.read_notice = _headers.read_answer_notice
        self._ingress = Ingress(
            self.sidecar, metrics_endpoint, self._metrics, self._monitor.update_gauges, self.memory
        )
        self.reload_requested = asyncio.Event()

    async def start(self) -> None:
        """Start all tasks and listeners.

        Raises
        ------
        OSError
            If listening on an address fails.
        """
        max_descriptors = self.sidecar.settings.max_descriptors
        self._connections = compute_connections(
            max_descriptors, raise_descriptor_limit(max_descriptors)
        )
        self._update_shares()
        await self.sidecar.start()
        await self._ingress.start()
        self.sidecar.tasks.start_auxiliary("usage_monitor", self._monitor.run)

    def _update_shares(self) -> None:
        """Give callers the connections that the daemon does not need itself."""
        peers = len(self.sidecar.mesh.peers)
        self._ingress.limit_callers(compute_callers_share(self._connections, peers))

    def watch_settings(self, path: Path, stamp: FileStamp) -> None:
        """Reload the settings file on request or after a change, until closed.

        Invalid settings are logged and not applied.

        Parameters
        ----------
        stamp
            Of the file before the settings in force were read from it.
        """
        self.sidecar.tasks.start_auxiliary("settings", lambda: self._reload_settings(path, stamp))

    async def _reload_settings(self, path: Path, last_stamp: FileStamp) -> None:
        requested = self.reload_requested
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await requested.wait()
            stamp = read_file_stamp(path)
            if not requested.is_set() and stamp == last_stamp:
                continue
            requested.clear()
            last_stamp = stamp
            if self.sidecar.stopping.is_set():
                continue
            try:
                self.sidecar.reload(_settings.load_node_settings(path))
            except SettingsError as error:
                if isinstance(error, SettingsUnreadableError):
                    last_stamp = None
                logger.error("event=settings_refused detail={!r}", str(error))

    async def stop(self) -> None:
        """Hand over the keys, answer requests in flight, and stop within the bound ``stop_s``."""
        self._ingress.drain()
        stop_by = await self.sidecar.hand_over()
        await asyncio.gather(
            self._ingress.close(stop_by - read_clock()), self.sidecar.drain(stop_by)
        )
        await self.sidecar.deliver_replies(stop_by)
        await self.close()

    async def close(self) -> None:
        """Stop at once, without a handover."""
        await self._ingress.close()
        self.sidecar.close()
        self._backend.close()
        self._store.close()


def read_file_stamp(path: Path) -> FileStamp:
    """Return a file's modification time in ns and size in bytes, or None if stat fails."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
