"""Requests for advice while the pools of the leader change."""

import asyncio

from result import Ok

from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.tests.sample import make_entry
from verbenapost.daemon.logs import make_logger
from verbenapost.platform.advice import Advice
from verbenapost.scheduler.advisor import Advisor
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.state.workloads import AdviceTerms, JobSpec, Route, StepSpec

TICKET_SECONDS = 3
TERMS = AdviceTerms(decide=0.25, per_worker=0.01, valid=TICKET_SECONDS)
ADVISED = Route('match', 'host', '/match/', 'booking', advice=TERMS)


class FixedElection:
    """An election that this daemon has won."""

    def holds_lease(self):
        return True


class JoiningPools:
    """Policy service; a pool appears while each request is answered.

    :ivar asked: jobs of the answered requests.
    """

    def __init__(self, pool_states):
        self.asked = []
        self._pool_states = pool_states

    async def request_advice(self, task, workers, _expected):
        await asyncio.sleep(0)
        self.asked.append(task.job)
        self._pool_states.find(f'service-{len(self.asked)}')
        tickets = dict.fromkeys(workers, 'ticket')
        return Ok(Advice(tickets, TICKET_SECONDS))


def make_pool_states():
    """Return the states of one pool, with one worker."""
    pool_states = PoolStateSet(token=1)
    entry = make_entry(service='booking')
    worker = pool_states.find('booking').set_worker(entry)
    worker.reachable = True
    worker.reconciled = True
    return pool_states


async def wait_for_requests(client, number):
    """Wait until a number of requests have been answered."""
    while len(client.asked) < number:
        await asyncio.sleep(0.01)


class TestAdvisor:
    async def test_requests_go_on_after_a_pool_appears_during_one(self):
        """Jobs of advised queues stayed queued for good (review/4)."""
        pool_states = make_pool_states()
        client = JoiningPools(pool_states)
        advisor = Advisor(
            client,
            pool_states,
            FixedElection(),
            lambda: None,
            make_logger('advice'),
        )
        running = asyncio.create_task(advisor.run())
        requests = 3
        for number in range(requests):
            job = Job(JobSpec(str(number), 'match', '', (StepSpec(1),)), 0)
            pool_states.find('booking').add_job(job, ADVISED)
            waiting = wait_for_requests(client, number + 1)
            await asyncio.wait_for(waiting, timeout=5)
        assert not running.done()
        running.cancel()
