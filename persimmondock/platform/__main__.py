"""Starts the daemon on the users' platform."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from loguru import logger

from persimmondock._adapters.logging import configure_logging
from persimmondock._tasks.sidecar import OperatorWords, Sidecar, SitePartitions
from persimmondock.platform import _operator, _settings, _store
from persimmondock.platform._backend import PlatformBackend
from persimmondock.platform._ingress import Ingress
from persimmondock.settings import SettingsError

EXIT_INPUT = 2
LOG_LEVEL = "INFO"


async def run_daemon(path: Path) -> None:
    """Run until a signal asks to stop.

    Raises
    ------
    SettingsError
        If the settings cannot be used.
    OSError
        If an address cannot be listened on.
    """
    settings = _settings.load_node_settings(path)
    store = _store.PlatformStore(settings.store_address, settings.node)
    server = PlatformBackend(settings.backend_address)
    sidecar = Sidecar(
        settings,
        store,
        server,
        SitePartitions(_store.OPERATOR, _store.MEMBERS, _store.ASSIGNMENTS),
        OperatorWords(
            _operator.CONFIG_KEY, _operator.decode_configuration, _operator.find_evacuated
        ),
    )
    ingress = Ingress(sidecar)
    await sidecar.start()
    await ingress.start()
    await sidecar.stopping.wait()
    await sidecar.finish()
    await ingress.close()
    sidecar.close()
    server.close()
    store.close()


def main() -> int:
    """Run the daemon and return its exit code."""
    configure_logging(LOG_LEVEL, sys.stdout)
    path = os.environ.get(_settings.FILE_VARIABLE, "")
    try:
        if not path:
            raise SettingsError(f"environment variable {_settings.FILE_VARIABLE} is not set")
        asyncio.run(run_daemon(Path(path)))
    except SettingsError as error:
        logger.error("event=settings_refused detail={!r}", str(error))
        return EXIT_INPUT
    except OSError as error:
        logger.error("event=start_failed error={!r}", error)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
