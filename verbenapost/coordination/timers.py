"""Timer service that parts of a daemon subscribe to."""

import dataclasses
import heapq
import random
from collections.abc import Callable
from typing import Protocol, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Message that a period of a subscription is over.

    :param name: name of the subscription.
    :param now: monotonic time of the tick, in seconds.
    """

    name: str
    now: float


class Inbox(Protocol):
    """What takes ticks, such as an ``asyncio.Queue``."""

    def put_nowait(self, message: Tick) -> None:
        """Take one message at once."""


Subscriber = Callable[[Tick], None]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """A wish to be told at regular times.

    :param name: unique name, also of the ticks.
    :param period: seconds between ticks.
    :param jitter: share of the period by which a tick may come earlier, so
        that daemons which started together drift apart.
    :param notify: takes each tick.
    """

    name: str
    period: float
    jitter: float
    notify: Subscriber


class TimerService:
    """Decides which subscriptions are due at a time.

    Explanation
    ===========

    It has no clock of its own. Whoever drives it, the daemon's event loop or
    a test in virtual time, calls :meth:`run_due` no later than
    :meth:`next_deadline`. A driver that comes late causes one tick, not one
    for each period that was missed.

    Examples
    ========

    >>> service = TimerService(seed=1)
    >>> seen = []
    >>> service.subscribe('renew', 2, seen.append, now=0)
    >>> service.next_deadline()
    2.0
    >>> service.run_due(9)
    1
    >>> seen, service.next_deadline()
    ([Tick(name='renew', now=9)], 11.0)

    :param seed: seed of the jitter.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)  # noqa: S311
        self._subscriptions: dict[str, Subscription] = {}
        self._deadlines: list[tuple[float, str, Subscription]] = []

    def subscribe(
        self,
        name: str,
        period: float,
        notify: Subscriber | Inbox,
        *,
        now: float,
        jitter: float = 0,
    ) -> None:
        """Send ticks to a callback or an inbox; replaces the same name.

        :param name: unique name.
        :param period: seconds between ticks.
        :param notify: callback, or an object with ``put_nowait``.
        :param now: monotonic time in seconds; the first tick comes one
            period later.
        :param jitter: share of the period, from 0 up to less than 1.
        :raises ValueError: when the period or jitter is out of range.
        """
        if period <= 0 or not 0 <= jitter < 1:
            raise ValueError(f'timer {name}: period or jitter out of range')
        callback = notify if callable(notify) else notify.put_nowait
        subscription = Subscription(name, period, jitter, callback)
        self._subscriptions[name] = subscription
        self._plan(subscription, now)

    def unsubscribe(self, name: str) -> None:
        """End a subscription; an unknown name is ignored."""
        self._subscriptions.pop(name, None)

    def next_deadline(self) -> float | None:
        """Return the monotonic time of the next tick, if there is one."""
        self._drop_ended()
        return self._deadlines[0][0] if self._deadlines else None

    def due(self, now: float) -> list[Subscription]:
        """Return the subscriptions that are due and plan their next tick."""
        found = []
        while self._is_first_due(now):
            subscription = heapq.heappop(self._deadlines)[2]
            found.append(subscription)
        for subscription in found:
            self._plan(subscription, now)
        return found

    def run_due(self, now: float) -> int:
        """Send the ticks that are due and return how many there were."""
        found = self.due(now)
        for subscription in found:
            subscription.notify(Tick(subscription.name, now))
        return len(found)

    def _is_first_due(self, now: float) -> bool:
        deadline = self.next_deadline()
        return deadline is not None and deadline <= now

    def _drop_ended(self) -> None:
        while self._deadlines and not self._is_current(self._deadlines[0][2]):
            heapq.heappop(self._deadlines)

    def _is_current(self, subscription: Subscription) -> bool:
        return self._subscriptions.get(subscription.name) is subscription

    def _plan(self, subscription: Subscription, now: float) -> None:
        early = subscription.jitter * self._random.random()
        deadline = now + subscription.period * (1 - early)
        row = (float(deadline), subscription.name, subscription)
        heapq.heappush(self._deadlines, row)
