"""What is known about the previous leader.

Load pattern: all daemons lose their power in a burst and start again. The next
leader has to move VMs to the queue whose burst it is, and must not wait for
orders that a dead process can't send any more.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from verbenapost.daemon.timers import read_clock
from verbenapost.scheduler.leadership import Leadership

#: Seconds between two checks while a leader waits for its predecessor.
CHECK_SECONDS: Final = 0.25


class Predecessor:
    """The previous leader, and whether it can still send orders.

    Explanation
    ===========

    A VM runs one process of the system at a time. Once another process of the
    previous leader's daemon shows itself, the previous leader is dead.

    Examples
    ========

    >>> last = Leadership(3, 'front-1', 'a1', '10.0.0.1:7060')
    >>> predecessor = Predecessor(last)
    >>> predecessor.note_process('front-2', 'b1')
    >>> predecessor.note_process('front-1', 'a1')
    >>> predecessor.gone
    False
    >>> predecessor.note_process('front-1', 'a2')
    >>> predecessor.gone
    True

    :param last: leadership of the previous leader, if known.
    :param gone: whether it resigned or is known to be dead.
    """

    def __init__(
        self, last: Leadership | None = None, *, gone: bool = False
    ) -> None:
        self.gone = gone
        self._last = last

    def note_process(self, daemon: str, incarnation: str) -> None:
        """Record a process that runs now.

        :param daemon: name of its daemon.
        :param incarnation: random identity of the process.
        """
        last = self._last
        if last is not None and last.daemon == daemon:
            self.gone = self.gone or last.incarnation != incarnation

    async def wait_until_gone(
        self, seconds: float, check: Callable[[], Awaitable[None]]
    ) -> None:
        """Wait until the previous leader is gone, or for some seconds.

        :param seconds: longest wait.
        :param check: called at intervals meanwhile.
        """
        until = read_clock() + seconds
        while not self.gone and read_clock() < until:
            await asyncio.sleep(min(CHECK_SECONDS, seconds))
            await check()
