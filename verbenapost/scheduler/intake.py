"""The jobs of the leader, as submitted through the store."""

import dataclasses
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, final

from verbenapost.coordination.scheduling.commands import Command
from verbenapost.coordination.scheduling.jobprogress import restore_progress
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import KeyChange, KeyValue
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.keys import make_progress_key, parse_submitted
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.state.submissions import unpack_job
from verbenapost.state.workloads import CallerJobState, JobSpec, Route

#: Attempts for each task of a job whose record lacks the terms of its queue,
#: while no configuration has the queue. Records of older versions lack them.
FALLBACK_MAX_ATTEMPTS: Final = 3

Send = Callable[[PoolState, list[Command]], None]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CancelMark:
    """The stored mark of a cancel.

    :param job: identity of the job.
    :param revision: revision of the mark's key.
    :param read_at: local seconds at which this leader read the mark.
    """

    job: str
    revision: int
    read_at: float


class JobIntake:
    """Adds each submitted job to the state of the pool of its service.

    :param pool_states: states of all pools.
    :param configuration: the operator configuration.
    :param send: sends commands to workers.
    :param log: logger.
    """

    def __init__(
        self,
        pool_states: PoolStateSet,
        configuration: ConfigurationFollower,
        send: Send,
        log: Any,
    ) -> None:
        #: Whether jobs added now may have run under a previous leader.
        self.inheriting = True
        self._pool_states = pool_states
        self._configuration = configuration
        self._send = send
        self._log = log
        #: Called with each added job that has not ended.
        self.notify: Callable[[PoolState, Job], None] | None = None
        self._pool_states_by_job: dict[str, PoolState] = {}
        self._progress: dict[str, KeyValue] = {}
        self._cancels: dict[str, CancelMark] = {}

    def __len__(self) -> int:
        """Return the number of known jobs."""
        return len(self._pool_states_by_job)

    def __contains__(self, name: str) -> bool:
        """Return whether a job is known."""
        return name in self._pool_states_by_job

    def load_progress(self, stored: Mapping[str, KeyValue]) -> None:
        """Keep the stored progress of jobs that are added later.

        :param stored: stored progress by key.
        """
        self._progress = dict(stored)

    def find_job(self, name: str) -> Job | None:
        """Return a job by its identity."""
        pool_state = self._pool_states_by_job.get(name)
        return None if pool_state is None else pool_state.jobs.get(name)

    def read_state(self, name: str) -> CallerJobState | None:
        """Return the state of a job; an ended state only once it is stored."""
        job = self.find_job(name)
        if job is None:
            return None
        if job.state.ended and not job.stored_state.ended:
            return CallerJobState.RUNNING
        return job.state

    def find_owner(self, name: str) -> str:
        """Return the name of a job's tenant, empty if there is none."""
        job = self.find_job(name)
        if job is None or job.spec.tenant is None:
            return ''
        return job.spec.tenant.name

    def find_ended(self, before: float) -> list[str]:
        """Return the jobs whose end was stored before a time.

        :param before: local clock in seconds.
        """
        found = []
        for name in self._pool_states_by_job:
            job = self.find_job(name)
            ended_at = None if job is None else job.ended_at
            if ended_at is not None and ended_at < before:
                found.append(name)
        return found

    def forget(self, names: Iterable[str]) -> None:
        """Drop jobs whose keys were removed from the store."""
        for name in names:
            self._pool_states_by_job.pop(name).drop_job(name)
            self._cancels.pop(name, None)

    def find_withdrawn(self, before: float) -> list[CancelMark]:
        """Return the marks of jobs that were withdrawn before they were stored.

        :param before: local clock in seconds before which they were read.
        """
        return [
            mark
            for name, mark in self._cancels.items()
            if name not in self._pool_states_by_job and mark.read_at < before
        ]

    def forget_withdrawn(self, names: Iterable[str]) -> None:
        """Drop the marks of withdrawn jobs."""
        for name in names:
            self._cancels.pop(name, None)

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change of a submission key."""
        key = parse_submitted(change.key)
        if change.value is None:
            if key.cancel:
                self._cancels.pop(key.job, None)
        elif key.cancel:
            self._cancels[key.job] = CancelMark(
                key.job, change.revision, read_clock()
            )
            self._cancel(key.job)
        elif key.job not in self._pool_states_by_job:
            self._load_job(key.job, change.value)

    def _load_job(self, name: str, packed: bytes) -> None:
        try:
            self._add(unpack_job(packed))
        except ValueError as fault:
            self._log.error('job not readable', job=name, fault=str(fault))

    def _add(self, spec: JobSpec) -> None:
        age = max(0, time.time() - spec.submitted_at)
        job = Job(spec, read_clock() - age, inherited=self.inheriting)
        progress = self._progress.pop(make_progress_key(spec.job), None)
        if progress is not None:
            restore_progress(job, progress.value, progress.revision)
            if job.state.ended:
                job.ended_at = read_clock()
        pool_state = self._pool_states.find(spec.service)
        pool_state.add_job(job, self._find_route(job))
        self._pool_states_by_job[spec.job] = pool_state
        self._log.info(
            'job taken',
            job=spec.job,
            route=spec.route,
            tasks=sum(step.count for step in spec.steps),
            steps=len(spec.steps),
            state=job.state.value,
        )
        if self.notify is not None and not job.state.ended:
            self.notify(pool_state, job)
        if spec.job in self._cancels:
            self._cancel(spec.job)

    def _find_route(self, job: Job) -> Route:
        """Return the route of a job, which may have been removed."""
        spec = job.spec
        route = self._configuration.find_route(spec.route) or spec.terms
        if route is not None:
            return route
        if not job.state.ended:
            self._log.warning(
                'terms of the queue not known', job=spec.job, route=spec.route
            )
        return Route(
            spec.route,
            '',
            '',
            spec.service,
            max_attempts=FALLBACK_MAX_ATTEMPTS,
        )

    def _cancel(self, name: str) -> None:
        pool_state = self._pool_states_by_job.get(name)
        if pool_state is None:
            return
        self._log.info('job cancelled', job=name)
        self._send(pool_state, pool_state.cancel_job(name))
