"""Event loop in virtual time, for tests and benchmarks.

The time advances to the next timer as soon as no task can run.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any


class VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting.

    :ivar elapsed: virtual seconds since the start.
    """

    def __init__(self) -> None:
        super().__init__()
        self.elapsed: float = 0

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready files, or advance the time by the timeout.

        :raises RuntimeError: when all tasks wait and no timer is set.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        self.elapsed += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs in virtual time."""

    def __init__(self) -> None:
        self._time_selector = VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._time_selector.elapsed


def run_virtual(
    scenario: Callable[[Callable[[], float]], Awaitable[Any]],
) -> Any:
    """Run a coroutine function in virtual time.

    :param scenario: called with a function that returns the virtual seconds.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        return runner.run(_await_scenario(scenario, loop.time))


async def _await_scenario(
    scenario: Callable[[Callable[[], float]], Awaitable[Any]],
    now: Callable[[], float],
) -> Any:
    return await scenario(now)
