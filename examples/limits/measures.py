"""Memory and descriptors of a process, with what it has not read yet."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Final, final

#: Bytes per unit of the sizes in ``/proc``.
_KIB: Final = 1024

#: Seconds between two measurements of :class:`MemoryWatch`.
_WATCH_SECONDS: Final = 0.1

# Fields of a line of ``/proc/net/tcp``.
_LOCAL_ADDRESS: Final = 1
_STATE: Final = 3
_QUEUES: Final = 4
_INODE: Final = 9

_LISTENS: Final = '0A'


def read_peak_bytes(pid: int) -> int:
    """Return the peak of the resident memory of a process."""
    return _read_status(pid, 'VmHWM')


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


def read_unread_bytes(pid: int, ports: Iterable[int]) -> int:
    """Return the bytes that a process has received and not read.

    Connections that it has not accepted yet count as well.

    :param pid: the process.
    :param ports: ports at which the process listens.
    """
    inodes = _find_sockets(pid)
    listened = {f'{port:04X}' for port in ports}
    total = 0
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        _host, _, port = fields[_LOCAL_ADDRESS].partition(':')
        is_own = port in listened or fields[_INODE] in inodes
        if is_own and fields[_STATE] != _LISTENS:
            _sent, _, received = fields[_QUEUES].partition(':')
            total += int(received, 16)
    return total


@final
class MemoryWatch:
    """Measures a process again and again until it is stopped.

    :param pid: the process.
    :param ports: ports at which the process listens.
    :ivar peak_bytes: highest sum of the resident memory and of the bytes that
        were not read.
    :ivar peak_unread_bytes: highest number of bytes that were not read.
    """

    def __init__(self, pid: int, ports: Iterable[int]) -> None:
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self._pid = pid
        self._ports = tuple(ports)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Measure a last time."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._measure()

    async def _run(self) -> None:
        while True:
            self._measure()
            await asyncio.sleep(_WATCH_SECONDS)

    def _measure(self) -> None:
        unread = read_unread_bytes(self._pid, self._ports)
        used = _read_status(self._pid, 'VmRSS') + unread
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_bytes = max(self.peak_bytes, used)


def _find_sockets(pid: int) -> set[str]:
    """Return the inodes of the sockets of a process."""
    found = set()
    for descriptor in Path(f'/proc/{pid}/fd').iterdir():
        try:
            name = str(descriptor.readlink())
        except OSError:
            # Closed since the folder was read.
            continue
        if name.startswith('socket:['):
            found.add(name.removeprefix('socket:[').removesuffix(']'))
    return found


def _read_status(pid: int, name: str) -> int:
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    fields = dict(line.split(':', 1) for line in lines)
    return int(fields[name].split()[0]) * _KIB
