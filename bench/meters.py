"""Readings of processes and of the machine."""

import os
import platform
import re
import subprocess
from pathlib import Path

from verbenapost import __version__

_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')
_OWNER = re.compile(r'pid=(\d+),')
_BYTES = re.compile(r'bytes_(?:sent|received):(\d+)')


def read_cpu(pid: int) -> float:
    """Return the processor seconds of a process."""
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def read_memory(pid: int) -> int:
    """Return the resident bytes of a process."""
    return int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * _PAGE


class TrafficMeter:
    """Bytes on the TCP sockets of processes, closed ones included.

    The kernel forgets the counts of a socket when it closes, so the meter
    samples often and keeps the highest count of each.

    :param pids: process ids.
    """

    def __init__(self, pids: list[int]) -> None:
        self._sockets: dict[int, dict[str, int]] = {pid: {} for pid in pids}
        self._start: dict[int, int] = {}
        self.sample()
        self._start = {pid: self.read(pid) for pid in pids}

    def sample(self) -> None:
        """Read the counts of all open sockets."""
        for line in list_sockets():
            owner = _OWNER.search(line)
            if owner is None or int(owner[1]) not in self._sockets:
                continue
            sockets = self._sockets[int(owner[1])]
            name = ' '.join(line.split()[3:5])
            count = sum(map(int, _BYTES.findall(line)))
            sockets[name] = max(count, sockets.get(name, 0))

    def read(self, pid: int) -> int:
        """Return the bytes since the start, sent and received."""
        return sum(self._sockets[pid].values()) - self._start.get(pid, 0)


def list_sockets() -> list[str]:
    """Return a line for each TCP socket of this machine."""
    return subprocess.run(
        ['ss', '-tinpOH'],  # noqa: S607
        capture_output=True,
        text=True,
        check=True,
    ).stdout.splitlines()


def describe_run() -> dict[str, str]:
    """Return machine, versions and revision."""
    revision = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],  # noqa: S607
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    return {
        'machine': platform.machine(),
        'cores': str(os.cpu_count()),
        'system': platform.release(),
        'python': platform.python_version(),
        'verbenapost': __version__,
        'revision': revision,
    }
