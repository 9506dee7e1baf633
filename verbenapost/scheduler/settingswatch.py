"""Checks of the settings file while the daemon runs."""

import asyncio
from pathlib import Path
from typing import Final

from result import Err

from verbenapost.daemon.logs import make_logger
from verbenapost.scheduler.settings import SchedulerSettings, load_settings

#: Seconds between two checks of the file, which may change without a signal.
POLL_SECONDS: Final = 2.0


class SettingsWatcher:
    """Checks the settings file when it changes and logs the result.

    The daemon keeps the settings that it started with. New settings take
    effect at the next restart.

    :param path: path of the settings file.
    :param settings: the settings in force.
    """

    def __init__(self, path: Path, settings: SchedulerSettings) -> None:
        self._path = path
        self._settings = settings
        self._log = make_logger('settings')
        self._seen = self._read_stamp()

    async def run(self) -> None:
        """Watch the file until the task is cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            stamp = self._read_stamp()
            if stamp != self._seen:
                self._seen = stamp
                self.check()

    def check(self) -> None:
        """Read the file and log its changes or its errors."""
        loaded = load_settings(self._path)
        if isinstance(loaded, Err):
            self._log.error('settings not usable', fault=loaded.err_value)
            return
        changed = [
            name
            for name, found in loaded.ok_value
            if found != getattr(self._settings, name)
        ]
        self._log.info('settings read', changed=changed, in_force='at restart')

    def _read_stamp(self) -> float:
        try:
            return self._path.stat().st_mtime
        except OSError:
            # The file is being replaced; the next check sees the new file.
            return 0
