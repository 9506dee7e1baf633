"""Store calls that are retried while a caller waits."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from result import Err, Ok, Result

from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    Transaction,
    TransactionConflict,
)

#: Seconds between two attempts.
RETRY_SECONDS: Final = 0.15

#: Seconds before the caller's deadline by which the answer is sent.
ANSWER_MARGIN: Final = 0.15

_Found = TypeVar('_Found')


class RetryingStore:
    """Retries calls until their outcome is known or the deadline is near.

    :param store: the store.
    :param outage_detector: tells whether the store is unavailable.
    """

    def __init__(
        self, store: PlatformStore, outage_detector: StoreOutageDetector
    ) -> None:
        self._store = store
        self._outage_detector = outage_detector

    async def read(
        self,
        attempt: Callable[[], Awaitable[Result[_Found, CallFault]]],
        deadline: float,
    ) -> Result[_Found, CallFault]:
        """Repeat a read until it succeeds.

        :param attempt: performs the read once.
        :param deadline: local clock in seconds until which the caller waits.
        """
        while True:
            found = await attempt()
            if isinstance(found, Ok) or _is_deadline_near(deadline):
                return found
            await asyncio.sleep(RETRY_SECONDS)

    async def write(
        self,
        transaction: Transaction,
        deadline: float,
    ) -> Result[int, CallFault | TransactionConflict]:
        """Repeat a write until its outcome is known.

        The returned fault is ``UNKNOWN`` if any attempt may have been executed.
        Otherwise retrying stops as soon as the store is known to be
        unavailable.

        :param transaction: the write.
        :param deadline: local clock in seconds until which the caller waits.
        """
        uncertain: CallFault | None = None
        while True:
            answer = await self._store.commit(transaction)
            if isinstance(answer, Ok):
                return answer
            fault = answer.err_value
            if isinstance(fault, TransactionConflict):
                return answer
            if fault.kind is CallFaultKind.UNKNOWN:
                uncertain = fault
            unavailable = (
                uncertain is None
                and self._outage_detector.is_unavailable(read_clock())
            )
            if unavailable or _is_deadline_near(deadline):
                return Err(uncertain or fault)
            await asyncio.sleep(RETRY_SECONDS)


def _is_deadline_near(deadline: float) -> bool:
    return read_clock() + RETRY_SECONDS > deadline - ANSWER_MARGIN
