"""Requests to the policy service for workers that may run a step."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from result import Err

from verbenapost.coordination.scheduling.jobs import StepRun
from verbenapost.coordination.scheduling.planning import StartPlanner
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.platform.advice import MAX_WORKERS, AdviceClient
from verbenapost.scheduler.clock import read_moment
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.poolstates import PoolStateSet

#: Seconds between two polls for steps that wait for advice.
POLL_SECONDS: Final = 0.05

#: Seconds to wait after a failed request.
RETRY_SECONDS: Final = 0.5

#: Workers that one request names for each task of the step. Each worker adds
#: to the response time, and the policy may allow only a few of them.
WORKERS_PER_TASK: Final = 3

#: Fraction of a ticket's lifetime during which the ticket is used, so that a
#: start arrives at the worker before its ticket expires.
TICKET_SHARE: Final = 0.8

#: Jobs for which the workers that earlier requests named are remembered.
MAX_REMEMBERED_JOBS: Final = 1000


class Advisor:
    """Sends one request at a time, for the most urgent step.

    :param client: client of the policy service.
    :param pool_states: states of all pools.
    :param election: whether this daemon leads.
    :param wake: triggers a planning round.
    :param log: logger.
    """

    def __init__(
        self,
        client: AdviceClient,
        pool_states: PoolStateSet,
        election: Election,
        wake: Callable[[], None],
        log: Any,
    ) -> None:
        self._client = client
        self._pool_states = pool_states
        self._election = election
        self._wake = wake
        self._log = log
        self._named_workers: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        while True:
            requested = False
            for pool_state in self._pool_states:
                requested = (
                    await self._request_for_pool(pool_state) or requested
                )
            if not requested:
                await asyncio.sleep(POLL_SECONDS)

    async def _request_for_pool(self, pool_state: PoolState) -> bool:
        if not self._election.holds_lease():
            return False
        moment = read_moment()
        waiting = StartPlanner(pool_state, moment).find_awaiting_advice()
        if not waiting:
            return False
        step = waiting[0]
        workers = self._choose_workers(pool_state, step, moment.now)
        terms = pool_state.find_route(step.job).advice
        if not workers or terms is None:
            return False
        expected = terms.decide + terms.per_worker * len(workers)
        answer = await self._client.request_advice(
            step.tasks[0].key, workers, expected
        )
        if isinstance(answer, Err):
            self._log.warning(
                'advice not given',
                job=step.job.spec.job,
                fault=answer.err_value.kind.value,
                detail=answer.err_value.detail,
            )
            await asyncio.sleep(RETRY_SECONDS)
            return True
        advice = answer.ok_value
        until = moment.now + (advice.valid or terms.valid) * TICKET_SHARE
        pool_state.tickets.put(step.tasks[0].key, advice.tickets, until)
        self._log.info(
            'advice given',
            job=step.job.spec.job,
            step=step.number,
            asked=len(workers),
            allowed=len(advice.tickets),
        )
        self._note_named_workers(step, workers)
        self._wake()
        return True

    def _choose_workers(
        self,
        pool_state: PoolState,
        step: StepRun,
        now: float,
    ) -> list[str]:
        """Return the workers that the next request names.

        Workers that no earlier request of the job has named come first, then
        those with more free CPU.
        """
        named = self._named_workers.get(step.job.spec.job, set())
        ready = [
            row for row in pool_state.workers.values() if row.accepts_tasks(now)
        ]
        ready.sort(
            key=lambda row: (row.entry.worker in named, _rank_by_load(row))
        )
        limit = min(MAX_WORKERS, WORKERS_PER_TASK * len(step.tasks))
        return [row.entry.worker for row in ready[:limit]]

    def _note_named_workers(self, step: StepRun, workers: list[str]) -> None:
        if len(self._named_workers) > MAX_REMEMBERED_JOBS:
            self._named_workers.clear()
        self._named_workers.setdefault(step.job.spec.job, set()).update(workers)


def _rank_by_load(worker: Worker) -> int:
    return worker.used.cpu - worker.entry.capacity.cpu
