"""Workers for the tasks of suspect jobs, and for those of all others.

Load pattern: a busy pool starts tasks on each worker several times a second, so
that no worker is ever without an unproven run by itself.
"""

from collections.abc import Sequence
from typing import Final

from verbenapost.coordination.scheduling.crashes import is_unproven
from verbenapost.coordination.scheduling.jobs import Job, StepRun, Task
from verbenapost.coordination.scheduling.placement import (
    Tickets,
    choose_gang_workers,
    filter_by_ticket,
    is_permitted,
)
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import (
    Worker,
    compute_booking,
)

#: One worker in so many that accept tasks may be kept for suspect jobs.
KEPT_DIVISOR: Final = 2

_NO_JOBS: Final[frozenset[str]] = frozenset()


class Isolation:
    """Keeps the unproven runs of suspect jobs apart in one round of planning.

    Explanation
    ===========

    A task of a suspect job starts only on a worker without unproven runs of
    another job, and as long as its run is not proven, no other job's task
    starts there. If it crashes the worker, the job that caused that is known.
    Tasks of one job share a worker, since a job fails with any of them.

    A worker that a suspect job waits for is kept free of new starts until its
    runs are proven. A kept worker stays kept in the next round.

    :param pool_state: state of the pool.
    :param ready: workers that accept new tasks.
    :ivar kept: names of the kept workers, with the job that waits for each.
    """

    def __init__(self, pool_state: PoolState, ready: Sequence[Worker]) -> None:
        pool_state.suspects = {
            name: job
            for name, job in pool_state.suspects.items()
            if job.suspect
        }
        self._suspects = pool_state.suspects
        self._ready = ready
        self._reservations = pool_state.reservations
        self._previous = pool_state.kept_workers
        self.kept: dict[str, str] = {}
        self._unproven_jobs: dict[str, set[str]] = {}
        self._unaffected: Sequence[Worker] | None = None
        if self._suspects:
            self._unproven_jobs = {
                worker.entry.worker: _find_unproven_jobs(worker)
                for worker in ready
            }
        else:
            self._unaffected = ready

    def sort(self, steps: list[StepRun]) -> None:
        """Move the steps of suspect and of long-running jobs to the front.

        A long-running job has to keep its tasks, and suspect runs may take all
        workers in turn.
        """
        if self._suspects:
            steps.sort(
                key=lambda step: (
                    not step.job.long_running and not self.is_isolated(step.job)
                )
            )

    def is_isolated(self, job: Job) -> bool:
        """Return whether a job's tasks start apart from other jobs."""
        return job.spec.job in self._suspects

    def find_workers(self, job: Job) -> Sequence[Worker]:
        """Return the workers on which a job's tasks may start."""
        if self.is_isolated(job):
            return [row for row in self._ready if self._is_free(row, job)]
        if self._unaffected is None:
            self._unaffected = [
                row for row in self._ready if not self._is_taken(row)
            ]
        return self._unaffected

    def note_start(self, worker: Worker, job: Job) -> None:
        """Record a planned start."""
        if self._suspects:
            jobs = self._unproven_jobs[worker.entry.worker]
            jobs.add(job.spec.job)
        if self.is_isolated(job):
            self._unaffected = None

    def keep_worker(self, step: StepRun, tickets: Tickets | None) -> None:
        """Keep a worker free of other starts for a step, within the limit.

        :param step: step of a suspect job with tasks that wait.
        :param tickets: tickets by worker, where a policy restricts the choice.
        """
        limit = max(1, len(self._ready) // KEPT_DIVISOR)
        room = max(0, limit - len(self.kept))
        eligible = [
            worker
            for worker in filter_by_ticket(self._ready, tickets)
            if is_permitted(step, worker)
            and self._may_fit(step, worker)
            and not self._is_taken(worker)
        ]
        eligible.sort(key=lambda worker: self._rank(worker, step))
        for worker in eligible[: min(1, room)]:
            self.kept[worker.entry.worker] = step.job.spec.job
            self._unaffected = None

    def keep_gang_workers(
        self, step: StepRun, waiting: Sequence[Task], tickets: Tickets | None
    ) -> None:
        """Keep the workers of a gang, unless it would not fit on them now.

        :param step: step of a suspect job whose gang waits.
        :param waiting: members of the gang.
        :param tickets: tickets by worker, where a policy restricts the choice.
        """
        job = step.job.spec.job
        found = [row for row in self._ready if not self._is_taken(row)]
        kept = [
            row for row in found if self._previous.get(row.entry.worker) == job
        ]
        for workers in (kept, found):
            chosen = choose_gang_workers(step, waiting, workers, tickets)
            if chosen is not None:
                self.kept.update((row.entry.worker, job) for row in chosen)
                self._unaffected = None
                return

    def _rank(self, worker: Worker, step: StepRun) -> tuple[bool, bool, int]:
        name = worker.entry.worker
        return (
            not worker.has_capacity(compute_booking(step.spec)),
            self._previous.get(name) != step.job.spec.job,
            len(self._unproven_jobs[name]),
        )

    def _may_fit(self, step: StepRun, worker: Worker) -> bool:
        """Return whether a worker is worth keeping for a step.

        Capacity that is not free yet is awaited for long-running tasks only,
        as reservations do.
        """
        size = compute_booking(step.spec)
        if not step.spec.long_running:
            return worker.has_capacity(size)
        lasting = self._reservations.measure_lasting(worker)
        return lasting.plus(size).fits(worker.entry.capacity)

    def _is_free(self, worker: Worker, job: Job) -> bool:
        name = worker.entry.worker
        if self.kept.get(name, job.spec.job) != job.spec.job:
            return False
        return self._unproven_jobs[name] <= {job.spec.job}

    def _is_taken(self, worker: Worker) -> bool:
        name = worker.entry.worker
        jobs = self._unproven_jobs.get(name, _NO_JOBS)
        return name in self.kept or not self._suspects.keys().isdisjoint(jobs)


def _find_unproven_jobs(worker: Worker) -> set[str]:
    return {task.key.job for task in worker.tasks.values() if is_unproven(task)}
