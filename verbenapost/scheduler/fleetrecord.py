"""The VMs whose workers may run tasks, as stored for the next leader.

Load pattern: a leader is replaced while a worker can't reach the store and the
list of VMs leaves its VM out. Neither shows the next leader that the worker's
tasks may still run.
"""

import asyncio
import json
from collections.abc import Callable, Collection
from typing import Any, Final

from result import Err

from verbenapost.coordination.scheduling.leases import compute_lapse_seconds
from verbenapost.platform.fields import check_text
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    ExpectedRevision,
    Transaction,
    TransactionConflict,
    Write,
)
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.keys import FLEET_KEY, LEADER_KEY

#: Seconds between two checks for VMs that have left the fleet.
TRIM_SECONDS: Final = 1.0

#: Seconds between two attempts of a call to the store.
RETRY_SECONDS: Final = 0.1


class FleetRecord:
    """Stores a VM's name before a task is started on its worker.

    Explanation
    ===========

    VMs keep their names when they change pools, so the record changes only
    when VMs are added to the fleet or removed. Each write expects the revision
    that the last one left, so that a late one can't replace a newer record.

    :param store: the store.
    :param election: leadership of this daemon.
    :param log: logger.
    :ivar inherited: VMs that former leaders have stored.
    :ivar notify: called after each write.
    """

    def __init__(
        self, store: PlatformStore, election: Election, log: Any
    ) -> None:
        self.inherited: frozenset[str] = frozenset()
        self.notify: Callable[[], None] | None = None
        self._store = store
        self._election = election
        self._log = log
        self._stored: frozenset[str] = frozenset()
        self._wanted: set[str] = set()
        self._revision = 0
        self._changed = asyncio.Event()

    async def load(self) -> None:
        """Read what former leaders have stored."""
        while self._election.leads:
            found = await self._store.read_key(FLEET_KEY)
            if not isinstance(found, Err):
                break
            await asyncio.sleep(RETRY_SECONDS)
        else:
            return
        item = found.ok_value
        if item is not None:
            self._revision = item.revision
            self.inherited = self._decode(item.value)
        self._stored = self.inherited
        self._wanted = set(self.inherited)

    def add(self, vm: str) -> bool:
        """Add a VM; return whether it is known to be stored.

        :param vm: name of the VM, empty if it is not known.
        """
        if vm and vm not in self._wanted:
            self._wanted.add(vm)
            self._changed.set()
        return self.has_stored(vm)

    def has_stored(self, vm: str) -> bool:
        """Return whether a VM is known to be stored.

        :param vm: name of the VM, empty if it is not known.
        """
        return not vm or vm in self._stored

    async def trim(
        self, find_shown: Callable[[], Collection[str]], longest_lease: float
    ) -> None:
        """Remove the VMs that have left the fleet until the task is cancelled.

        Leases of former leaders have to lapse first.

        :param find_shown: returns the VMs that may run tasks or are listed.
        :param longest_lease: longest lease of a run in seconds.
        """
        await asyncio.sleep(compute_lapse_seconds(longest_lease))
        while True:
            self.retain(find_shown())
            await asyncio.sleep(TRIM_SECONDS)

    def retain(self, vms: Collection[str]) -> None:
        """Remove all VMs but some.

        :param vms: names of the VMs to keep.
        """
        kept = self._wanted.intersection(vms)
        if kept != self._wanted:
            self._wanted = kept
            self._changed.set()

    async def run(self) -> None:
        """Write each change until the task is cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not await self._write(frozenset(self._wanted)):
                self._changed.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def _write(self, vms: frozenset[str]) -> bool:
        """Write the record and return whether it is known to be stored.

        A VM counts as stored only while both the last record that is known
        and one that may replace it have it.
        """
        known = self._stored
        self._stored = known & vms
        answer = await self._store.commit(
            Transaction(
                (
                    ExpectedRevision(LEADER_KEY, self._election.revision),
                    ExpectedRevision(FLEET_KEY, self._revision),
                ),
                (Write(FLEET_KEY, json.dumps(sorted(vms)).encode()),),
            )
        )
        if not isinstance(answer, Err):
            self._revision = answer.ok_value
            self._stored = vms
            if self.notify is not None:
                self.notify()
            return True
        fault = answer.err_value
        self._log.warning('VMs of the fleet not stored', fault=str(fault))
        if not isinstance(fault, CallFault):
            self._note_conflict(fault)
        return False

    def _note_conflict(self, conflict: TransactionConflict) -> None:
        """Record the revision that an earlier write without an answer left."""
        found = {item.key: item for item in conflict.items}
        leader = found.get(LEADER_KEY)
        if leader is None or leader.revision != self._election.revision:
            self._election.lose('a write found another leader')
            return
        item = found.get(FLEET_KEY)
        self._revision = 0 if item is None else item.revision

    def _decode(self, packed: bytes) -> frozenset[str]:
        """Return the stored VMs, none if the value is another writer's."""
        try:
            return _read_names(json.loads(packed))
        except (ValueError, TypeError, RecursionError) as fault:
            self._log.error('VMs of the fleet not decodable', fault=str(fault))
            return frozenset()


def _read_names(found: Any) -> frozenset[str]:
    """Return the names of a record.

    :raises ValueError: when a name is no text.
    :raises TypeError: when the record is no list.
    """
    if not isinstance(found, list):
        raise TypeError('not a list')
    return frozenset(check_text(name, 'VM') for name in found)
