"""Resource use of processes, and a description of the benchmark run."""

import os
import platform
import re
import subprocess
from pathlib import Path

from verbenapost import __version__

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_SOCKET_PID = re.compile(r'pid=(\d+),')
_BYTE_COUNTS = re.compile(r'bytes_(?:sent|received):(\d+)')


def read_cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def read_memory(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    return int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * _PAGE_BYTES


class TrafficMeter:
    """Counts the bytes on the TCP sockets of processes, closed ones included.

    The kernel drops the counters of a socket that closes. The meter keeps the
    highest count of each socket and must therefore be sampled often.

    :param pids: process ids.
    """

    def __init__(self, pids: list[int]) -> None:
        self._sockets: dict[int, dict[str, int]] = {pid: {} for pid in pids}
        self._baseline: dict[int, int] = {}
        self.sample()
        self._baseline = {pid: self.read(pid) for pid in pids}

    def sample(self) -> None:
        """Read the byte counters of all open sockets."""
        for line in list_sockets():
            pid_match = _SOCKET_PID.search(line)
            if pid_match is None or int(pid_match[1]) not in self._sockets:
                continue
            sockets = self._sockets[int(pid_match[1])]
            name = ' '.join(line.split()[3:5])
            count = sum(map(int, _BYTE_COUNTS.findall(line)))
            sockets[name] = max(count, sockets.get(name, 0))

    def read(self, pid: int) -> int:
        """Return the bytes sent and received since the meter was created."""
        return sum(self._sockets[pid].values()) - self._baseline.get(pid, 0)


def list_sockets() -> list[str]:
    """Return a line of ``ss`` for each TCP socket of this host."""
    return subprocess.run(
        ['ss', '-tinpOH'],  # noqa: S607
        capture_output=True,
        text=True,
        check=True,
    ).stdout.splitlines()


def describe_run() -> dict[str, str]:
    """Return the host, the versions and the revision of the source."""
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
