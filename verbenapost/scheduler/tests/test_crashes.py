"""Tasks that crash each worker on which they start, in virtual time."""

import asyncio

import pytest

from standins.fleet import workers
from standins.fleet.workers import RETURN_SECONDS, RunCrashed, RunStarted
from verbenapost.platform.names import WORKER_PREFIX
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


def count_crashes(world):
    """Return how many workers each task has crashed."""
    culprits = [
        event.task.job
        for event in world.history
        if isinstance(event, RunCrashed)
    ]
    return {job: culprits.count(job) for job in culprits}


async def wait_for_crashes(world, job, number):
    """Wait until a job has crashed a number of workers."""
    while count_crashes(world).get(job, 0) < number:
        await asyncio.sleep(0.001)


class TestTaskThatCrashesWorkers:
    """It crashed one worker after the other for as long as it was owed."""

    def run_crashing(self, play, steps, others=0, seconds=20, **options):
        """Return the violations, the states of the jobs and the crashes.

        :param steps: steps of the job whose first task crashes its workers.
        :param others: number of jobs beside it.
        :param seconds: seconds after the submissions.
        """

        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_crashing(1), steps)
            for number in range(others):
                await world.submit(name_job(number + 1), STEPS)
            await asyncio.sleep(seconds)
            return (
                check_rules(world),
                await read_states(world),
                count_crashes(world),
            )

        return play(scenario, **options)

    def test_it_is_given_up_after_three_workers(self, play):
        assert self.run_crashing(play, STEPS, standby_vms=0) == (
            [],
            {name_crashing(1): FAILED},
            {name_crashing(1): 3},
        )

    def test_it_is_given_up_without_a_list_of_vms(self, play):
        assert self.run_crashing(play, STEPS, seconds=25) == (
            [],
            {name_crashing(1): FAILED},
            {name_crashing(1): 3},
        )

    def test_jobs_beside_it_complete(self, play):
        """Several such tasks and many others share a few busy workers."""

        async def scenario(world):
            await wait_for_leader(world)
            for number in range(30):
                if number % 10 == 5:
                    await world.submit(name_crashing(number), STEPS)
                await world.submit(name_job(number), STEPS)
                await asyncio.sleep(0.1)
            await asyncio.sleep(20)
            states = await read_states(world)
            wrong = {
                job
                for job, state in states.items()
                if state != (FAILED if job.startswith('c4a5') else COMPLETED)
            }
            return check_rules(world), wrong, count_crashes(world)

        assert play(scenario, standby_vms=0, workers=6) == (
            [],
            set(),
            {name_crashing(number): 3 for number in (5, 15, 25)},
        )

    def test_a_gang_is_given_up(self, play):
        gang = [{'count': 4, 'cpu': 3000, 'mem_mb': 100, 'gang': True}]
        assert self.run_crashing(play, gang, others=1, standby_vms=0) == (
            [],
            {name_crashing(1): FAILED, name_job(1): COMPLETED},
            {name_crashing(1): 3},
        )

    def test_a_long_running_task_is_given_up(self, play):
        long_running = [{'count': 4, 'cpu': 1000, 'long_running': True}]
        assert self.run_crashing(play, long_running, standby_vms=0) == (
            [],
            {name_crashing(1): FAILED},
            {name_crashing(1): 3},
        )


class TestLeasesThatLapseFirst:
    """The crash shows only later: there is no list of VMs meanwhile."""

    @pytest.mark.parametrize('expires', [False, True])
    def test_the_task_is_given_up(self, play, monkeypatch, expires):
        """The worker is back after nine seconds; its entry may expire."""
        monkeypatch.setattr(workers, 'RETURN_SECONDS', 9)

        async def expire_entries(world):
            while True:
                await asyncio.sleep(0.1)
                for name, worker in world.workers.items():
                    if not worker.up:
                        world.store.remove(f'{WORKER_PREFIX}{name}')

        async def scenario(world):
            await wait_for_leader(world)
            expiring = asyncio.create_task(expire_entries(world))
            if not expires:
                expiring.cancel()
            await world.submit(name_crashing(1), STEPS)
            await asyncio.sleep(90)
            expiring.cancel()
            states = set((await read_states(world)).values())
            return check_rules(world), states

        assert play(scenario) == ([], {FAILED})


class TestCrashedRack:
    """Each run of a crashed rack is as suspect as the others."""

    async def load(self, world):
        """Fill the workers with jobs whose tasks have just started."""
        await wait_for_leader(world)
        await asyncio.sleep(1)
        for number in range(20):
            steps = [{'count': 6, 'cpu': 500, 'mem_mb': 100}]
            await world.submit(name_job(number), steps)
        await asyncio.sleep(0.1)

    def crash(self, crashed):
        """Crash workers and return the tasks that they ran."""
        lost = {task for row in crashed for task in row.runs}
        for row in crashed:
            row.crash()
            asyncio.get_running_loop().call_later(RETURN_SECONDS, row.restart)
        return lost

    def find_restarts(self, world, lost, since):
        """Return the times at which lost tasks started again."""
        return {
            event.task: event.at
            for event in reversed(world.history)
            if isinstance(event, RunStarted)
            and event.at > since
            and event.task in lost
        }

    def test_its_tasks_run_again_within_two_seconds(self, play):
        async def scenario(world):
            await self.load(world)
            lost = self.crash(
                [row for row in world.workers.values() if row.labels[1] == 'r1']
            )
            crashed_at = world.now()
            await asyncio.sleep(20)
            times = self.find_restarts(world, lost, crashed_at).values()
            spread = max(times) - min(times)
            states = set((await read_states(world)).values())
            return (
                check_rules(world),
                states,
                len(times) == len(lost) >= 30,
                spread < 2,
            )

        assert play(scenario, standby_vms=0, workers=12) == (
            [],
            {COMPLETED},
            True,
            True,
        )

    def test_its_jobs_outlive_the_crash_of_a_second_rack(self, play):
        """Their tasks have just started there, each apart from other jobs."""

        async def scenario(world):
            await self.load(world)
            lost = self.crash(
                [row for row in world.workers.values() if row.labels[1] == 'r1']
            )
            crashed_at = world.now()
            while not self.find_restarts(world, lost, crashed_at):
                await asyncio.sleep(0.01)
            again = self.crash(
                [
                    row
                    for row in world.workers.values()
                    if row.up and lost & row.runs.keys()
                ]
            )
            await asyncio.sleep(20)
            states = set((await read_states(world)).values())
            return check_rules(world), states, len(again & lost) > 10

        assert play(scenario, standby_vms=0, workers=12) == (
            [],
            {COMPLETED},
            True,
        )


class TestCrashesBeforeATakeover:
    """A successor counted from none, so each leader lost three more workers."""

    def test_the_successor_goes_on_counting(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await world.submit(name_crashing(1), STEPS, 'd1')
            await wait_for_crashes(world, name_crashing(1), 2)
            # The end of the job is not stored, since the second crash is not
            # known yet.
            await asyncio.sleep(0.05)
            await leader.kill()
            await asyncio.sleep(25)
            other = next(row for row in world.daemons.values() if row.alive)
            states = await read_states(world, other.name)
            return check_rules(world), states, count_crashes(world)

        assert play(scenario, standby_vms=0) == (
            [],
            {name_crashing(1): FAILED},
            {name_crashing(1): 3},
        )
