"""Simulated daemons, store and workers in virtual time, under faults."""

import asyncio
import random

import pytest

from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    FAILED,
    STEPS,
    check_rules,
    name_crashing,
    name_job,
    read_states,
    wait_for_leader,
)


class TestWithoutFaults:
    def test_jobs_run_once_and_complete(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            for number in range(20):
                answer = await world.submit(name_job(number), STEPS)
                assert answer.status == 200
                await asyncio.sleep(0.3)
            await asyncio.sleep(10)
            return check_rules(world), set((await read_states(world)).values())

        assert play(scenario) == ([], {COMPLETED})

    def test_submission_is_idempotent_across_daemons(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            for daemon in ('d0', 'd1', 'd2', 'd1'):
                answer = await world.submit(name_job(1), STEPS, daemon)
                assert answer.status == 200
                await asyncio.sleep(4)
            return check_rules(world), len(world.history)

        assert play(scenario) == ([], 10)

    def test_cancelled_job_stops_and_stays_cancelled(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            long_running = [{'count': 4, 'cpu': 1000, 'long_running': True}]
            job = '1a57000000000000'
            await world.submit(job, long_running)
            await asyncio.sleep(3)
            running = sum(len(row.runs) for row in world.workers.values())
            answer = await world.call('DELETE', job, daemon='d2')
            await asyncio.sleep(2)
            left = sum(len(row.runs) for row in world.workers.values())
            states = await read_states(world)
            return running, answer.status, left, states[job]

        assert play(scenario) == (4, 200, 0, '{"state":"cancelled"}')

    def test_unknown_job_is_gone(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            shown = await world.call('GET', name_job(7))
            dropped = await world.call('DELETE', name_job(7))
            return shown.status, dropped.status

        assert play(scenario) == (410, 410)

    def test_job_without_successful_runs_fails(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            for worker in world.workers.values():
                worker.faults.fail = 1
            await world.submit(name_job(1), STEPS)
            await asyncio.sleep(20)
            states = await read_states(world)
            return check_rules(world), set(states.values())

        assert play(scenario) == ([], {'{"state":"failed"}'})


class TestTakeover:
    def test_killed_leader_is_replaced_without_double_runs(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            for number in range(12):
                await world.submit(name_job(number), STEPS, 'd1')
            await asyncio.sleep(0.4)
            await leader.kill()
            began = world.now()
            await wait_for_leader(world)
            elapsed = world.now() - began
            await asyncio.sleep(15)
            other = next(row for row in world.daemons.values() if row.alive)
            states = await read_states(world, other.name)
            return check_rules(world), set(states.values()), elapsed < 3

        assert play(scenario) == ([], {COMPLETED}, True)

    def test_restarted_process_succeeds_its_predecessor(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await world.submit(name_job(1), STEPS, 'd1')
            await leader.kill()
            began = world.now()
            world.add_daemon(leader.name)
            successor = await wait_for_leader(world)
            return successor.name == leader.name, world.now() - began < 1

        assert play(scenario) == (True, True)

    def test_orderly_stop_hands_over_at_once(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await world.submit(name_job(1), STEPS, 'd1')
            began = world.now()
            await leader.stop()
            await wait_for_leader(world)
            return world.now() - began < 1

        assert play(scenario)

    def test_leader_without_the_store_sends_no_orders(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            for number in range(10):
                await world.submit(name_job(number), STEPS, 'd1')
            leader.store.faults.silent = True
            await asyncio.sleep(4)
            assert leader.core.find_local_handler() is None
            await asyncio.sleep(16)
            leader.store.faults.silent = False
            await asyncio.sleep(10)
            states = await read_states(world, leader.name)
            return check_rules(world), set(states.values())

        assert play(scenario) == ([], {COMPLETED})


class TestStoreOutage:
    """Callers keep submitting while the store is unavailable for seconds."""

    async def call_until_settled(self, world, number, response_times):
        """Submit like a caller, with up to four retries when told to retry."""
        answer = None
        for _ in range(5):
            began = world.now()
            answer = await world.submit(name_job(number), STEPS)
            response_times.append(world.now() - began)
            if answer.status not in {429, 503}:
                break
            await asyncio.sleep(answer.retry_after)
        return answer.status

    async def submit_through(self, world, fault):
        await wait_for_leader(world)
        await asyncio.sleep(2)
        response_times = []
        callers = []
        setattr(world.store.faults, fault, True)
        for number in range(15):
            call = self.call_until_settled(world, number, response_times)
            callers.append(asyncio.create_task(call))
            await asyncio.sleep(0.2)
        await asyncio.sleep(1)
        setattr(world.store.faults, fault, False)
        statuses = await asyncio.gather(*callers)
        await asyncio.sleep(20)
        states = await read_states(world)
        return (
            check_rules(world),
            statuses,
            response_times,
            set(states.values()),
        )

    def test_submissions_are_refused_at_once_and_served_later(self, play):
        async def scenario(world):
            found = await self.submit_through(world, 'down')
            faults, statuses, response_times, states = found
            short = sorted(response_times)[len(response_times) // 2]
            return faults, statuses.count(200), short < 0.02, states

        assert play(scenario) == ([], 15, True, {COMPLETED})

    @pytest.mark.parametrize('fault', ['silent', 'down'])
    def test_outcomes_stay_known_soon_after_the_outage_begins(
        self, play, fault
    ):
        """Callers of a silent store hear that nothing was written."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            others = [name for name in world.daemons if name != leader.name]
            await asyncio.sleep(2)
            setattr(world.store.faults, fault, True)
            await asyncio.sleep(1)
            answers = await asyncio.gather(
                *(
                    world.submit(name_job(number), STEPS, daemon)
                    for number, daemon in enumerate(others)
                )
            )
            return {answer.status for answer in answers}

        assert play(scenario) == {503}

    def test_silent_store_delays_only_the_first_calls(self, play):
        async def scenario(world):
            found = await self.submit_through(world, 'silent')
            faults, statuses, response_times, states = found
            long = sum(row > 1 for row in response_times)
            return faults, statuses.count(200) >= 5, long <= 15, states

        assert play(scenario) == ([], True, True, {COMPLETED})


class TestWorkerLoss:
    def test_tasks_of_a_crashed_worker_run_elsewhere(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            for number in range(10):
                await world.submit(name_job(number), STEPS)
            await asyncio.sleep(0.5)
            world.workers['w0'].crash()
            world.store.remove(f'{WORKER_PREFIX}w0')
            await asyncio.sleep(20)
            return check_rules(world), set((await read_states(world)).values())

        assert play(scenario) == ([], {COMPLETED})

    def test_unreachable_worker_is_waited_for(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            long_running = [{'count': 4, 'cpu': 4000, 'long_running': True}]
            await world.submit('1a57000000000000', long_running)
            await asyncio.sleep(2)
            world.workers['w0'].faults.unreachable = True
            await asyncio.sleep(20)
            world.workers['w0'].faults.unreachable = False
            await asyncio.sleep(5)
            running = sum(len(row.runs) for row in world.workers.values())
            return check_rules(world), running

        assert play(scenario) == ([], 4)

    def test_restarted_worker_gets_its_tasks_again(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            long_running = [{'count': 4, 'cpu': 4000, 'long_running': True}]
            await world.submit('1a57000000000000', long_running)
            await asyncio.sleep(2)
            world.workers['w0'].crash()
            await asyncio.sleep(0.5)
            world.workers['w0'].restart()
            await asyncio.sleep(4)
            running = sum(len(row.runs) for row in world.workers.values())
            return check_rules(world), running

        assert play(scenario) == ([], 4)


class TestStoreUnavailable:
    def test_submissions_are_refused_and_accepted_jobs_complete(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_job(1), STEPS)
            world.store.faults.down = True
            answer = await world.submit(name_job(2), STEPS)
            await asyncio.sleep(2.5)
            world.store.faults.down = False
            await asyncio.sleep(8)
            assert answer.status == 503
            assert answer.retry_after
            return check_rules(world), set((await read_states(world)).values())

        assert play(scenario) == ([], {COMPLETED})


class TestLapsedEntries:
    """Leases expire while the store is away; live workers register again."""

    async def play_outage(self, world, returned):
        """Let all leases expire; some workers register again at once."""
        await wait_for_leader(world)
        long_running = [{'count': 8, 'cpu': 2000, 'long_running': True}]
        await world.submit('1a57000000000000', long_running)
        await asyncio.sleep(2)
        world.store.faults.silent = True
        await asyncio.sleep(3)
        for name in world.workers:
            world.store.remove(f'{WORKER_PREFIX}{name}')
        world.store.remove(LEADER_KEY)
        world.store.faults.silent = False
        for name, worker in world.workers.items():
            if name not in returned:
                await asyncio.sleep(0.45)
            worker.register()
        await asyncio.sleep(12)
        running = sum(len(row.runs) for row in world.workers.values())
        return check_rules(world), running

    @pytest.mark.parametrize('returned', [(), ('w1',), ('w0', 'w2', 'w3')])
    @pytest.mark.parametrize('standby', [0, None])
    def test_runs_of_absent_workers_do_not_start_again(
        self, play, returned, standby
    ):
        async def scenario(world):
            return await self.play_outage(world, returned)

        assert play(scenario, standby_vms=standby) == ([], 8)


class TestRandomHistories:
    async def inject_fault(self, world, rng):
        """Inject one random fault and end it again."""
        kind = rng.choice(
            ('kill', 'stop', 'cut', 'lose', 'late', 'down', 'crash', 'compact'),
        )
        pause = rng.uniform(1, 5)
        worker = rng.choice(list(world.workers.values()))
        daemon = world.find_leader() or world.daemons['d0']
        if kind == 'kill':
            await daemon.kill()
            await asyncio.sleep(pause)
            world.add_daemon(daemon.name)
        elif kind == 'stop':
            await daemon.stop()
            world.add_daemon(daemon.name)
        elif kind == 'cut':
            daemon.store.faults.silent = rng.random() < 0.5
            daemon.workers.unreachable = {worker.name}
            await asyncio.sleep(pause)
            daemon.store.faults.silent = False
            daemon.workers.unreachable = set()
        elif kind == 'lose':
            world.store.faults.lose = 0.3
            await asyncio.sleep(pause)
            world.store.faults.lose = 0
        elif kind == 'late':
            world.store.faults.late = 0.2
            worker.faults.late = 0.3
            await asyncio.sleep(pause)
            world.store.faults.late = 0
            worker.faults.late = 0
        elif kind == 'down':
            world.store.faults.down = True
            await asyncio.sleep(pause)
            world.store.faults.down = False
        elif kind == 'crash':
            worker.crash()
            await asyncio.sleep(pause)
            worker.restart()
        else:
            world.store.compact()

    async def play_seed(self, world, seed, crashing=False):
        rng = random.Random(seed)
        await wait_for_leader(world)
        number = 0
        for _ in range(4):
            for _ in range(4):
                number += 1
                daemon = rng.choice(list(world.daemons))
                await world.submit(name_job(number), STEPS, daemon)
                await asyncio.sleep(rng.uniform(0, 0.5))
            if crashing:
                await world.submit(name_crashing(number), STEPS, daemon)
            await self.inject_fault(world, rng)
        await asyncio.sleep(30)
        states = await read_states(world)
        left = {
            job: state
            for job, state in states.items()
            if state != (FAILED if job.startswith('c4a5') else COMPLETED)
        }
        return check_rules(world), left

    @pytest.mark.parametrize('seed', range(30))
    def test_random_faults_break_no_rule(self, play, seed):
        async def scenario(world):
            return await self.play_seed(world, seed)

        assert play(scenario, seed=seed) == ([], {})

    @pytest.mark.parametrize('seed', [*range(10), 15, 20, 25, 36, 37, 50, 53])
    @pytest.mark.parametrize('standby', [0, None])
    def test_tasks_that_crash_workers_break_no_rule(self, play, seed, standby):
        async def scenario(world):
            return await self.play_seed(world, seed, crashing=True)

        assert play(scenario, seed=seed, standby_vms=standby) == ([], {})
