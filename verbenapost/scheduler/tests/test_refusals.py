"""Refusals of jobs that an earlier attempt may have stored."""

import asyncio

from verbenapost.scheduler import admission
from verbenapost.scheduler.answers import Status
from verbenapost.scheduler.messages import AdmissionResponse
from verbenapost.scheduler.tests.scenarios import (
    STEPS,
    name_job,
    wait_for_leader,
)


class TestRefusedAgain:
    """A 429 says that the job never runs."""

    def test_a_stored_job_is_not_refused_by_an_unanswered_read(
        self, play, monkeypatch
    ):
        async def scenario(world):
            await wait_for_leader(world)
            store = world.daemons['d0'].store
            commit = store.commit

            async def commit_late(transaction):
                asyncio.get_running_loop().call_later(
                    1.5, world.store.apply, transaction
                )
                return await store._lose_answer()

            store.commit = commit_late
            first = await world.submit(name_job(1), STEPS)
            store.commit = commit
            monkeypatch.setattr(
                admission.Admission,
                'check',
                lambda *_: AdmissionResponse(accepted=False, retry_after=1),
            )
            store.faults.silent = True
            again = await world.submit(name_job(1), STEPS)
            store.faults.silent = False
            await asyncio.sleep(5)
            ran = any(row.task.job == name_job(1) for row in world.history)
            return first.status, ran and again.status

        first, again = play(scenario, standby_vms=0)
        assert first == Status.TIMEOUT
        assert again != Status.REFUSED
