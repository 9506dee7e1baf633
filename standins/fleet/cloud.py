"""Simulated cloud that moves VMs between pools and maintains them."""

import asyncio

from result import Err, Ok

from standins.fleet.waves import Maintained, VmAdded, VmRemoved
from standins.fleet.workers import FleetWorker
from verbenapost.platform.cloud import CLOUD_TIMEOUT
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.state.workloads import FleetVm, FleetVmState

#: Seconds for which a VM is unavailable while it moves.
MOVE_SECONDS = 1.5

#: Seconds for which a VM is unavailable during its maintenance.
MAINTENANCE_SECONDS = 2.0

#: Seconds for which an ended or unreachable worker keeps its entry.
ENTRY_SECONDS = 4.0

#: Seconds for which former lists are kept.
FORMER_LIST_SECONDS = 5.0


class FleetCloudCore:
    """The VMs of a world and the orders that were carried out.

    :param world: the simulated deployment.
    :param standby: name of the pool whose VMs are off.
    :ivar maintained: maintenance of all VMs, in order.
    :ivar lost_answers: number of the next orders that are carried out and get
        no answer.
    :ivar silent_orders: number of the next orders that are not carried out and
        get no answer.
    :ivar late_orders: seconds after which each of the next orders is carried
        out, without an answer.
    :ivar list_seconds: seconds for which a page of the list is on its way.
    :ivar stale_seconds: age of the list that a read shows.
    :ivar page_size: VMs on a page of the list, or ``None`` for one page.
    :ivar names_unregistered: whether the list names workers whose entries are
        missing in the store.
    :ivar removed: VMs that were removed.
    :ivar reordered: whether the order of the list changes between the reads of
        its pages, so that a read may leave a VM out or show it twice.
    :ivar hidden: VMs that the next read of the list leaves out.
    :ivar rack_outages: seconds for which the rack of the VM of each of the next
        orders is unreachable, from the arrival of the order.
    """

    def __init__(self, world, standby='spare'):
        self.world = world
        self.standby = standby
        self.maintained = []
        self.lost_answers = 0
        self.silent_orders = 0
        self.late_orders = []
        self.list_seconds = 0
        self.stale_seconds = 0
        self.page_size = None
        self.reordered = False
        self.hidden = set()
        self.names_unregistered = True
        self.removed = set()
        self.rack_outages = []
        self._hidden_until = {}
        self._isolated_until = {}
        self._former_lists = []
        self._tokens = {}
        self._states = {}
        self._waves = {}
        self._pools = {}
        self._workers = {}
        for worker in world.workers.values():
            self._pools[worker.vm] = worker.service
            self._states[worker.vm] = FleetVmState.UP
            self._workers[worker.vm] = worker
            world.wave_history.append(VmAdded(worker.vm))

    def list_vms(self):
        """Return all VMs but the hidden ones."""
        now = self.world.now()
        listed = [
            row
            for row in self._find_shown(now)
            if row.vm not in self.hidden
            and self._hidden_until.get(row.vm, now) <= now
        ]
        self.hidden = set()
        return listed

    def list_page(self, token=''):
        """Return a page of the list as it is now, and the next page's token.

        :param token: token of the page, empty for the first one.
        """
        rows = self.list_vms()
        if self.page_size is None:
            return rows, None
        if self.reordered:
            self.world.rng.shuffle(rows)
        start = int(token or 0)
        end = start + self.page_size
        return rows[start:end], str(end) if end < len(rows) else None

    def hide(self, vm, seconds):
        """Let the list leave out a VM, whose worker runs on."""
        self._hidden_until[vm] = self.world.now() + seconds

    def note_arrival(self, vm):
        """Let a rack become unreachable as an order for its VM arrives."""
        if self.rack_outages and vm in self._workers:
            self.isolate_rack(
                self._workers[vm].labels, self.rack_outages.pop(0)
            )

    def isolate_rack(self, labels, seconds):
        """Let nothing reach the workers of a rack, nor leave them."""
        for worker in list(self.world.workers.values()):
            if worker.labels == labels and self.is_current(worker):
                self.isolate(worker, seconds)

    def isolate(self, worker, seconds):
        """Let nothing reach a worker, nor leave it."""
        worker.faults.unreachable = True
        self._isolated_until[worker.name] = self.world.now() + seconds
        self._call_later(ENTRY_SECONDS, self._drop_isolated, worker)
        self._call_later(seconds, self._reconnect, worker)

    def is_current(self, worker):
        """Return whether a worker is that of its VM, which is up."""
        up = self._states.get(worker.vm) is FleetVmState.UP
        return up and self._workers[worker.vm] is worker

    def add_standby(self, name, capacity):
        """Add a VM that is off."""
        self._keep_list()
        worker = FleetWorker(self.world, name, self.standby, capacity)
        self.world.wave_history.append(VmAdded(worker.vm))
        self._pools[worker.vm] = self.standby
        self._states[worker.vm] = FleetVmState.UP
        self._workers[worker.vm] = worker

    def remove(self, vm):
        """Remove a VM from the fleet for good; its worker ends.

        Orders for it are refused as for a VM that is not up.
        """
        self.removed.add(vm)
        self._keep_list()
        self.world.wave_history.append(VmRemoved(vm))
        worker = self._workers.pop(vm)
        self._states.pop(vm)
        self._pools.pop(vm)
        if worker.name in self.world.workers:
            worker.crash()
            self._call_later(ENTRY_SECONDS, self._remove_entry, worker)

    def move(self, vm, pool, token):
        """Move a VM into another pool, or return why not."""
        fault = self._check(vm, token)
        if fault is None and self._pools[vm] != pool:
            self._begin(vm, FleetVmState.MOVING, MOVE_SECONDS, pool)
        return Ok(None) if fault is None else Err(fault)

    def maintain(self, vm, wave, token):
        """Begin the maintenance of a VM, or return why not."""
        if any((row.vm, row.wave) == (vm, wave) for row in self.maintained):
            return Ok(None)
        fault = self._check(vm, token)
        if fault is not None:
            return Err(fault)
        pool = self._pools[vm]
        self._begin(vm, FleetVmState.MAINTENANCE, MAINTENANCE_SECONDS, pool)
        self._waves[vm] = wave
        down = [
            name
            for name, state in self._states.items()
            if state is FleetVmState.MAINTENANCE
        ]
        same = sum(self._waves[name] == wave for name in down)
        begun = Maintained(self.world.now(), vm, wave, len(down), same)
        self.maintained.append(begun)
        self.world.wave_history.append(begun)
        return Ok(None)

    def _check(self, vm, token):
        if vm in self.removed:
            return CallFault(CallFaultKind.BUSY, 'busy')
        if vm not in self._states:
            return CallFault(CallFaultKind.NOT_FOUND, 'no such VM')
        if token < self._tokens.get(vm, 0):
            return CallFault(CallFaultKind.FENCED, 'fence')
        self._tokens[vm] = token
        if self._states[vm] is not FleetVmState.UP:
            return CallFault(CallFaultKind.BUSY, 'busy')
        return None

    def _begin(self, vm, state, seconds, pool):
        self._keep_list()
        self._states[vm] = state
        self._pools[vm] = pool
        worker = self._workers[vm]
        if worker.name in self.world.workers:
            worker.crash()
            self._call_later(ENTRY_SECONDS, self._remove_entry, worker)
        self._call_later(seconds, self._finish, vm)

    def _finish(self, vm):
        if vm not in self._states:
            return
        self._keep_list()
        self._states[vm] = FleetVmState.UP
        pool = self._pools[vm]
        ended = self._workers[vm]
        name = self.world.draw_worker_name()
        worker = FleetWorker(self.world, name, pool, ended.capacity, vm)
        self._workers[vm] = worker
        if pool != self.standby:
            self.world.add_worker(worker)

    def _remove_entry(self, worker):
        self.world.store.remove(f'servers/{worker.name}')

    def _drop_isolated(self, worker):
        if worker.faults.unreachable:
            self._remove_entry(worker)

    def _reconnect(self, worker):
        if self.world.now() < self._isolated_until[worker.name]:
            return
        worker.faults.unreachable = False
        if worker.up and self.is_current(worker):
            worker.register()

    def _keep_list(self):
        """Keep the list as it is before a change."""
        now = self.world.now()
        rows = [self._make_row(name) for name in self._pools]
        self._former_lists.append((now, rows))
        while self._former_lists[0][0] < now - FORMER_LIST_SECONDS:
            self._former_lists.pop(0)

    def _find_shown(self, now):
        """Return the list as it was :attr:`stale_seconds` ago."""
        for until, rows in self._former_lists:
            if until > now - self.stale_seconds:
                return rows
        return [self._make_row(name) for name in self._pools]

    def _make_row(self, vm):
        worker = self._workers[vm]
        on = self._states[vm] is FleetVmState.UP
        on = on and self._pools[vm] != self.standby
        state = self._states[vm]
        if on and not worker.up:
            state = FleetVmState.DOWN
        registered = f'servers/{worker.name}' in self.world.store.items
        named = registered or self.names_unregistered
        return FleetVm(
            vm,
            self._pools[vm],
            state,
            worker.labels,
            worker.capacity,
            worker.name if on and named else '',
        )

    def _call_later(self, seconds, call, argument):
        asyncio.get_running_loop().call_later(seconds, call, argument)


class FleetCloud:
    """Client of one daemon for the cloud, with the scheduler's interface."""

    def __init__(self, world):
        self.world = world

    async def list_vms(self):
        """Return the VM list."""
        core = self.world.cloud
        listed = []
        token = ''
        while token is not None:
            await asyncio.sleep(0.004)
            page, token = core.list_page(token)
            await asyncio.sleep(core.list_seconds)
            listed.extend(page)
        return Ok(listed)

    async def move(self, vm, pool, token):
        """Move a VM into another pool."""
        return await self._send(self.world.cloud.move, vm, pool, token)

    async def maintain(self, vm, wave, token):
        """Begin a VM's maintenance."""
        return await self._send(self.world.cloud.maintain, vm, wave, token)

    async def _send(self, carry_out, vm, *order):
        await asyncio.sleep(0.004)
        core = self.world.cloud
        core.note_arrival(vm)
        if core.silent_orders:
            core.silent_orders -= 1
        elif core.late_orders:
            loop = asyncio.get_running_loop()
            loop.call_later(core.late_orders.pop(0), carry_out, vm, *order)
        else:
            outcome = carry_out(vm, *order)
            if not core.lost_answers:
                return outcome
            core.lost_answers -= 1
        await asyncio.sleep(CLOUD_TIMEOUT)
        return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
