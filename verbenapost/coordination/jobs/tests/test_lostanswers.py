"""Tests of workers that are reached but whose answers are lost."""

import asyncio

from result import Err

from standins.tasks import TaskState
from standins.virtualtime import run_virtual
from verbenapost.coordination.jobs.tests.site import JobSite, make_job
from verbenapost.protocol.errors import ErrorKind, Failure


def lose_answers(member, lost):
    """Carry out the calls to some addresses and lose their answers."""
    call = member.tasks._call

    async def call_and_lose(address, *params):
        answer = await call(address, *params)
        if address in lost:
            return Err(Failure(ErrorKind.TARGET_FAILED))
        return answer

    member.tasks._call = call_and_lose


def count_running(site, job):
    """Return on how many workers a job runs now."""
    count = 0
    for runner in site.runners.values():
        runner.advance(site.now())
        task = runner.tasks.get(job)
        count += task is not None and task.state is TaskState.RUNNING
    return count


class TestSilentWorkerThatIsRenewed:
    """Its leases go on, so its jobs must not start elsewhere."""

    def test_a_job_runs_on_one_worker_at_a_time(self):
        async def scenario(now):
            site = JobSite(now)
            member = site.make_member('m1')
            member.own()
            lost = set()
            lose_answers(member, lost)
            submitted = await member.record_store.submit(make_job(seconds=90))
            job = submitted.unwrap().record.job
            await asyncio.sleep(5)
            lost.update(
                name for name, row in site.runners.items() if job in row.tasks
            )
            most = 0
            for _ in range(160):
                await asyncio.sleep(0.25)
                most = max(most, count_running(site, job))
            await member.close()
            return len(lost), most

        assert run_virtual(scenario) == (1, 1)
