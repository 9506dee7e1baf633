"""Links to silent and moved workers, and acknowledgement of ended runs."""

import asyncio
import dataclasses

import pytest

from verbenapost.coordination.scheduling.jobs import TaskState
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.tests.sample import (
    SMALL,
    add_job,
    make_row,
    plan,
)
from verbenapost.coordination.scheduling.vmlist import VmList
from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.orders import (
    RunEnd,
    RunEndKind,
)
from verbenapost.scheduler import startups as startups_module
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.fleet import WorkerFleet
from verbenapost.scheduler.inheritance import Takeover, end_inherited_pause
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.tests.links import (
    HOLD_SECONDS,
    Clock,
    Recorder,
    acknowledge_end,
    make_link,
    start_task,
)
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    FleetVm,
    FleetVmState,
    StepSpec,
)

#: Request of a VM list long after the worker's start.
OLD_ENTRY = Moment(now=100.0, wall=100.0)


class TestSilentWorker:
    async def run_silence(self, monkeypatch, seconds):
        clock = Clock()
        pool_state, client, link = make_link(clock, monkeypatch)
        start = await start_task(clock, pool_state, link)
        client.running = [make_row(start)]
        await link.renew_leases(0)
        client.up = False
        until = clock.now + seconds
        while clock.now < until:
            await link.renew_leases(0)
        return start.task, client

    def test_tasks_stay_until_the_leases_expire(self, monkeypatch):
        task, _ = asyncio.run(self.run_silence(monkeypatch, 5))
        assert task.state is TaskState.RUNNING

    def test_unanswered_renewals_do_not_extend_the_leases(self, monkeypatch):
        task, client = asyncio.run(self.run_silence(monkeypatch, 8))
        assert task.state is TaskState.WAITING
        assert client.leases[-1] is None


def make_fleet(monkeypatch):
    clock = Clock()
    pool_state, _, link = make_link(clock, monkeypatch)
    pool_state.recovering = True
    worker = link.worker
    worker.entry = dataclasses.replace(worker.entry, started_at_ms=1000)
    worker.reconciled = False
    worker.reachable = False
    fleet = WorkerFleet(
        PoolStateSet(2),
        ConfigurationFollower(make_logger('configuration')),
        link.ports,
        None,
        link.ports.election.lose,
        make_logger('fleet'),
    )
    fleet.links['w0'] = link
    return pool_state, fleet, link


def list_vm(pool):
    vm = FleetVm('vm-w0', pool, FleetVmState.UP, (), Resources(), '')
    vm_list = VmList()
    vm_list.replace([vm], read_at=0)
    return vm_list


class TestMovedVm:
    """A takeover while a registered worker's VM is already in another pool.

    The worker's entry stays in the store for some seconds; waiting for the
    expiry of its leases would delay the inherited jobs of its pool.
    """

    def test_inherited_jobs_of_the_pool_continue_at_once(self, monkeypatch):
        pool_state, fleet, link = make_fleet(monkeypatch)
        assert not end_inherited_pause(
            pool_state, Takeover(0.1, HOLD_SECONDS, listed=())
        )
        fleet.end_replaced_incarnations(list_vm('standby'), OLD_ENTRY)
        assert link.ended
        assert end_inherited_pause(
            pool_state, Takeover(0.1, HOLD_SECONDS, listed=())
        )

    def test_reachable_worker_is_kept(self, monkeypatch):
        _, fleet, link = make_fleet(monkeypatch)
        link.worker.reachable = True
        fleet.end_replaced_incarnations(list_vm('standby'), OLD_ENTRY)
        assert not link.ended

    def test_worker_of_an_unmoved_vm_is_kept(self, monkeypatch):
        pool_state, fleet, link = make_fleet(monkeypatch)
        fleet.end_replaced_incarnations(list_vm('routing'), OLD_ENTRY)
        assert not link.ended
        assert not end_inherited_pause(
            pool_state, Takeover(0.1, HOLD_SECONDS, listed=())
        )


class TestConfirmedMaintenance:
    """A row that says nothing of the worker ended a worker that runs on."""

    CONFIRMED_AT = OLD_ENTRY.now - 1

    def settle(self, monkeypatch, **changes):
        """Return the link after a list with one row, and whether it waits."""
        _, fleet, link = make_fleet(monkeypatch)
        link.worker.reachable = True
        link.worker.leaving = True
        link.maintained_at = self.CONFIRMED_AT
        vm = dataclasses.replace(list_vm('routing').vms['vm-w0'], worker='w0')
        vm_list = VmList()
        vm_list.replace([dataclasses.replace(vm, **changes)], read_at=0)
        fleet.end_replaced_incarnations(vm_list, OLD_ENTRY)
        return link.ended, link.worker.leaving, link.maintained_at is not None

    @pytest.mark.parametrize(
        'changes', [{'state': FleetVmState.UNKNOWN}, {'worker': ''}]
    )
    def test_a_later_list_is_waited_for(self, monkeypatch, changes):
        settled = self.settle(monkeypatch, **changes)
        assert settled == (False, True, True)

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': FleetVmState.MAINTENANCE, 'worker': ''},
            {'state': FleetVmState.DOWN},
            {'worker': 'w9'},
            {'pool': 'standby', 'worker': ''},
        ],
    )
    def test_a_contradicting_row_ends_it(self, monkeypatch, changes):
        ended, _, _ = self.settle(monkeypatch, **changes)
        assert ended

    def test_its_own_row_lets_it_stay(self, monkeypatch):
        assert self.settle(monkeypatch) == (False, False, False)


class TestEndAcknowledgement:
    async def end_two(self, monkeypatch, recorder):
        """Let two tasks end, each reported in the answer to its own renewal."""
        clock = Clock()
        pool_state, client, link = make_link(clock, monkeypatch, recorder)
        add_job(pool_state, StepSpec(1, SMALL))
        add_job(pool_state, StepSpec(1, SMALL), job='0' * 16)
        await link.renew_leases(0)
        renewals = []
        for number, start in enumerate(plan(pool_state, now=clock.now), 1):
            pool_state.note_started(start.task, start.run, clock.now)
            end = RunEnd(number, start.task.key, start.run, RunEndKind.DONE, '')
            client.ends.append(end)
            renewals.append(asyncio.create_task(link.renew_leases(0)))
            await asyncio.sleep(0)
        return client, link, renewals

    def test_ends_are_acknowledged_in_order(self, monkeypatch):
        async def scenario():
            recorder = Recorder()
            client, link, renewals = await self.end_two(monkeypatch, recorder)
            first, second = recorder.waiting
            second.set_result(True)
            await renewals[1]
            await link.renew_leases(0)
            early = client.seen[-1]
            first.set_result(True)
            await renewals[0]
            await link.renew_leases(0)
            return early, client.seen[-1]

        assert asyncio.run(scenario()) == (0, 2)

    def test_unstored_end_is_not_acknowledged(self, monkeypatch):
        async def scenario():
            recorder = Recorder()
            client, link, renewals = await self.end_two(monkeypatch, recorder)
            first, second = recorder.waiting
            first.set_result(False)
            second.set_result(True)
            await asyncio.gather(*renewals)
            await link.renew_leases(0)
            return client.seen[-1]

        assert asyncio.run(scenario()) == 0


class TestExpiredLeadership:
    """A leader that is cut off from the store; another one may lead."""

    async def test_no_lease_of_a_worker_is_renewed(self, monkeypatch):
        """Reports on started tasks renewed leases beside a successor."""
        clock = Clock()
        pool_state, client, link = make_link(clock, monkeypatch)
        start = await start_task(clock, pool_state, link)
        pool_state.suspects[start.task.key.job] = next(
            iter(pool_state.jobs.values())
        )
        monkeypatch.setattr(startups_module, 'PROOF_SECONDS', 0)
        link.ports.election.valid = False
        await startups_module.follow_proofs(link, pool_state)
        assert len(client.leases) == 1


class TestUnwatchedWorker:
    """It may have started again, and number the ends of its runs anew."""

    async def test_after_a_failure_all_its_ends_are_read(self, monkeypatch):
        _, client, link = await acknowledge_end(monkeypatch)
        client.up = False
        await link.renew_leases(0)
        client.up = True
        await link.renew_leases(0)
        await link.renew_leases(0)
        assert client.seen[-3:] == [1, 0, 1]

    async def test_after_a_pause_all_its_ends_are_read(self, monkeypatch):
        clock, client, link = await acknowledge_end(monkeypatch)
        clock.now += 1
        await link.renew_leases(0)
        await link.renew_leases(0)
        assert client.seen[-2:] == [0, 1]


class TestCrashedWorker:
    """Only a crash counts against the tasks that it takes along."""

    def end(self, monkeypatch, *, crashed=True, **changes):
        async def scenario():
            _, _, link = make_link(Clock(), monkeypatch)
            job = add_job(link.pool_state, StepSpec(1, SMALL))
            (start,) = plan(link.pool_state)
            link.pool_state.note_started(start.task, start.run, 100)
            link.worker.leaving = changes.get('leaving', False)
            link.worker.entry = dataclasses.replace(
                link.worker.entry, draining=changes.get('draining', False)
            )
            link.end_incarnation('test', crashed=crashed)
            return next(job.tasks()).crashed_runs

        return asyncio.run(scenario())

    def test_a_crash_counts(self, monkeypatch):
        assert self.end(monkeypatch) == (1,)

    def test_a_worker_that_was_leaving_did_not_crash(self, monkeypatch):
        assert self.end(monkeypatch, leaving=True) == ()

    def test_a_worker_that_was_draining_did_not_crash(self, monkeypatch):
        assert self.end(monkeypatch, draining=True) == ()

    def test_an_ordered_end_is_no_crash(self, monkeypatch):
        assert self.end(monkeypatch, crashed=False) == ()
