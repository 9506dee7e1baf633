"""Entry point of ``verbenapostd``."""

import asyncio
import gc
import signal
import sys

import fire
from result import Err

from verbenapost.daemon.check import check_settings, load_settings
from verbenapost.daemon.logs import configure_logs
from verbenapost.daemon.node import Daemon
from verbenapost.daemon.settings import Settings

#: Exit status for unusable settings.
EXIT_SETTINGS = 2


async def serve(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    daemon = Daemon(settings)
    await daemon.start()
    # Objects created at startup are kept as long as the process runs, so the
    # garbage collector need not scan them again.
    gc.collect()
    gc.freeze()
    await stop_requested.wait()
    await daemon.stop()


def main(settings: str, *, check: bool = False) -> None:
    """Run the daemon of one entry VM.

    :param settings: path of the JSON settings file.
    :param check: check the file, report each fault and exit.
    """
    if check:
        sys.exit(check_settings(settings))
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        sys.exit(check_settings(settings) or EXIT_SETTINGS)
    configure_logs(loaded.ok_value.logs)
    asyncio.run(serve(loaded.ok_value))


def run() -> None:
    """Parse the command line of ``verbenapostd``."""
    fire.Fire(main, name='verbenapostd')


if __name__ == '__main__':
    run()
