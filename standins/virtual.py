"""Event loop whose time jumps to the next timer, for tests and benches."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any


class JumpingSelector(selectors.SelectSelector):
    """Selector that never waits but moves the time forward.

    :ivar moment: virtual seconds since the start.
    """

    def __init__(self) -> None:
        super().__init__()
        self.moment: float = 0

    def select(self, timeout: float | None = None) -> Any:
        """Return ready files at once and account for the timeout.

        :raises RuntimeError: when every task waits for nothing.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        self.moment += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs in virtual time."""

    def __init__(self) -> None:
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._jumping.moment


def run_virtual(
    scenario: Callable[[Callable[[], float]], Awaitable[Any]],
) -> Any:
    """Run a coroutine function, given the clock, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        return runner.run(_await_scenario(scenario, loop.time))


async def _await_scenario(
    scenario: Callable[[Callable[[], float]], Awaitable[Any]],
    now: Callable[[], float],
) -> Any:
    return await scenario(now)
