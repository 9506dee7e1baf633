"""Clock of the daemon and the task that runs due timers."""

import asyncio
import time
from collections.abc import Callable

from verbenapost.coordination.timers import TimerService

#: Longest sleep in seconds, so that new subscriptions take effect soon.
MAX_SLEEP_SECONDS = 0.1

_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', None)


def read_clock() -> float:
    """Return monotonic seconds, including time while the VM is suspended."""
    if _CLOCK_ID is None:
        return time.monotonic()
    return time.clock_gettime(_CLOCK_ID)


async def run_timers(
    service: TimerService,
    clock: Callable[[], float] = read_clock,
) -> None:
    """Run due timers until cancelled.

    :param service: timer service that holds the subscriptions.
    :param clock: returns monotonic seconds.
    """
    while True:
        service.run_due(clock())
        deadline = service.next_deadline()
        pause = MAX_SLEEP_SECONDS
        if deadline is not None:
            pause = min(pause, max(0, deadline - clock()))
        await asyncio.sleep(pause)
