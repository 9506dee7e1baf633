"""Tests of the job owner in virtual time."""

import asyncio

from standins.tasks import TaskRunner
from standins.virtualtime import run_virtual
from verbenapost.coordination.jobs.tests.site import (
    POOL,
    JobSite,
    find_faults,
    make_job,
)
from verbenapost.coordination.jobs.transitions import MAX_FAILURES, make_cancel


async def submit(member, *records):
    outcomes = await asyncio.gather(*map(member.record_store.submit, records))
    return [outcome.unwrap().record.job for outcome in outcomes]


class TestOwner:
    def test_jobs_run_and_end_once(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            jobs = await submit(member, *(make_job() for _ in range(30)))
            await asyncio.sleep(60)
            states = {record.state for record in site.read_jobs().values()}
            faults = find_faults(site, jobs)
            await member.close()
            return states, faults

        assert run_virtual(scenario) == ({'done'}, [])

    def test_an_urgent_job_starts_within_nine_seconds_in_a_full_pool(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            records = (make_job(seconds=600, urgency=6) for _ in range(30))
            await submit(member, *records)
            await asyncio.sleep(20)
            submitted_at = now()
            (job,) = await submit(member, make_job(urgency=0, cpu=6, memory=20))
            while site.read_jobs()[job].state == 'queued':
                await asyncio.sleep(0.1)
            waited = now() - submitted_at
            await member.close()
            return waited

        assert run_virtual(scenario) < 9

    def test_a_job_that_fails_on_three_vms_ends_as_unable(self):
        async def scenario(now):
            site = JobSite(now, vms=4)
            member = site.make_member('m1')
            member.own()
            (job,) = await submit(member, make_job(path='/fail'))
            await asyncio.sleep(30)
            record = site.read_jobs()[job]
            usable = [
                worker.usable
                for worker in member.owner.scheduler.workers.by_name.values()
            ]
            await member.close()
            return record.state, len(record.failed_vms), all(usable)

        assert run_virtual(scenario) == ('unable', 3, True)

    def test_a_job_larger_than_every_vm_ends_as_unable(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            (job,) = await submit(member, make_job(cpu=9))
            await asyncio.sleep(5)
            state = site.read_jobs()[job].state
            await member.close()
            return state

        assert run_virtual(scenario) == 'unable'

    def test_a_new_owner_adopts_running_tasks(self):
        async def scenario(now):
            site = JobSite(now)
            first = site.make_member('m1')
            second = site.make_member('m2')
            first.own()
            jobs = await submit(first, *(make_job(seconds=20),) * 5)
            await asyncio.sleep(5)
            first.disown()
            second.own()
            await asyncio.sleep(40)
            records = site.read_jobs()
            results = {
                (records[job].state, records[job].attempt) for job in jobs
            }
            await first.close()
            await second.close()
            return results

        assert run_virtual(scenario) == {('done', 1)}

    def test_jobs_of_a_lost_worker_run_elsewhere(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            jobs = await submit(member, *(make_job(seconds=20),) * 9)
            await asyncio.sleep(5)
            site.cut.add('a0')
            await asyncio.sleep(120)
            faults = find_faults(site, jobs)
            failed_lists = [
                record.failed_vms for record in site.read_jobs().values()
            ]
            attempts = {record.attempt for record in site.read_jobs().values()}
            await member.close()
            return faults, set(failed_lists), attempts

        assert run_virtual(scenario) == ([], {()}, {1, 2})

    def test_a_burst_of_cancels_costs_few_writes(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            records = (make_job(seconds=600) for _ in range(1000))
            jobs = await submit(member, *records)
            await asyncio.sleep(5)
            before = member.store.calls['swap']
            await asyncio.gather(
                *(
                    member.record_store.change(
                        POOL, job, make_cancel('me', now())
                    )
                    for job in jobs
                )
            )
            writes = member.store.calls['swap'] - before
            await asyncio.sleep(3)
            states = {record.state for record in site.read_jobs().values()}
            left = sum(len(runner.tasks) for runner in site.runners.values())
            await member.close()
            return states, left, writes <= 8

        assert run_virtual(scenario) == ({'cancelled'}, 0, True)

    def test_a_task_with_an_overdue_checkpoint_is_stopped(self, monkeypatch):
        monkeypatch.setattr('standins.tasks.CHECKPOINT_SECONDS', 1000)

        async def scenario(now):
            site = JobSite(now, vms=1)
            member = site.make_member('m1')
            member.own()
            (slow,) = await submit(
                member, make_job(seconds=600, urgency=6, cpu=8, memory=30)
            )
            await asyncio.sleep(5)
            submitted_at = now()
            (job,) = await submit(member, make_job(urgency=0, cpu=8, memory=30))
            while site.read_jobs()[job].state == 'queued':
                await asyncio.sleep(0.1)
            waited = now() - submitted_at
            state = site.read_jobs()[slow].state
            await member.close()
            return state, waited < 9

        assert run_virtual(scenario) == ('queued', True)

    def test_a_throttled_task_is_unthrottled(self):
        async def scenario(now):
            site = JobSite(now, vms=1)
            member = site.make_member('m1')
            member.own()
            await submit(member, make_job(seconds=600, urgency=6, cpu=8))
            await asyncio.sleep(1.5)
            await submit(member, make_job(urgency=0, cpu=4, seconds=5))
            shares = []
            for _ in range(20):
                await asyncio.sleep(1)
                tasks = site.runners['a0'].tasks.values()
                shares.append(min(task.share for task in tasks))
            await member.close()
            return min(shares), shares[-1]

        assert run_virtual(scenario) == (0.25, 1)

    def test_a_team_with_many_jobs_leaves_capacity_to_another(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            records = (make_job(team='many') for _ in range(200))
            await submit(member, *records)
            (job,) = await submit(member, make_job(team='few'))
            submitted_at = now()
            while site.read_jobs()[job].state != 'done':
                await asyncio.sleep(0.5)
            waited = now() - submitted_at
            await member.close()
            return waited < 15

        assert run_virtual(scenario)

    def test_tasks_of_a_leaving_worker_resume_on_another(self):
        async def scenario(now):
            site = JobSite(now, vms=2)
            member = site.make_member('m1')
            member.own()
            (job,) = await submit(member, make_job(seconds=30))
            await asyncio.sleep(15)
            vm = site.read_jobs()[job].vm
            leaving = {vm: site.addresses.pop(vm)}
            member.owner.configure(site.addresses, leaving)
            await asyncio.sleep(10)
            record = site.read_jobs()[job]
            await member.close()
            return record.vm != vm, record.attempt, record.progress > 10

        assert run_virtual(scenario) == (True, 2, True)

    def test_running_jobs_finish_after_a_store_outage(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            jobs = await submit(member, *(make_job(seconds=20),) * 6)
            await asyncio.sleep(5)
            member.store.faults.refuse = 1
            refused = await member.record_store.submit(make_job())
            await asyncio.sleep(90)
            member.store.faults.refuse = 0
            await asyncio.sleep(10)
            records = site.read_jobs()
            results = {
                (records[job].state, records[job].attempt) for job in jobs
            }
            await member.close()
            return str(refused.unwrap_err().outcome), results

        assert run_virtual(scenario) == ('not_run', {('done', 1)})

    def test_a_large_job_is_not_starved_by_small_ones(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            lengths = [3 + index * 7 % 13 for index in range(200)]
            await submit(member, *(make_job(seconds=row) for row in lengths))
            await asyncio.sleep(20)
            (large,) = await submit(member, make_job(cpu=8, team='large'))
            submitted_at = now()
            while site.read_jobs()[large].state == 'queued':
                await asyncio.sleep(1)
            waited = now() - submitted_at
            await member.close()
            return waited

        assert run_virtual(scenario) < 60


class TestJobThatKillsItsWorker:
    """Each worker that starts it restarts at once, with all its tasks lost."""

    def test_it_is_not_started_without_end(self):
        async def scenario(now):
            site = JobSite(now, vms=6)
            member = site.make_member('m1')
            member.own()
            (job,) = await submit(member, make_job(seconds=600))
            kills = 0
            while now() < 300:
                await asyncio.sleep(0.1)
                for address, runner in site.runners.items():
                    if job in runner.tasks:
                        kills += 1
                        site.runners[address] = TaskRunner()
            state = site.read_jobs()[job].state
            await member.close()
            return state, kills <= MAX_FAILURES

        assert run_virtual(scenario) == ('unable', True)
