"""State of the stand-in for the platform's VM list and pool interface."""

import dataclasses
import random
from collections.abc import Callable, Mapping
from typing import Any, final


class UnknownVmError(LookupError):
    """The platform has no such VM, or it is dead."""


class RefusedError(RuntimeError):
    """The operation does not fit the state or boot count of the VM."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults and delays of the VM list and the pool interface.

    :param lag: age of the returned VM list in seconds.
    :param duplicates: probability that an entry of the list is repeated.
    :param gaps: probability that an entry of the list is missing.
    :param latency: seconds before each answer.
    :param refuse: probability that a call is refused with 503.
    :param lose: probability that a call takes effect and its answer is lost.
    :param drain_seconds: duration of a drain in seconds.
    :param reboot_seconds: duration of a reboot in seconds.
    """

    lag: float = 0
    duplicates: float = 0
    gaps: float = 0
    latency: float = 0
    refuse: float = 0
    lose: float = 0
    drain_seconds: float = 0.2
    reboot_seconds: float = 1


@final
@dataclasses.dataclass(slots=True)
class Machine:
    """State of one VM on the platform.

    :param state: state in the VM list: ``live``, ``leaving`` or ``dead``.
    :param operation: state of the pool interface, such as ``draining``.
    :param boot: number of boots so far.
    :param until: time at which the current operation ends, in seconds.
    """

    name: str
    address: str
    data_centre: str = ''
    rack: str = ''
    cores: int = 16
    memory_gb: int = 64
    accelerators: int = 0
    state: str = 'live'
    pool: str = ''
    operation: str = 'running'
    boot: int = 1
    until: float = 0

    def advance(self, now: float) -> None:
        """Finish a drain or a reboot whose duration is over."""
        if now < self.until:
            return
        if self.operation == 'draining':
            self.operation = 'drained'
        elif self.operation == 'rebooting':
            self.operation = 'running'
            self.boot += 1


_Row = dict[str, Any]
_Snapshot = tuple[float, list[_Row]]

_LISTED_FIELDS = (
    'name',
    'address',
    'data_centre',
    'rack',
    'cores',
    'memory_gb',
    'accelerators',
    'state',
)


@final
class Platform:
    """State of the VM list and of the pool interface.

    :param clock: returns the time in seconds.
    :param seed: seed of the random faults.
    """

    def __init__(self, clock: Callable[[], float], seed: int = 0) -> None:
        self.faults = Faults()
        self.machines: dict[str, Machine] = {}
        self._clock = clock
        self.random = random.Random(seed)
        self._history: list[_Snapshot] = []

    def add(self, row: Mapping[str, Any]) -> Machine:
        """Add a VM, or replace the one of the same name."""
        machine = Machine(**row)
        self.machines[machine.name] = machine
        self._save_snapshot()
        return machine

    def mark(self, name: str, state: str) -> Machine:
        """Set the list state of a VM: ``live``, ``leaving`` or ``dead``."""
        machine = self.machines[name]
        machine.state = state
        self._save_snapshot()
        return machine

    def change_faults(self, changes: Mapping[str, float]) -> Faults:
        """Replace the named faults and keep the others."""
        self.faults = dataclasses.replace(self.faults, **changes)
        return self.faults

    def list_vms(self) -> list[_Row]:
        """Return the list of ``lag`` seconds ago, with random faults."""
        rows: list[_Row] = []
        for row in self._find_snapshot():
            if self.random.random() < self.faults.gaps:
                continue
            rows.append(row)
            if self.random.random() < self.faults.duplicates:
                rows.append(row)
        return rows

    def inspect(self, name: str) -> Machine:
        """Return a VM after its finished operations.

        :raises UnknownVmError: when the VM does not exist or is dead.
        """
        machine = self.machines.get(name)
        if machine is None or machine.state == 'dead':
            raise UnknownVmError(name)
        machine.advance(self._clock())
        return machine

    def drain(self, name: str, boot: int | None = None) -> Machine:
        """Start to drain a VM; the call is idempotent.

        :param boot: boot count that the caller expects, ``None`` for any.
        :raises RefusedError: when the VM has another boot count or reboots.
        """
        machine = self._check_boot(name, boot)
        if machine.operation == 'rebooting':
            raise RefusedError('the VM reboots')
        if machine.operation == 'running':
            machine.operation = 'draining'
            machine.until = self._clock() + self.faults.drain_seconds
            machine.advance(self._clock())
        return machine

    def reboot(
        self, name: str, pool: str = '', boot: int | None = None
    ) -> Machine:
        """Reboot a drained VM into a pool; the call is idempotent.

        :param pool: pool of the VM after the reboot.
        :param boot: boot count that the caller expects, ``None`` for any.
        :raises RefusedError: when the VM is not drained or has another boot
            count.
        """
        machine = self._check_boot(name, boot)
        if machine.operation == 'rebooting':
            return machine
        if machine.operation != 'drained':
            raise RefusedError(f'the VM is {machine.operation}')
        machine.operation = 'rebooting'
        machine.pool = pool
        machine.until = self._clock() + self.faults.reboot_seconds
        return machine

    def _check_boot(self, name: str, boot: int | None) -> Machine:
        machine = self.inspect(name)
        if boot is not None and machine.boot != boot:
            raise RefusedError(f'the boot count is {machine.boot}')
        return machine

    def _save_snapshot(self) -> None:
        rows = [
            {field: getattr(machine, field) for field in _LISTED_FIELDS}
            for machine in self.machines.values()
            if machine.state != 'dead'
        ]
        self._history.append((self._clock(), rows))

    def _find_snapshot(self) -> list[_Row]:
        shown_at = self._clock() - self.faults.lag
        found = self._history[0][1] if self._history else []
        for taken_at, rows in self._history:
            if taken_at > shown_at:
                break
            found = rows
        return found
