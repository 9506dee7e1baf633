"""Answers, entries and lists that speak of an earlier time than they arrive."""

import asyncio
import dataclasses
import json

import pytest
from result import Err, Ok

from standins.fleet.world import SERVICE, STANDBY
from verbenapost.coordination.scheduling.jobs import TaskState
from verbenapost.coordination.scheduling.tests.sample import (
    SMALL,
    add_job,
    plan,
)
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    RunEnd,
    RunEndKind,
)
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.tests import links as links_module
from verbenapost.scheduler.tests.links import (
    Clock,
    Recorder,
    acknowledge_end,
    make_link,
)
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)
from verbenapost.state.workloads import StepSpec

LONG_STEP = [{'count': 4, 'cpu': 500, 'mem_mb': 100, 'long_running': True}]


def count_runs(world):
    return sum(len(row.runs) for row in world.workers.values() if row.up)


def is_in_use(world, worker):
    """Return whether the leader may start tasks on a worker."""
    leader = world.find_leader()
    link = leader.core._leader._fleet.find_by_vm(worker.vm)
    return (
        link is not None
        and link.name == worker.name
        and link.worker.accepts_tasks(world.now() + 1000)
    )


class TestEntryOfAnotherIncarnation:
    """Tasks of a live worker started elsewhere (issue 35, TWICE).

    An entry may have been written before the worker started again and take
    effect after that, or come from another writer.
    """

    def write_entry(self, world, worker, seconds, service, **changes):
        """Write an entry as of another start of a worker."""
        key = f'{WORKER_PREFIX}{worker.name}'
        entry = json.loads(world.store.items[key].value)
        entry['born'] += seconds * 1000
        entry |= {'service': service} | changes
        world.store.write(key, json.dumps(entry).encode())

    @pytest.mark.parametrize('service', [SERVICE, STANDBY])
    @pytest.mark.parametrize('seconds', [-30, 30])
    def test_the_worker_decides(self, play, seconds, service):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_long_running(1), LONG_STEP)
            await asyncio.sleep(3)
            worker = next(row for row in world.workers.values() if row.runs)
            self.write_entry(world, worker, seconds, service)
            await asyncio.sleep(2.5)
            used = is_in_use(world, worker)
            worker.register()
            await asyncio.sleep(8)
            return used, count_runs(world), check_rules(world)

        assert play(scenario) == (True, 4, [])

    def test_a_worker_is_used_though_the_address_of_the_entry_is_silent(
        self, play
    ):
        async def scenario(world):
            await wait_for_leader(world)
            worker = world.workers['w0']
            reach = world.find_leader().workers.hold

            async def hold(entry, *call):
                if entry.address != worker.address:
                    return Err(CallFault(CallFaultKind.UNKNOWN, 'silent'))
                return await reach(entry, *call)

            world.find_leader().workers.hold = hold
            self.write_entry(
                world, worker, 30, SERVICE, address='10.0.0.1:9999'
            )
            await asyncio.sleep(4)
            return is_in_use(world, worker)

        assert play(scenario, workers=2)

    def test_a_worker_that_joins_another_pool_is_used_there(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            worker = world.workers['w0']
            worker.crash()
            worker.service = STANDBY
            await asyncio.sleep(0.3)
            worker.restart()
            await asyncio.sleep(4)
            link = world.find_leader().core._leader._fleet.links['w0']
            return link.pool_state.service, link.worker.reconciled

        assert play(scenario, workers=2) == (STANDBY, True)


class TestListBeforeARestart:
    """A worker that had started again got no work any more (issue 35)."""

    def test_ends_only_the_incarnation_before(self, play):
        async def scenario(world):
            world.configure(version=2, standby=False)
            await wait_for_leader(world)
            await world.submit(name_long_running(1), LONG_STEP)
            await asyncio.sleep(3)
            worker = world.workers['w0']
            worker.crash()
            world.cloud.list_seconds = 1.5
            await asyncio.sleep(1.2)
            worker.restart()
            worker.faults.unreachable = True
            await asyncio.sleep(1.5)
            worker.faults.unreachable = False
            world.cloud.list_seconds = 0
            await asyncio.sleep(4)
            return (
                is_in_use(world, worker),
                count_runs(world),
                check_rules(world),
            )

        assert play(scenario, standby_vms=0) == (True, 4, [])


class TestListDuringAnOrder:
    """A VM was shown in its old pool for a second (issue 35)."""

    def test_a_list_requested_before_the_end_is_read_again(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await asyncio.sleep(3)
            controller = leader.core._leader._controller
            controller._refresh_list = asyncio.Event().wait
            await asyncio.sleep(1)
            world.cloud.list_seconds = 0.5
            reading = asyncio.create_task(controller._read_list())
            await asyncio.sleep(0.1)
            controller._mark_stale()
            await reading
            return controller._needs_list(controller._listed_at)

        assert play(scenario, standby_vms=0)


class TestAnswerOfTheIncarnationBefore:
    """It was recorded as one of the worker's next start (issue 35)."""

    def make_started(self, monkeypatch, recorder=None):
        """Return a link and the start of a task on its worker."""
        clock = Clock()
        pool_state, client, link = make_link(clock, monkeypatch, recorder)
        add_job(pool_state, StepSpec(1, SMALL))
        add_job(pool_state, StepSpec(1, SMALL), job='0' * 16)
        return clock, client, link

    async def test_its_ends_do_not_count_as_stored_ends_of_the_next(
        self, monkeypatch
    ):
        """An end was forgotten before it was stored (TWICE)."""
        recorder = Recorder()
        _, client, link = self.make_started(monkeypatch, recorder)
        await link.renew_leases(0)
        renewals = []
        for start in plan(link.pool_state):
            link.pool_state.note_started(start.task, start.run, 100)
            done = RunEndKind.DONE
            client.ends = [RunEnd(1, start.task.key, start.run, done, '')]
            renewals.append(asyncio.create_task(link.renew_leases(0)))
            await asyncio.sleep(0)
            ends = client.ends
            client.restart()
        client.started_at_ms -= 1
        client.ends = ends
        first, _ = recorder.waiting
        first.set_result(True)
        await renewals[0]
        await link.renew_leases(0)
        for renewal in renewals[1:]:
            renewal.cancel()
        assert client.seen[-1] == 0

    async def test_its_address_does_not_end_the_next(self, monkeypatch):
        """Its address may by then be that of another worker."""
        _, client, link = self.make_started(monkeypatch)
        await link.renew_leases(0)
        answered = asyncio.Event()
        hold = client.hold

        async def hold_elsewhere(*_call):
            await answered.wait()
            return Err(CallFault(CallFaultKind.OTHER_INCARNATION))

        client.hold = hold_elsewhere
        renewal = asyncio.create_task(link.renew_leases(0))
        await asyncio.sleep(0)
        client.hold = hold
        client.restart()
        await link.renew_leases(0)
        link.update(
            dataclasses.replace(
                link.worker.entry,
                started_at_ms=client.started_at_ms,
                address='127.0.0.1:2',
            )
        )
        answered.set()
        await renewal
        assert not link.ended


class TestAnswerInTransit:
    """A worker may start again while its answer is on its way (TWICE)."""

    async def test_after_it_all_ends_are_read(self, monkeypatch):
        _, client, link = await acknowledge_end(monkeypatch)
        client.transit = 1
        await link.renew_leases(0)
        client.transit = 0
        await link.renew_leases(0)
        await link.renew_leases(0)
        assert client.seen[-2:] == [0, 1]

    async def test_after_a_clock_that_starts_anew_all_ends_are_read(
        self, monkeypatch
    ):
        _, client, link = await acknowledge_end(monkeypatch)
        (start,) = plan(link.pool_state, now=client.clock.now)
        client.restart()

        async def begin(_worker, _order):
            return Ok(client.read_clock())

        client.start = begin
        await link.orders.start(start)
        await link.renew_leases(0)
        assert client.seen[-1] == 0


class TestReportOvertakenByAStart:
    async def test_its_ends_are_applied(self, monkeypatch):
        clock = Clock()
        pool_state, client, link = make_link(clock, monkeypatch)
        add_job(pool_state, StepSpec(2, SMALL))
        await link.renew_leases(0)
        ended, started = plan(pool_state, now=clock.now)
        pool_state.note_started(ended.task, ended.run, clock.now)
        done = RunEndKind.DONE
        client.ends = [RunEnd(1, ended.task.key, ended.run, done, '')]
        hold = client.hold

        async def begin(_worker, _order):
            return Ok(client.read_clock() + 5)

        async def hold_overtaken(*call):
            report = await hold(*call)
            await link.orders.start(started)
            return report

        client.start = begin
        client.hold = hold_overtaken
        renewal = asyncio.create_task(link.renew_leases(0))
        await asyncio.sleep(0)
        renewal.cancel()
        assert ended.task.state is TaskState.DONE


class TestLateMoveOfAFormerLeader:
    """It ends runs of the next leader, which RULES allows for late orders."""

    @pytest.mark.parametrize('seconds', [4, 8, 12])
    def test_no_task_runs_twice(self, play, seconds):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await world.submit(name_long_running(1), LONG_STEP)
            await asyncio.sleep(3)
            worker = next(row for row in world.workers.values() if row.runs)
            token = leader.ports.election.token
            asyncio.get_running_loop().call_later(
                seconds, world.cloud.move, worker.vm, STANDBY, token
            )
            await leader.kill()
            world.store.remove(LEADER_KEY)
            await asyncio.sleep(seconds + 8)
            return worker.up, count_runs(world), check_rules(world)

        assert play(scenario, standby_vms=0) == (False, 4, [])


class TestStopOfTheIncarnationBefore:
    async def test_the_next_one_has_to_confirm_it_too(self, monkeypatch):
        """Guards against a late start on a worker that has forgotten it."""
        clock = Clock()
        pool_state, client, link = make_link(clock, monkeypatch)
        add_job(pool_state, StepSpec(1, SMALL))
        await link.renew_leases(0)
        (start,) = plan(pool_state, now=clock.now)
        task = start.task
        unknown = CallFaultKind.UNKNOWN
        pool_state.note_start_failed(task, start.run, unknown, clock.now)
        pool_state.note_stopped(task, start.run, clock.now)
        clock.now += 0.1
        client.restart()
        await link.renew_leases(0)
        assert task.state is TaskState.UNSURE
        pool_state.note_stopped(task, start.run, clock.now)
        clock.now += 0.1
        await link.renew_leases(0)
        assert task.state is TaskState.WAITING


class TestWorkerBackAtOnce:
    """Its new ends were forgotten unread within 0.2 s (issue 35, TWICE)."""

    async def restart_under_a_start(self, monkeypatch, answer):
        """Let a worker start again and end the run of a start unread.

        :param answer: answers the start, which the next incarnation has got.
        :returns: numbers up to which the next renewals let it forget ends.
        """
        _, client, link = await acknowledge_end(monkeypatch)
        (start,) = plan(link.pool_state, now=client.clock.now)
        client.restart()
        client.start = answer
        starting = asyncio.create_task(link.orders.start(start))
        await asyncio.sleep(0)
        done = RunEndKind.DONE
        client.ends = [RunEnd(1, start.task.key, start.run, done, '')]
        client.seen.clear()
        renewal = asyncio.create_task(link.renew_leases(0))
        await asyncio.sleep(0)
        renewal.cancel()
        starting.cancel()
        return client.seen

    async def test_a_start_is_under_way(self, monkeypatch):
        async def wait(_worker, _order):
            await asyncio.Event().wait()

        assert await self.restart_under_a_start(monkeypatch, wait) == [0]

    async def test_a_start_got_no_answer(self, monkeypatch):
        async def fail(_worker, _order):
            return Err(CallFault(CallFaultKind.UNKNOWN, 'no answer'))

        async def refuse(*_call):
            return Err(CallFault(CallFaultKind.NOT_DONE, 'refused'))

        monkeypatch.setattr(links_module.FakeWorker, 'stop', refuse)
        assert await self.restart_under_a_start(monkeypatch, fail) == [0]
