"""The workers of the leader, as registered in the store."""

import math
from collections import Counter
from collections.abc import Sequence
from typing import Any

from result import Err

from verbenapost.coordination.scheduling.commands import Command, StartTask
from verbenapost.coordination.scheduling.incarnations import (
    contradicts,
    has_crashed,
    has_incarnation_ended,
)
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.vmlist import VmList
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.fields import shorten
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.platform.records import decode_worker
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import KeyChange
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.fleetrecord import FleetRecord
from verbenapost.scheduler.link import WorkerLink
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.scheduler.tasks import NoteFailure, TaskSet
from verbenapost.state.workloads import FleetVmState, WorkerEntry


class WorkerFleet:
    """Maintains a link to each worker incarnation.

    :param pool_states: states of all pools.
    :param configuration: the operator configuration.
    :param ports: dependencies of the links.
    :param store: the store.
    :param note_failure: called after a task of a link has failed.
    :param log: logger.
    :ivar links: links by worker.
    :ivar tasks: tasks of the links.
    :ivar record: the VMs that later leaders will know of.
    """

    def __init__(
        self,
        pool_states: PoolStateSet,
        configuration: ConfigurationFollower,
        ports: LinkPorts,
        store: PlatformStore,
        note_failure: NoteFailure,
        log: Any,
    ) -> None:
        self.links: dict[str, WorkerLink] = {}
        self.tasks = TaskSet(note_failure)
        self._by_vm: dict[str, list[WorkerLink]] = {}
        self._cordoned: dict[str, float] = {}
        self._pool_states = pool_states
        self._configuration = configuration
        self._ports = ports
        self.record = FleetRecord(store, ports.election, log)
        self.record.notify = self._note_recorded
        self._log = log
        self._invalid_entries: Counter[str] = Counter()

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change of a worker's entry."""
        name = change.key.removeprefix(WORKER_PREFIX)
        if change.value is None:
            self._unlist(name)
            return
        entry = decode_worker(name, change.value)
        if isinstance(entry, Err):
            self._unlist(name)
            self._note_invalid_entry(name, entry.err_value)
        elif entry.ok_value.service in self._configuration.services():
            self._apply_entry(entry.ok_value)
        else:
            self._unlist(name)
            self._note_invalid_entry(
                name, f'no service {shorten(entry.ok_value.service)}'
            )

    def send(self, pool_state: PoolState, commands: Sequence[Command]) -> None:
        """Send commands to their workers."""
        for command in commands:
            link = self.links.get(command.worker)
            if link is None:
                continue
            self._log.info(
                'order',
                kind=type(command).__name__,
                job=command.task.key.job,
                task=command.task.key.position,
                run=command.run,
                worker=command.worker,
                pool=pool_state.service,
            )
            if isinstance(command, StartTask):
                self.tasks.add(link.orders.start(command))
            else:
                self.tasks.add(link.orders.stop(command))

    def count_live(self) -> int:
        """Return the number of workers whose incarnation has not ended."""
        return sum(not link.ended for link in self.links.values())

    def end_replaced_incarnations(
        self, vm_list: VmList, requested: Moment
    ) -> None:
        """End the incarnations that have ended by the VM list.

        Only an incarnation that can't be reached may have ended unasked.

        :param vm_list: all VMs.
        :param requested: time at which the list was requested.
        """
        for link in list(self.links.values()):
            if link.ended or self._settle_maintenance(link, vm_list, requested):
                continue
            if link.worker.reachable:
                continue
            if _is_listed_as_ended(link, vm_list, requested):
                entry = link.worker.entry
                link.end_incarnation(
                    'its VM is listed without it',
                    crashed=has_crashed(entry, vm_list.vms.get(entry.vm)),
                )

    def find_vms(self) -> set[str]:
        """Return the VMs of the workers that may run tasks."""
        return {
            link.worker.entry.vm
            for link in self.links.values()
            if _may_run_tasks(link)
        }

    def find_by_vm(self, vm: str) -> WorkerLink | None:
        """Return the link to the worker of a VM.

        An entry of another writer may name the VM of a worker as well. The
        worker is the one that answers; of several, the newest.
        """
        return max(
            reversed(self._find_live_by_vm(vm)),
            key=_is_reachable,
            default=None,
        )

    def readmit(self, vm: str) -> bool:
        """Let a VM accept work again that was about to leave its pool.

        :param vm: name of the VM, for which no order is in progress.
        :returns: whether the VM was about to leave; one whose maintenance was
            confirmed still is until a list of VMs shows whether it was done.
        """
        link = self.find_by_vm(vm)
        if link is None or link.maintained_at is not None:
            return False
        was_leaving = link.worker.leaving
        link.worker.leaving = False
        return was_leaving

    def cordon(self, vm: str) -> None:
        """Let the workers that register for a VM accept no tasks.

        :param vm: name of the VM, which is about to be ordered.
        """
        self._cordoned[vm] = math.inf

    def lift_cordon(self, vm: str, at: float) -> None:
        """End what :meth:`cordon` began, if it did.

        :param vm: name of the VM.
        :param at: local seconds until which an order may still take effect.
        """
        if vm in self._cordoned:
            self._cordoned[vm] = at

    def find_elsewhere(self, vm: str, pool: str) -> WorkerLink | None:
        """Return the link to a VM's worker unless it is of a pool.

        :param vm: name of the VM.
        :param pool: pool into which the VM is about to move.
        """
        link = self.find_by_vm(vm)
        if link is None or link.worker.entry.service == pool:
            return None
        return link

    def _settle_maintenance(
        self, link: WorkerLink, vm_list: VmList, requested: Moment
    ) -> bool:
        """End an incarnation whose VM's maintenance was confirmed.

        The platform confirms maintenance that it has done before, also for an
        earlier leader. The VM is up with this worker then, which lives on.

        :param link: link to the worker.
        :param vm_list: all VMs.
        :param requested: time at which the list was requested.
        :returns: whether the list shows the outcome.
        """
        vm = vm_list.vms.get(link.worker.entry.vm)
        confirmed_at = link.maintained_at
        if confirmed_at is None or vm is None or requested.now < confirmed_at:
            return False
        if vm.state is FleetVmState.UP and vm.worker == link.name:
            link.worker.leaving = False
        elif contradicts(link.worker.entry, vm):
            link.end_incarnation('its VM is in maintenance')
        else:
            return False
        link.maintained_at = None
        return True

    def _apply_entry(self, entry: WorkerEntry) -> None:
        link = self.links.get(entry.worker)
        if link is None:
            self._add_link(entry)
        elif link.ended:
            if not link.is_same_incarnation(entry):
                # It has crashed, if it has started again in its pool.
                link.end_incarnation(
                    'its entry shows another incarnation',
                    crashed=link.worker.entry.service == entry.service,
                )
            self._add_link(entry)
        elif link.is_same_incarnation(entry):
            link.update(entry)
            self._check_recorded(link)
            self._ports.wake()
        else:
            link.unconfirmed.note(entry)

    def _add_link(self, entry: WorkerEntry) -> None:
        pool_state = self._pool_states.find(entry.service)
        worker = pool_state.set_worker(entry)
        if self._is_cordoned(entry.vm):
            worker.leaving = True
        link = WorkerLink(worker, pool_state, self._ports)
        self._forget_ended()
        self.links[entry.worker] = link
        self._by_vm[entry.vm] = [*self._find_live_by_vm(entry.vm), link]
        self._check_recorded(link)
        self.tasks.add(self._follow(link))
        self._log.info(
            'worker registered',
            worker=entry.worker,
            vm=entry.vm,
            pool=entry.service,
            born=entry.started_at_ms,
            draining=entry.draining,
        )

    async def _follow(self, link: WorkerLink) -> None:
        """Run a link, and then add one for an entry that it has not used."""
        await link.run()
        entry = link.unconfirmed.entry
        if entry is not None and self.links.get(link.name) is link:
            self._apply_entry(entry)

    def _forget_ended(self) -> None:
        """Drop the links of ended incarnations; each VM move ends one.

        Whether a worker has crashed may show only when it registers again.
        """
        self.links = {
            name: link
            for name, link in self.links.items()
            if not link.ended or link.worker.lapsed_runs
        }

    def _find_live_by_vm(self, vm: str) -> list[WorkerLink]:
        """Return the links whose entries name a VM, the newest last."""
        return [link for link in self._by_vm.get(vm, ()) if not link.ended]

    def _is_cordoned(self, vm: str) -> bool:
        now = read_clock()
        self._cordoned = {
            name: until for name, until in self._cordoned.items() if now < until
        }
        return vm in self._cordoned

    def _note_recorded(self) -> None:
        """Let the workers accept tasks whose VMs later leaders know of."""
        for link in self.links.values():
            self._check_recorded(link)
        self._ports.wake()

    def _check_recorded(self, link: WorkerLink) -> None:
        vm = link.worker.entry.vm
        if _may_run_tasks(link):
            link.worker.recorded = self.record.add(vm)
        else:
            link.worker.recorded = self.record.has_stored(vm)

    def _unlist(self, name: str) -> None:
        link = self.links.get(name)
        if link is not None:
            link.unlist()

    def _note_invalid_entry(self, name: str, fault: str) -> None:
        self._invalid_entries[name] += 1
        if self._invalid_entries[name] == 1:
            self._log.warning('worker entry ignored', worker=name, fault=fault)


def _is_listed_as_ended(
    link: WorkerLink, vm_list: VmList, requested: Moment
) -> bool:
    entry = link.worker.entry
    return has_incarnation_ended(
        entry,
        vm_list.vms.get(entry.vm),
        link.incarnation.known_since,
        requested,
    )


def _may_run_tasks(link: WorkerLink) -> bool:
    """Return whether a worker has tasks, or accepts some once it answers.

    A worker that has left has neither an entry nor a task.
    """
    worker = link.worker
    known = worker.listed or bool(worker.tasks) or not worker.reconciled
    return known and not link.ended


def _is_reachable(link: WorkerLink) -> bool:
    return link.worker.reachable
