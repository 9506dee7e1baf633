"""Processes that a local site starts, and ends."""

import contextlib
import subprocess
import sys
import time
from pathlib import Path

#: Characters of a log that are shown when a process has ended.
TAIL_CHARACTERS = 400

#: Seconds that a process gets to end after SIGTERM.
TERM_SECONDS = 15.0


class ProcessGroup:
    """Starts processes and ends only those.

    :param folder: where each process writes its log.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, *arguments: str) -> int:
        """Start a module of this project and return its process id."""
        log_path = self._folder / f'{name}.log'
        with log_path.open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes[name] = process
        return process.pid

    def is_running(self, name: str) -> bool:
        """Tell whether a process still runs."""
        return self._processes[name].poll() is None

    def find_pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, seconds: float = TERM_SECONDS) -> int:
        """Wait for the end of a process and return its status."""
        return self._processes[name].wait(seconds)

    def read_log(self, name: str) -> str:
        """Return what a process has written."""
        return (self._folder / f'{name}.log').read_text()

    def explain(self) -> str:
        """Return which processes have ended, with their last lines."""
        ended = [
            f'{name}: {self.read_log(name)[-TAIL_CHARACTERS:]}'
            for name in self._processes
            if not self.is_running(name)
        ]
        return '; '.join(ended) or 'all processes run'

    def stop_all(self) -> None:
        """End every process, the daemons first."""
        for process in self._processes.values():
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + TERM_SECONDS
        for ending in self._processes.values():
            left = max(0, deadline - time.monotonic())
            with contextlib.suppress(subprocess.TimeoutExpired):
                ending.wait(left)
            if ending.poll() is None:
                ending.kill()
                ending.wait()
