"""Orders to the cloud for single VMs, retried until their outcome is known."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from result import Err, Result

from verbenapost.coordination.scheduling.waveprogress import (
    UNCONFIRMED_ORDER_SECONDS,
)
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.cloud import CloudClient
from verbenapost.platform.http import Answer
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.tasks import TaskSet

#: Seconds between two attempts of an order.
RETRY_SECONDS: Final = 0.5

#: Attempts of one order.
MAX_ORDER_ATTEMPTS: Final = 12

Outcome = Result[Answer, CallFault]

_RETRYABLE: Final = frozenset(
    (CallFaultKind.UNKNOWN, CallFaultKind.LIMITED, CallFaultKind.NOT_DONE)
)


class VmOrders:
    """Sends one order at a time for each VM.

    :param cloud: client of the cloud.
    :param election: leadership of this daemon.
    :param log: logger.
    :ivar busy: VMs with an order in progress.
    """

    def __init__(
        self,
        cloud: CloudClient,
        election: Election,
        log: Any,
    ) -> None:
        self.busy: set[str] = set()
        self._cloud = cloud
        self._election = election
        self._log = log
        self._tasks = TaskSet()
        self._uncertain_until: dict[str, float] = {}

    def begin(
        self,
        vm: str,
        order: Coroutine[Any, Any, None],
        finish: Callable[[], None],
    ) -> None:
        """Run an order in the background.

        :param vm: VM of the order.
        :param order: coroutine that performs the order.
        :param finish: called when the order has ended, with any outcome.
        """
        self.busy.add(vm)

        def note_end(_task: Any) -> None:
            self.busy.discard(vm)
            finish()

        self._tasks.add(order).add_done_callback(note_end)

    def find_uncertain(self, now: float) -> set[str]:
        """Return the VMs for which an order may still be executed late."""
        self._uncertain_until = {
            vm: until
            for vm, until in self._uncertain_until.items()
            if now < until
        }
        return set(self._uncertain_until)

    async def move(self, vm: str, pool: str) -> Outcome:
        """Move a VM into another pool."""
        token = self._election.token
        return await self._send_until_known(
            'move', vm, lambda: self._cloud.move(vm, pool, token)
        )

    async def maintain(self, vm: str, wave: int) -> Outcome:
        """Begin a VM's maintenance."""
        token = self._election.token
        return await self._send_until_known(
            'maintenance', vm, lambda: self._cloud.maintain(vm, wave, token)
        )

    async def close(self) -> None:
        """Cancel all orders."""
        await self._tasks.close()

    async def _send_until_known(
        self,
        kind: str,
        vm: str,
        order: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        outcome: Outcome = Err(CallFault(CallFaultKind.NOT_DONE, 'not sent'))
        uncertain: Outcome | None = None
        attempts = 0
        while attempts < MAX_ORDER_ATTEMPTS and self._election.holds_lease():
            attempts += 1
            outcome = await order()
            self._record_outcome(kind, vm, outcome)
            if not isinstance(outcome, Err):
                return outcome
            if outcome.err_value.kind not in _RETRYABLE:
                break
            if outcome.err_value.kind is CallFaultKind.UNKNOWN:
                uncertain = outcome
                self._uncertain_until[vm] = (
                    read_clock() + UNCONFIRMED_ORDER_SECONDS
                )
            await asyncio.sleep(RETRY_SECONDS)
        return uncertain or outcome

    def _record_outcome(self, kind: str, vm: str, outcome: Outcome) -> None:
        outcome_text = 'ok'
        if isinstance(outcome, Err):
            fault = outcome.err_value
            outcome_text = f'{fault.kind}: {fault.detail}'
            if fault.kind is CallFaultKind.FENCED:
                self._election.lose('the cloud has seen a higher token')
        self._log.info('VM ordered', kind=kind, vm=vm, outcome=outcome_text)
