"""Timer service for the components of a daemon."""

import dataclasses
import heapq
import random
from collections.abc import Callable
from typing import Protocol, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Message that signals the end of a subscription's period.

    :param name: name of the subscription.
    :param now: monotonic time of the tick, in seconds.
    """

    name: str
    now: float


class Inbox(Protocol):
    """Receiver of ticks, such as an ``asyncio.Queue``."""

    def put_nowait(self, message: Tick) -> None:
        """Enqueue one message without blocking."""


Subscriber = Callable[[Tick], None]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """A subscription to periodic ticks.

    :param name: unique name, also used for the ticks.
    :param period: seconds between ticks.
    :param jitter: share of the period by which a tick may come early, so
        that daemons that started together don't stay synchronized.
    :param notify: callback for each tick.
    """

    name: str
    period: float
    jitter: float
    notify: Subscriber


class TimerService:
    """Schedules the ticks of subscriptions.

    Explanation
    ===========

    The service has no clock of its own. Its driver, the daemon's event loop
    or a test in virtual time, calls :meth:`run_due` no later than
    :meth:`next_deadline`. A late call causes one tick, not one for each
    period that was missed.

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
        """Add a subscription, or replace the one of the same name.

        :param name: unique name.
        :param period: seconds between ticks.
        :param notify: callback, or an object with ``put_nowait``.
        :param now: monotonic time in seconds; the first tick is due one
            period later.
        :param jitter: share of the period, from 0 up to less than 1.
        :raises ValueError: if the period or jitter is out of range.
        """
        if period <= 0 or not 0 <= jitter < 1:
            raise ValueError(f'timer {name}: period or jitter out of range')
        callback = notify if callable(notify) else notify.put_nowait
        subscription = Subscription(name, period, jitter, callback)
        self._subscriptions[name] = subscription
        self._schedule(subscription, now)

    def unsubscribe(self, name: str) -> None:
        """End a subscription; an unknown name is ignored."""
        self._subscriptions.pop(name, None)

    def next_deadline(self) -> float | None:
        """Return the monotonic time of the next tick, ``None`` if none."""
        self._discard_ended()
        return self._deadlines[0][0] if self._deadlines else None

    def pop_due(self, now: float) -> list[Subscription]:
        """Return the due subscriptions and schedule their next ticks."""
        subscriptions_due = []
        while self._is_first_due(now):
            subscription = heapq.heappop(self._deadlines)[2]
            subscriptions_due.append(subscription)
        for subscription in subscriptions_due:
            self._schedule(subscription, now)
        return subscriptions_due

    def run_due(self, now: float) -> int:
        """Send the due ticks and return their number."""
        subscriptions_due = self.pop_due(now)
        for subscription in subscriptions_due:
            subscription.notify(Tick(subscription.name, now))
        return len(subscriptions_due)

    def _is_first_due(self, now: float) -> bool:
        deadline = self.next_deadline()
        return deadline is not None and deadline <= now

    def _discard_ended(self) -> None:
        while self._deadlines and not self._is_current(self._deadlines[0][2]):
            heapq.heappop(self._deadlines)

    def _is_current(self, subscription: Subscription) -> bool:
        return self._subscriptions.get(subscription.name) is subscription

    def _schedule(self, subscription: Subscription, now: float) -> None:
        early = subscription.jitter * self._random.random()
        deadline = now + subscription.period * (1 - early)
        row = (float(deadline), subscription.name, subscription)
        heapq.heappush(self._deadlines, row)
