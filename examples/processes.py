"""Processes of a local site."""

import contextlib
import os
import subprocess
import sys
import time
from pathlib import Path

#: Number of last characters shown of the log of an ended process.
TAIL_CHARACTERS = 400

#: Longest wait for the end of a process after SIGTERM in seconds.
TERM_SECONDS = 15.0


class ProcessGroup:
    """Starts processes and stops only those.

    :param folder: folder of the logs.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        folder: Path | None = None,
        variables: dict[str, str] | None = None,
    ) -> int:
        """Start a module of this project and return its process id.

        :param name: name of the process.
        :param module: the module.
        :param arguments: arguments of the module.
        :param folder: folder of another version of the project to run.
        :param variables: environment variables besides those of this process.
        """
        log_path = self._folder / f'{name}.log'
        with log_path.open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=folder,
                env=os.environ | (variables or {}),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes[name] = process
        return process.pid

    def is_running(self, name: str) -> bool:
        """Return whether a process is still running."""
        return self._processes[name].poll() is None

    def find_pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(signal_number)

    def wait(self, name: str, seconds: float = TERM_SECONDS) -> int:
        """Wait for the end of a process and return its exit status.

        :raises subprocess.TimeoutExpired: when the process does not end.
        """
        return self._processes[name].wait(seconds)

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._folder / f'{name}.log').read_text()

    def explain(self) -> str:
        """Return which processes have ended, with the ends of their logs."""
        ended = [
            f'{name}: {self.read_log(name)[-TAIL_CHARACTERS:]}'
            for name in self._processes
            if not self.is_running(name)
        ]
        return '; '.join(ended) or 'all processes run'

    def stop_all(self) -> None:
        """Stop every process, and kill those that do not end in time."""
        for process in self._processes.values():
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + TERM_SECONDS
        for stopping in self._processes.values():
            remaining = max(0, deadline - time.monotonic())
            with contextlib.suppress(subprocess.TimeoutExpired):
                stopping.wait(remaining)
            if stopping.poll() is None:
                stopping.kill()
                stopping.wait()
