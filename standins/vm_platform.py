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
class PlatformVm:
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
        self.vms: dict[str, PlatformVm] = {}
        self._clock = clock
        self.random = random.Random(seed)
        self._history: list[_Snapshot] = []

    def add(self, row: Mapping[str, Any]) -> PlatformVm:
        """Add a VM, or replace the one of the same name."""
        platform_vm = PlatformVm(**row)
        self.vms[platform_vm.name] = platform_vm
        self._save_snapshot()
        return platform_vm

    def set_list_state(self, name: str, state: str) -> PlatformVm:
        """Set the list state of a VM: ``live``, ``leaving`` or ``dead``."""
        platform_vm = self.vms[name]
        platform_vm.state = state
        self._save_snapshot()
        return platform_vm

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

    def inspect(self, name: str) -> PlatformVm:
        """Return a VM after its finished operations.

        :raises UnknownVmError: when the VM does not exist or is dead.
        """
        platform_vm = self.vms.get(name)
        if platform_vm is None or platform_vm.state == 'dead':
            raise UnknownVmError(name)
        platform_vm.advance(self._clock())
        return platform_vm

    def drain(self, name: str, boot: int | None = None) -> PlatformVm:
        """Start to drain a VM; the call is idempotent.

        :param boot: boot count that the caller expects, ``None`` for any.
        :raises RefusedError: when the VM has another boot count or reboots.
        """
        platform_vm = self._check_boot(name, boot)
        if platform_vm.operation == 'rebooting':
            raise RefusedError('the VM reboots')
        if platform_vm.operation == 'running':
            platform_vm.operation = 'draining'
            platform_vm.until = self._clock() + self.faults.drain_seconds
            platform_vm.advance(self._clock())
        return platform_vm

    def reboot(
        self, name: str, pool: str = '', boot: int | None = None
    ) -> PlatformVm:
        """Reboot a drained VM into a pool; the call is idempotent.

        :param pool: pool of the VM after the reboot.
        :param boot: boot count that the caller expects, ``None`` for any.
        :raises RefusedError: when the VM is not drained or has another boot
            count.
        """
        platform_vm = self._check_boot(name, boot)
        if platform_vm.operation == 'rebooting':
            return platform_vm
        if platform_vm.operation != 'drained':
            raise RefusedError(f'the VM is {platform_vm.operation}')
        platform_vm.operation = 'rebooting'
        platform_vm.pool = pool
        platform_vm.until = self._clock() + self.faults.reboot_seconds
        return platform_vm

    def _check_boot(self, name: str, boot: int | None) -> PlatformVm:
        platform_vm = self.inspect(name)
        if boot is not None and platform_vm.boot != boot:
            raise RefusedError(f'the boot count is {platform_vm.boot}')
        return platform_vm

    def _save_snapshot(self) -> None:
        rows = [
            {field: getattr(platform_vm, field) for field in _LISTED_FIELDS}
            for platform_vm in self.vms.values()
            if platform_vm.state != 'dead'
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
