"""Calls of the store on behalf of a caller, repeated while it waits."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from result import Err, Ok, Result

from verbenapost.coordination.scheduling.outages import StoreOutage
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    Conflict,
    Fault,
    Transaction,
)

#: Seconds between two tries.
RETRY_SECONDS: Final = 0.15

#: Seconds before the caller's time is up at which it gets its answer.
ANSWER_MARGIN: Final = 0.15

_Found = TypeVar('_Found')


class RetryingStore:
    """Repeats calls until they are settled or the caller's time is up.

    :param store: the store.
    :param outage: whether the store is away.
    """

    def __init__(self, store: PlatformStore, outage: StoreOutage) -> None:
        self._store = store
        self._outage = outage

    async def read(
        self,
        attempt: Callable[[], Awaitable[Result[_Found, CallFault]]],
        deadline: float,
    ) -> Result[_Found, CallFault]:
        """Repeat a look until it succeeds.

        :param attempt: reads what is needed.
        :param deadline: local seconds until which the caller waits.
        """
        while True:
            found = await attempt()
            if isinstance(found, Ok) or _is_due(deadline):
                return found
            await asyncio.sleep(RETRY_SECONDS)

    async def write(
        self,
        transaction: Transaction,
        deadline: float,
    ) -> Result[int, CallFault | Conflict]:
        """Repeat a write until it is settled.

        A fault is not ``UNKNOWN`` only when no try can have been carried out;
        such a write is given up as soon as the store is known to be away.

        :param deadline: local seconds until which the caller waits.
        """
        uncertain: CallFault | None = None
        while True:
            answer = await self._store.commit(transaction)
            if isinstance(answer, Ok):
                return answer
            fault = answer.err_value
            if isinstance(fault, Conflict):
                return answer
            if fault.fault is Fault.UNKNOWN:
                uncertain = fault
            away = uncertain is None and self._outage.is_away(read_clock())
            if away or _is_due(deadline):
                return Err(uncertain or fault)
            await asyncio.sleep(RETRY_SECONDS)


def _is_due(deadline: float) -> bool:
    return read_clock() + RETRY_SECONDS > deadline - ANSWER_MARGIN
