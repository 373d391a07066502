"""Puts a daemon together from the product's tasks and this platform's adapters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmondock._tasks.sidecar import OperatorWords, Sidecar, SitePartitions
from persimmondock.platform import _operator, _store
from persimmondock.platform._backend import PlatformBackend
from persimmondock.platform._ingress import Ingress

if TYPE_CHECKING:
    from persimmondock._domain.site import NodeSettings


class PlatformDaemon:
    """One daemon on the platform."""

    def __init__(self, settings: NodeSettings) -> None:
        self._store = _store.PlatformStore(settings.store_address, settings.node)
        self._server = PlatformBackend(settings.backend_address)
        self.sidecar = Sidecar(
            settings,
            self._store,
            self._server,
            SitePartitions(_store.OPERATOR, _store.MEMBERS, _store.ASSIGNMENTS),
            OperatorWords(
                _operator.CONFIG_KEY, _operator.decode_configuration, _operator.find_evacuated
            ),
        )
        self._ingress = Ingress(self.sidecar)

    async def start(self) -> None:
        """Start all tasks and listen.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        await self.sidecar.start()
        await self._ingress.start()

    async def stop(self) -> None:
        """Hand over, finish what is in flight, and end."""
        left_s = await self.sidecar.finish()
        await self._ingress.close(left_s)
        await self.close()

    async def close(self) -> None:
        """End at once."""
        await self._ingress.close()
        self.sidecar.close()
        self._server.close()
        self._store.close()
