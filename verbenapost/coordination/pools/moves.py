"""State machine of a VM that leaves service, reboots and returns."""

import dataclasses
from collections.abc import Callable
from typing import TypeAlias, final

from result import Err, Ok, Result

from verbenapost.coordination.pools.records import VmEntry, VmRecords
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.platform import (
    PlatformPort,
    VmOperation,
    VmStatus,
)
from verbenapost.state.vms import VmRecord, VmState

#: Seconds to wait until all members confirm that a VM drains. Afterwards the
#: drain at the pool interface rejects the work of members that did not answer.
CONFIRM_TIMEOUT_SECONDS = 30.0

#: Seconds between the failure of a VM and the start of its recovery.
RECOVERY_DELAY_SECONDS = 60.0

#: Seconds for which the record of a VM that no longer exists is kept.
RECORD_RETENTION_SECONDS = 86_400.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MoveContext:
    """Input for the decision on the next step of a VM.

    :param record: record of the VM.
    :param status: state of the VM at the pool interface.
    :param confirmed: whether every live member has applied the record, and
        so sends no new work to the VM.
    :param leaving: whether the platform is about to remove the VM.
    :param now: Unix time in seconds.
    """

    record: VmRecord
    status: VmStatus
    confirmed: bool
    leaving: bool
    now: float

    @property
    def destination_pool(self) -> str:
        """Return the pool that the VM serves after the reboot."""
        return self.record.next_pool or self.record.pool

    def change(self, state: VmState, reason: str) -> VmRecord:
        """Return the record with a new state and the present boot count."""
        return dataclasses.replace(
            self.record,
            state=state,
            reason=reason,
            changed_at=self.now,
            boot=self.status.boot,
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """No step is possible now.

    :param reason: condition that the VM waits for.
    """

    reason: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Replace the record of the VM by compare-and-swap."""

    record: VmRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Drain the VM at the pool interface."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Reboot:
    """Reboot the VM at the pool interface."""

    pool: str


Step: TypeAlias = Wait | Write | Drain | Reboot
_Decision = Callable[[MoveContext], Step]

_DECISIONS: dict[VmState, _Decision] = {}


def decide_step(context: MoveContext) -> Step:
    """Return the next step of a VM.

    The decision depends on the context only, so any keeper can continue.
    """
    return _DECISIONS[context.record.state](context)


def _register(state: VmState) -> Callable[[_Decision], _Decision]:
    def decorate(decision: _Decision) -> _Decision:
        _DECISIONS[state] = decision
        return decision

    return decorate


@_register(VmState.IN_SERVICE)
def _decide_in_service(_context: MoveContext) -> Step:
    return Wait('in service')


@_register(VmState.DRAINING)
def _decide_draining(context: MoveContext) -> Step:
    status = context.status
    if status.boot != context.record.boot:
        reason = context.record.reason
        return Write(context.change(VmState.DRAINING, reason))
    if not _is_confirmed(context):
        return Wait('members have not confirmed the drain')
    if status.operation is VmOperation.RUNNING:
        return Drain()
    if status.operation is VmOperation.DRAINED:
        reason = context.record.reason
        return Write(context.change(VmState.IN_MAINTENANCE, reason))
    return Wait(f'the platform reports {status.operation}')


@_register(VmState.IN_MAINTENANCE)
def _decide_in_maintenance(context: MoveContext) -> Step:
    status = context.status
    if status.boot != context.record.boot:
        return Write(_finish_reboot(context))
    if status.operation is VmOperation.RUNNING:
        return Drain()
    if status.operation is not VmOperation.DRAINED:
        return Wait(f'the platform reports {status.operation}')
    if context.leaving:
        return Wait('the platform is removing the VM')
    if context.record.held:
        return Wait('an operator holds the VM')
    return Reboot(context.destination_pool)


@_register(VmState.RETURNING)
def _decide_returning(context: MoveContext) -> Step:
    status = context.status
    running = status.operation is VmOperation.RUNNING
    same_boot = status.boot == context.record.boot
    if not running or not same_boot or not _serves_destination(context):
        return Write(context.change(VmState.DRAINING, 'rebooted elsewhere'))
    returned = context.change(VmState.IN_SERVICE, '')
    return Write(dataclasses.replace(returned, maintained_at=context.now))


@_register(VmState.FAILED)
def _decide_failed(context: MoveContext) -> Step:
    if context.leaving:
        return Wait('the platform is removing the VM')
    if context.now < context.record.changed_at + RECOVERY_DELAY_SECONDS:
        return Wait('the VM failed recently')
    return Write(context.change(VmState.DRAINING, 'recovery'))


def _is_confirmed(context: MoveContext) -> bool:
    waited = context.now - context.record.changed_at
    return context.confirmed or waited >= CONFIRM_TIMEOUT_SECONDS


def _serves_destination(context: MoveContext) -> bool:
    return context.status.pool in {'', context.destination_pool}


def _finish_reboot(context: MoveContext) -> VmRecord:
    record = context.record
    if context.status.pool != context.destination_pool:
        return context.change(VmState.IN_MAINTENANCE, record.reason)
    returned = context.change(VmState.RETURNING, record.reason)
    moved = context.destination_pool != record.pool
    return dataclasses.replace(
        returned,
        pool=context.destination_pool,
        next_pool=None,
        epoch=record.epoch + moved,
    )


class Mover:
    """Executes the steps of VMs; any keeper can continue any move.

    :param records: VM records.
    :param platform: pool interface.
    :param confirm: returns whether every live member has applied a VM record.
    """

    def __init__(
        self,
        records: VmRecords,
        platform: PlatformPort,
        confirm: Callable[[VmEntry], bool],
    ) -> None:
        self._records = records
        self._platform = platform
        self._confirm = confirm

    async def advance(
        self,
        entry: VmEntry,
        now: float,
        *,
        leaving: bool = False,
    ) -> Result[VmEntry, Failure]:
        """Execute the next step of a VM.

        :param entry: VM record as it was read.
        :param now: Unix time in seconds.
        :param leaving: whether the platform is about to remove the VM.
        :returns: the entry after the step.
        """
        inspected = await self._platform.inspect(entry.record.name)
        if isinstance(inspected, Err):
            return await self._handle_failure(entry, inspected.err_value, now)
        context = MoveContext(
            record=entry.record,
            status=inspected.ok_value,
            confirmed=self._confirm(entry),
            leaving=leaving,
            now=now,
        )
        return await self._carry_out(entry, decide_step(context))

    async def _carry_out(
        self,
        entry: VmEntry,
        step: Step,
    ) -> Result[VmEntry, Failure]:
        name = entry.record.name
        boot = entry.record.boot
        match step:
            case Write(record):
                return await self._records.write(entry, record)
            case Drain():
                drained = await self._platform.drain(name, boot)
                return drained.map(lambda _: entry)
            case Reboot(pool):
                rebooted = await self._platform.reboot(name, boot, pool)
                return rebooted.map(lambda _: entry)
            case Wait():
                return Ok(entry)

    async def _handle_failure(
        self,
        entry: VmEntry,
        failure: Failure,
        now: float,
    ) -> Result[VmEntry, Failure]:
        if failure.kind is not ErrorKind.NOT_FOUND:
            return Err(failure)
        record = entry.record
        if record.state is not VmState.FAILED:
            failed = make_failed_record(record, 'gone', now)
            return await self._records.write(entry, failed)
        if now >= record.changed_at + RECORD_RETENTION_SECONDS:
            deleted = await self._records.delete(entry)
            return deleted.map(lambda _: entry)
        return Ok(entry)


def make_failed_record(record: VmRecord, reason: str, now: float) -> VmRecord:
    """Return the record of a VM in the failed state."""
    return dataclasses.replace(
        record,
        state=VmState.FAILED,
        reason=reason,
        changed_at=now,
    )
