"""Entry point of the daemon on the platform."""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path
from typing import Final

from result import Err

from verbenapost.daemon.logs import configure_logs
from verbenapost.daemon.logstream import BoundedStream
from verbenapost.daemon.settings import LogSettings
from verbenapost.platform.names import SETTINGS_VARIABLE
from verbenapost.scheduler.node import Node
from verbenapost.scheduler.settings import SchedulerSettings, load_settings
from verbenapost.scheduler.settingswatch import SettingsWatcher

#: Exit status when the settings are invalid.
EXIT_SETTINGS: Final = 2


async def serve(settings: SchedulerSettings, stream: BoundedStream) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    watcher = SettingsWatcher(_find_settings(), settings)
    loop.add_signal_handler(signal.SIGHUP, watcher.check)
    node = Node(settings, lambda: stream.total_dropped)
    await node.start()
    gc.collect()
    gc.freeze()
    watching = asyncio.create_task(watcher.run())
    await ended.wait()
    watching.cancel()
    await node.stop()


def _find_settings() -> Path:
    return Path(os.environ.get(SETTINGS_VARIABLE, ''))


def main() -> None:
    """Run the daemon with the settings that the platform names."""
    loaded = load_settings(_find_settings())
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        sys.exit(EXIT_SETTINGS)
    stream = BoundedStream(sys.stdout.fileno())
    configure_logs(LogSettings(), stream, final=True)
    asyncio.run(serve(loaded.ok_value, stream))


if __name__ == '__main__':
    main()
