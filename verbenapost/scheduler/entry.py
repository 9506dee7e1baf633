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
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ExpectedRevision,
    KeyValue,
    Transaction,
    TransactionConflict,
    Write,
)
from verbenapost.scheduler.answers import (
    EntryAnswer,
    EntryRequest,
    Status,
    refuse,
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
from verbenapost.state.submissions import pack_job
from verbenapost.state.workloads import CallerJobState, JobSpec, Route

#: Seconds after which a caller may retry at a daemon that has no configuration
#: yet.
UNCONFIGURED_RETRY: Final = 0.15

#: Seconds after which a caller may retry when no better estimate exists.
UNAVAILABLE_RETRY_SECONDS: Final = 1.0

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
            return await self._cancel(request, name)
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
        answer = await self._store_job(spec, request.deadline)
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

    async def _store_job(self, spec: JobSpec, deadline: float) -> EntryAnswer:
        key = make_spec_key(spec.job)
        transaction = Transaction(
            (ExpectedRevision(key, 0),),
            (Write(key, pack_job(spec)),),
        )
        outcome = await self._retrying.write(transaction, deadline)
        if isinstance(outcome, Ok) or isinstance(
            outcome.err_value, TransactionConflict
        ):
            # On a conflict the key exists, from an earlier submission of the
            # job or from an earlier attempt of this one.
            return EntryAnswer(Status.OK)
        return _refuse_fault(outcome.err_value)

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
            return _refuse_fault(stored.err_value)
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

    async def _cancel(
        self,
        request: EntryRequest,
        name: str,
    ) -> EntryAnswer:
        submitted = await self._retrying.read(
            lambda: self._read(make_spec_key(name)), request.deadline
        )
        if isinstance(submitted, Err):
            return _refuse_fault(submitted.err_value)
        spec = submitted.ok_value
        if spec is None:
            return refuse(Status.NO_JOB, 'no such job')
        key = make_cancel_key(name)
        # A cancel that is carried out late must not reach a job that is
        # submitted under this identity once this one has been removed.
        transaction = Transaction(
            (
                ExpectedRevision(key, 0),
                ExpectedRevision(spec.key, spec.revision),
            ),
            (Write(key, b''),),
        )
        outcome = await self._retrying.write(transaction, request.deadline)
        self._log.info('cancel answered', job=name, stored=outcome.is_ok())
        if isinstance(outcome, Ok):
            return EntryAnswer(Status.OK)
        fault = outcome.err_value
        if isinstance(fault, CallFault):
            return _refuse_fault(fault)
        # The job has been cancelled before or has ended, unless it is gone.
        if fault.items:
            return EntryAnswer(Status.OK)
        return refuse(Status.NO_JOB, 'no such job')

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


def _refuse_fault(fault: CallFault | TransactionConflict) -> EntryAnswer:
    if isinstance(fault, CallFault) and fault.kind is not CallFaultKind.UNKNOWN:
        return refuse(
            Status.UNAVAILABLE,
            'the store is away; not run',
            UNAVAILABLE_RETRY_SECONDS,
        )
    return refuse(Status.TIMEOUT, 'not known whether it was stored')


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
