"""Handling of callers' requests."""

import asyncio
import dataclasses
import random
import time
from typing import Any, Final, final

from result import Err, Ok, Result

from verbenapost.coordination.scheduling.jobs import read_packed_state
from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.fields import FieldError
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.submissions import (
    decode_job,
    encode_pending,
    encode_state,
    is_job_id,
)
from verbenapost.protocol.orders import CallFault, KeyValue
from verbenapost.scheduler.answers import (
    UNAVAILABLE_RETRY_SECONDS,
    EntryAnswer,
    EntryRequest,
    Status,
    refuse,
    refuse_fault,
)
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.keys import (
    make_cancel_key,
    make_progress_key,
    make_spec_key,
)
from verbenapost.scheduler.messages import (
    AdmissionRequest,
    PendingRequest,
    StateRequest,
)
from verbenapost.scheduler.peers import LeaderClient
from verbenapost.scheduler.retries import RetryingStore
from verbenapost.scheduler.submissions import Submissions
from verbenapost.state.workloads import CallerJobState, JobSpec, Route

#: Seconds after which a caller may retry at a daemon that has no configuration
#: yet.
UNCONFIGURED_RETRY: Final = 0.15

#: Seconds for which a count of pending jobs may be reused.
PENDING_CACHE_SECONDS: Final = 1.5

_MILLI: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _PendingCount:
    jobs: int
    read_at: float


class Entry:
    """Answers callers from the leader's memory and the store.

    :param configuration: the operator configuration.
    :param store: the store.
    :param leader: client of the leader.
    :param outage_detector: tells whether the store is unavailable.
    :param log: logger.
    """

    def __init__(
        self,
        configuration: ConfigurationFollower,
        store: PlatformStore,
        leader: LeaderClient,
        outage_detector: StoreOutageDetector,
        log: Any,
    ) -> None:
        self._configuration = configuration
        self._store = store
        self._leader = leader
        self._outage_detector = outage_detector
        self._retrying = RetryingStore(store, outage_detector)
        self._submissions = Submissions(store, self._retrying, log)
        self._log = log
        self._pending: dict[str, _PendingCount] = {}

    async def serve(self, request: EntryRequest) -> EntryAnswer:
        """Return the complete answer to a request."""
        current = self._configuration.current
        if current is None:
            return refuse(
                Status.UNAVAILABLE, 'no configuration yet', UNCONFIGURED_RETRY
            )
        route = current.find_route(request.host, request.path)
        if route is None:
            self._log.info(
                'no such queue',
                path=request.path,
                host=request.host,
                version=current.version,
            )
            return refuse(Status.NO_ROUTE, 'no such queue')
        name = request.path.removeprefix(route.prefix)
        if not name and request.method == 'GET':
            return await self._count_pending(route)
        if not is_job_id(name):
            return refuse(Status.INVALID, 'the job is not 16 hex digits')
        if request.method == 'POST':
            return await self._submit(request, route, name)
        if request.method == 'GET':
            return await self._answer_state(request, name)
        if request.method == 'DELETE':
            return await self._submissions.cancel(name, request.deadline)
        return refuse(Status.NOT_ALLOWED, 'use POST, GET or DELETE')

    async def _submit(
        self,
        request: EntryRequest,
        route: Route,
        name: str,
    ) -> EntryAnswer:
        try:
            spec = decode_job(name, route, request.body)
            spec = dataclasses.replace(
                spec, submitted_at=time.time(), terms=route
            )
        except FieldError as refusal:
            return refuse(Status.INVALID, str(refusal))
        if self._outage_detector.is_unavailable(read_clock()):
            return self._refuse_unavailable(name)
        admission = await self._leader.ask(
            AdmissionRequest(
                name,
                route.name,
                route.service,
                _count_cores(spec),
                _count_steps(spec),
                _get_due_in(spec),
            ),
        )
        # A leader that does not answer may have lost its lease with the store.
        suspect = True
        if isinstance(admission, Err):
            self._log.info(
                'admission request failed', job=name, reason=admission.err_value
            )
        elif admission.ok_value.accepted:
            suspect = admission.ok_value.store_suspect
        else:
            return await self._refuse_full(name, admission.ok_value.retry_after)
        if not await self._reaches_store(suspect=suspect):
            return self._refuse_unavailable(name)
        answer = await self._submissions.submit(spec, request.deadline)
        if answer.status is Status.UNAVAILABLE:
            return self._refuse_unavailable(name)
        self._log.info(
            'submission answered',
            job=name,
            route=route.name,
            status=int(answer.status),
            retry_after=answer.retry_after,
        )
        return answer

    async def _reaches_store(self, *, suspect: bool) -> bool:
        """Return whether a write may be tried.

        A write without an answer leaves its outcome open, so that the caller
        can't try again elsewhere; a read is tried first while the store may be
        unavailable. Two reads, since a single answer may be lost.

        :param suspect: whether the leader takes the store for suspect.
        """
        if not suspect and not self._outage_detector.is_suspect(read_clock()):
            return True
        return any(
            await asyncio.gather(self._store.probe(), self._store.probe())
        )

    def _refuse_unavailable(self, name: str) -> EntryAnswer:
        """Refuse a job of which nothing was written to the store."""
        retry = self._outage_detector.choose_retry_after(
            read_clock(),
            random.random(),  # noqa: S311
        )
        self._log.info('submission refused', job=name, retry_after=retry)
        return refuse(Status.UNAVAILABLE, 'the store is away; not run', retry)

    async def _refuse_full(self, name: str, retry: float) -> EntryAnswer:
        """Refuse a job unless an earlier attempt may have stored it."""
        found = await self._store.read_key(make_spec_key(name))
        if isinstance(found, Err):
            return refuse(Status.TIMEOUT, 'not known whether it was stored')
        if found.ok_value is not None:
            return EntryAnswer(Status.OK)
        self._log.info('submission refused', job=name, retry_after=retry)
        return refuse(Status.REFUSED, 'the pool is full; not run', retry)

    async def _answer_state(
        self,
        request: EntryRequest,
        name: str,
    ) -> EntryAnswer:
        asked = await self._leader.ask(StateRequest(name))
        if isinstance(asked, Ok) and asked.ok_value.state:
            return _make_state_answer(CallerJobState(asked.ok_value.state))
        stored = await self._retrying.read(
            lambda: self._read_state(name), request.deadline
        )
        if isinstance(stored, Err):
            return refuse_fault(stored.err_value)
        if stored.ok_value is None:
            self._log.info('no such job', job=name)
            return refuse(Status.NO_JOB, 'no such job')
        return _make_state_answer(stored.ok_value)

    async def _read_state(
        self,
        name: str,
    ) -> Result[CallerJobState | None, CallFault]:
        """Return a job's state as stored, or ``None`` for an unknown job."""
        # In this order, an ended job that is removed meanwhile is not taken
        # for one without progress.
        progress = await self._read(make_progress_key(name))
        if isinstance(progress, Err):
            return progress
        state = CallerJobState.QUEUED
        if progress.ok_value is not None:
            state = read_packed_state(progress.ok_value.value)
        if state.ended:
            return Ok(state)
        submitted = await self._read(make_spec_key(name))
        if isinstance(submitted, Err):
            return submitted
        if submitted.ok_value is None:
            return Ok(None)
        cancel = await self._read(make_cancel_key(name))
        if isinstance(cancel, Err):
            return cancel
        return Ok(CallerJobState.CANCELLED if cancel.ok_value else state)

    async def _read(self, key: str) -> Result[KeyValue | None, CallFault]:
        return await self._store.read_key(key)

    async def _count_pending(self, route: Route) -> EntryAnswer:
        asked = await self._leader.ask(PendingRequest(route.name))
        now = read_clock()
        if isinstance(asked, Ok):
            self._pending[route.name] = _PendingCount(
                asked.ok_value.pending, now
            )
        known = self._pending.get(route.name)
        if known is None or now - known.read_at > PENDING_CACHE_SECONDS:
            self._log.info('pending count unknown', route=route.name)
            return refuse(
                Status.UNAVAILABLE,
                'the leader is away',
                UNAVAILABLE_RETRY_SECONDS,
            )
        return EntryAnswer(Status.OK, encode_pending(known.jobs))


def _make_state_answer(state: CallerJobState) -> EntryAnswer:
    return EntryAnswer(Status.OK, encode_state(state))


def _count_cores(spec: JobSpec) -> float:
    """Return the total cores of all tasks except long-running ones."""
    return sum(
        step.count * step.size.cpu / _MILLI
        for step in spec.steps
        if not step.long_running
    )


def _get_due_in(spec: JobSpec) -> float:
    """Return the seconds until the first occurrence is due."""
    if not spec.repetitions:
        return 0
    return max(0, spec.start_at - spec.submitted_at)


def _count_steps(spec: JobSpec) -> int:
    """Return the number of steps in the longest dependency chain."""
    depths: list[int] = []
    for step in spec.steps:
        before = (depths[number] for number in step.after)
        depths.append(1 + max(before, default=0))
    return max(depths)
