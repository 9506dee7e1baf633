"""The way of a VM out of service, through a reboot and back."""

import dataclasses
from collections.abc import Callable
from typing import TypeAlias, final

from result import Err, Ok, Result

from verbenapost.coordination.pools.records import VmEntry, VmRecords
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.platform import (
    PlatformPort,
    PoolOperation,
    VmStatus,
)
from verbenapost.state.vms import VmRecord, VmState

#: Seconds to wait for silent members to confirm that a VM drains. The drain
#: at the pool interface keeps their work out after that.
CONFIRM_SECONDS = 30.0

#: Seconds that a failed VM stays out before it is rebooted.
RECOVERY_SECONDS = 60.0

#: Seconds after which the record of a VM that is gone is deleted.
FORGET_SECONDS = 86_400.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a VM that is out of service.

    :param record: its record.
    :param status: its state at the pool interface.
    :param confirmed: every live member has seen that it takes no work.
    :param leaving: the platform is about to take it away.
    :param now: Unix time in seconds.
    """

    record: VmRecord
    status: VmStatus
    confirmed: bool
    leaving: bool
    now: float

    @property
    def target(self) -> str:
        """Return the pool that the VM serves after its reboot."""
        return self.record.next_pool or self.record.pool

    def change(self, state: VmState, reason: str) -> VmRecord:
        """Return the record in another state."""
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
    """Nothing can be done now."""

    reason: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Swap the VM's record."""

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
_Decision = Callable[[Situation], Step]

_DECISIONS: dict[VmState, _Decision] = {}


def decide_step(situation: Situation) -> Step:
    """Return the next step of a VM, from its record and status alone."""
    return _DECISIONS[situation.record.state](situation)


def _register(state: VmState) -> Callable[[_Decision], _Decision]:
    def decorate(decision: _Decision) -> _Decision:
        _DECISIONS[state] = decision
        return decision

    return decorate


@_register(VmState.IN_SERVICE)
def _stay(_situation: Situation) -> Step:
    return Wait('in service')


@_register(VmState.DRAINING)
def _empty(situation: Situation) -> Step:
    status = situation.status
    if status.boot != situation.record.boot:
        reason = situation.record.reason
        return Write(situation.change(VmState.DRAINING, reason))
    if not _is_confirmed(situation):
        return Wait('members have not confirmed the drain')
    if status.operation is PoolOperation.RUNNING:
        return Drain()
    if status.operation is PoolOperation.DRAINED:
        reason = situation.record.reason
        return Write(situation.change(VmState.IN_MAINTENANCE, reason))
    return Wait(f'the platform says {status.operation}')


@_register(VmState.IN_MAINTENANCE)
def _maintain(situation: Situation) -> Step:
    status = situation.status
    if status.boot != situation.record.boot:
        return Write(_finish_reboot(situation))
    if status.operation is PoolOperation.RUNNING:
        return Drain()
    if status.operation is not PoolOperation.DRAINED:
        return Wait(f'the platform says {status.operation}')
    if situation.leaving:
        return Wait('the platform takes the VM away')
    if situation.record.held:
        return Wait('an operator keeps it drained')
    return Reboot(situation.target)


@_register(VmState.RETURNING)
def _return(situation: Situation) -> Step:
    status = situation.status
    running = status.operation is PoolOperation.RUNNING
    as_recorded = status.boot == situation.record.boot
    if not running or not as_recorded or not _serves_target(situation):
        return Write(situation.change(VmState.DRAINING, 'rebooted elsewhere'))
    back = situation.change(VmState.IN_SERVICE, '')
    return Write(dataclasses.replace(back, maintained_at=situation.now))


@_register(VmState.FAILED)
def _recover(situation: Situation) -> Step:
    if situation.leaving:
        return Wait('the platform takes the VM away')
    if situation.now < situation.record.changed_at + RECOVERY_SECONDS:
        return Wait('it failed a moment ago')
    return Write(situation.change(VmState.DRAINING, 'recovery'))


def _is_confirmed(situation: Situation) -> bool:
    waited = situation.now - situation.record.changed_at
    return situation.confirmed or waited >= CONFIRM_SECONDS


def _serves_target(situation: Situation) -> bool:
    return situation.status.pool in {'', situation.target}


def _finish_reboot(situation: Situation) -> VmRecord:
    record = situation.record
    if situation.status.pool != situation.target:
        return situation.change(VmState.IN_MAINTENANCE, record.reason)
    back = situation.change(VmState.RETURNING, record.reason)
    moved = situation.target != record.pool
    return dataclasses.replace(
        back,
        pool=situation.target,
        next_pool=None,
        epoch=record.epoch + moved,
    )


class Mover:
    """Carries out the steps of VMs; any keeper can continue any move.

    :param records: VM records.
    :param platform: pool interface.
    :param confirm: whether every live member has applied a VM's record.
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
        """Do the next step of a VM.

        :param now: Unix time in seconds.
        :param leaving: the platform is about to take the VM away.
        :returns: its entry afterwards.
        """
        inspected = await self._platform.inspect(entry.record.name)
        if isinstance(inspected, Err):
            return await self._handle_failure(entry, inspected.err_value, now)
        situation = Situation(
            record=entry.record,
            status=inspected.ok_value,
            confirmed=self._confirm(entry),
            leaving=leaving,
            now=now,
        )
        return await self._carry_out(entry, decide_step(situation))

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
            failed = make_failed(record, 'gone', now)
            return await self._records.write(entry, failed)
        if now >= record.changed_at + FORGET_SECONDS:
            deleted = await self._records.delete(entry)
            return deleted.map(lambda _: entry)
        return Ok(entry)


def make_failed(record: VmRecord, reason: str, now: float) -> VmRecord:
    """Return the record of a VM that has failed."""
    return dataclasses.replace(
        record,
        state=VmState.FAILED,
        reason=reason,
        changed_at=now,
    )
