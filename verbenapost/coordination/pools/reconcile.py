"""Reconciliation of the VM records with the platform's VM list."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.pools.moves import make_failed_record
from verbenapost.coordination.pools.records import (
    Fleet,
    VmEntry,
    VmRecords,
)
from verbenapost.coordination.pools.sequence import collect
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.platform import (
    ListedVm,
    ListedVmState,
    PlatformPort,
    VmOperation,
    VmStatus,
)
from verbenapost.state.vms import VmRecord, VmState

#: Maximum delay of the VM list, and maximum gap of a VM in the list, in
#: seconds.
LIST_LAG_SECONDS = 15.0

#: Reason of a VM that the platform is about to remove.
LEAVING = 'leaving'


@final
class Sightings:
    """Time at which each VM was last seen in the list.

    :param lag: seconds after which an unlisted VM counts as missing.
    """

    def __init__(self, lag: float = LIST_LAG_SECONDS) -> None:
        self._lag = lag
        self._seen_at: dict[str, float] = {}

    def observe(self, listed: Iterable[str], now: float) -> None:
        """Record the names in a list that was read at ``now``."""
        self._seen_at.update(dict.fromkeys(listed, now))

    def find_missing(self, known: Iterable[str], now: float) -> list[str]:
        """Return the known VMs that were last listed too long ago."""
        return [
            name
            for name in known
            if now - self._seen_at.setdefault(name, now) > self._lag
        ]


@final
class Reconciler:
    """Creates records of new VMs and updates those of changed VMs.

    Explanation
    ===========

    The list may be late, may contain duplicates and may omit VMs. A VM
    therefore counts as gone only if it has been missing from the list for
    longer than the lag and the pool interface does not know the VM either.
    A VM with a new address counts as replaced only if its boot count has
    changed as well.

    :param records: VM records.
    :param platform: VM list and pool interface.
    :param sightings: times at which this keeper saw each VM in a list.
    """

    def __init__(
        self,
        records: VmRecords,
        platform: PlatformPort,
        sightings: Sightings,
    ) -> None:
        self._records = records
        self._platform = platform
        self._sightings = sightings

    async def reconcile(
        self,
        listed: Mapping[str, ListedVm],
        fleet: Fleet,
        spare_pool: str,
        now: float,
    ) -> None:
        """Update the records from a VM list.

        :param listed: VMs of the list by name.
        :param fleet: VM records.
        :param spare_pool: pool of new VMs; empty if new VMs are ignored.
        :param now: Unix time in seconds.
        """
        self._sightings.observe(listed, now)
        known = fleet.entries
        new = [vm for vm in listed.values() if vm.name not in known]
        if spare_pool:
            await collect(
                lambda vm: self._create_record(vm, spare_pool, now), new
            )
        changed = [
            (known[vm.name], vm) for vm in listed.values() if vm.name in known
        ]
        await collect(lambda pair: self._update_record(*pair, now), changed)
        missing = self._sightings.find_missing(known, now)
        await collect(lambda name: self._check_gone(known[name], now), missing)

    async def _create_record(
        self,
        vm: ListedVm,
        pool: str,
        now: float,
    ) -> Result[VmEntry, Failure]:
        inspected = await self._platform.inspect(vm.name)
        if isinstance(inspected, Err):
            return inspected
        record = _make_record(vm, inspected.ok_value, pool, now)
        return await self._records.create(record)

    async def _update_record(
        self,
        entry: VmEntry,
        vm: ListedVm,
        now: float,
    ) -> Result[VmEntry, Failure]:
        record = entry.record
        if record.address != vm.address:
            return await self._record_replacement(entry, vm, now)
        if vm.state is not ListedVmState.LEAVING:
            return Ok(entry)
        if record.state is not VmState.IN_SERVICE:
            return Ok(entry)
        draining = dataclasses.replace(
            record,
            state=VmState.DRAINING,
            reason=LEAVING,
            changed_at=now,
        )
        return await self._records.write(entry, draining)

    async def _record_replacement(
        self,
        entry: VmEntry,
        vm: ListedVm,
        now: float,
    ) -> Result[VmEntry, Failure]:
        inspected = await self._platform.inspect(vm.name)
        if isinstance(inspected, Err):
            return inspected
        if inspected.ok_value.boot == entry.record.boot:
            return Ok(entry)
        replaced = dataclasses.replace(
            make_failed_record(entry.record, 'replaced', now),
            address=vm.address,
            data_centre=vm.data_centre,
            rack=vm.rack,
            boot=inspected.ok_value.boot,
        )
        return await self._records.write(entry, replaced)

    async def _check_gone(
        self,
        entry: VmEntry,
        now: float,
    ) -> Result[VmEntry, Failure]:
        if entry.record.state is VmState.FAILED:
            return Ok(entry)
        inspected = await self._platform.inspect(entry.record.name)
        if not isinstance(inspected, Err):
            return Ok(entry)
        if inspected.err_value.kind is not ErrorKind.NOT_FOUND:
            return inspected
        failed = make_failed_record(entry.record, 'gone', now)
        return await self._records.write(entry, failed)


def _make_record(
    vm: ListedVm,
    status: VmStatus,
    pool: str,
    now: float,
) -> VmRecord:
    ready = status.operation is VmOperation.RUNNING
    serves_pool = status.pool in {'', pool}
    in_service = ready and serves_pool and vm.state is ListedVmState.LIVE
    return VmRecord(
        name=vm.name,
        address=vm.address,
        pool=pool,
        state=VmState.IN_SERVICE if in_service else VmState.DRAINING,
        data_centre=vm.data_centre,
        rack=vm.rack,
        reason='' if in_service else 'new',
        changed_at=now,
        maintained_at=now,
        boot=status.boot,
    )
