"""What an entry does with a caller's request."""

import asyncio
import dataclasses
import enum
import time
from typing import Any, Final, final

from result import Err, Ok, Result

from verbenapost.coordination.scheduling.jobs import read_packed_state
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.fields import FieldError
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.submissions import (
    decode_job,
    encode_pending,
    encode_refusal,
    encode_state,
    is_job_id,
)
from verbenapost.protocol.orders import (
    CallFault,
    Conflict,
    Expectation,
    Fault,
    Item,
    Transaction,
    Write,
)
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.keys import (
    make_cancel_key,
    make_progress_key,
    make_spec_key,
)
from verbenapost.scheduler.messages import AskPending, AskRoom, AskState
from verbenapost.scheduler.peers import LeaderClient
from verbenapost.state.submissions import pack_job
from verbenapost.state.workloads import JobSpec, JobState, Route

#: Seconds between two tries of a write.
RETRY_SECONDS: Final = 0.15

#: Seconds before the caller's time is up at which it gets its answer.
ANSWER_MARGIN: Final = 0.15

#: Seconds after which a refused caller may come back when nothing is known
#: of the store but that it is away.
AWAY_RETRY_SECONDS: Final = 1.0

#: Seconds for which a number of waiting jobs may be told again.
PENDING_SECONDS: Final = 1.5

_MILLI: Final = 1000


@enum.unique
class Status(enum.IntEnum):
    """HTTP status of an answer."""

    OK = 200
    INVALID = 400
    NO_ROUTE = 404
    NOT_ALLOWED = 405
    NO_JOB = 410
    TOO_LARGE = 413
    REFUSED = 429
    UNAVAILABLE = 503
    TIMEOUT = 504


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller.

    :param method: HTTP method.
    :param host: host that it names.
    :param path: path without a query.
    :param body: whole body.
    :param deadline: local seconds until which the caller waits.
    """

    method: str
    host: str
    path: str
    body: bytes
    deadline: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EntryAnswer:
    """An answer to a caller.

    :param status: HTTP status.
    :param body: JSON.
    :param retry_after: seconds, or ``None`` to leave it out.
    """

    status: Status
    body: bytes = b'{}'
    retry_after: float | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    jobs: int
    read_at: float


def refuse(
    status: Status,
    reason: str,
    retry_after: float | None = None,
) -> EntryAnswer:
    """Return an answer that says why there is no result."""
    return EntryAnswer(status, encode_refusal(reason), retry_after)


class Entry:
    """Answers callers from the leader's memory and the store.

    :param configuration: the operators' configuration.
    :param store: the store.
    :param leader: asks the leader.
    :param log: log of this part.
    """

    def __init__(
        self,
        configuration: ConfigurationFollower,
        store: PlatformStore,
        leader: LeaderClient,
        log: Any,
    ) -> None:
        self._configuration = configuration
        self._store = store
        self._leader = leader
        self._log = log
        self._pending: dict[str, _Pending] = {}

    async def serve(self, request: CallerRequest) -> EntryAnswer:
        """Return the whole answer to a request."""
        current = self._configuration.current
        if current is None:
            return refuse(
                Status.UNAVAILABLE, 'no configuration yet', RETRY_SECONDS
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
            return await self._show(request, name)
        if request.method == 'DELETE':
            return await self._cancel(request, name)
        return refuse(Status.NOT_ALLOWED, 'use POST, GET or DELETE')

    async def _submit(
        self,
        request: CallerRequest,
        route: Route,
        name: str,
    ) -> EntryAnswer:
        try:
            spec = decode_job(name, route, request.body)
            spec = dataclasses.replace(spec, submitted_at=time.time())
        except FieldError as refusal:
            return refuse(Status.INVALID, str(refusal))
        room = await self._leader.ask(
            AskRoom(
                name,
                route.name,
                route.service,
                _count_cores(spec),
                _count_steps(spec),
            ),
        )
        if isinstance(room, Err):
            self._log.info('leader not asked', job=name, reason=room.err_value)
        elif not room.ok_value.accepted:
            return await self._refuse_room(name, room.ok_value.retry_after)
        answer = await self._create(spec, request.deadline)
        self._log.info(
            'submission answered',
            job=name,
            route=route.name,
            status=int(answer.status),
            retry_after=answer.retry_after,
        )
        return answer

    async def _refuse_room(self, name: str, retry: float) -> EntryAnswer:
        """Refuse a job, unless an earlier try of it was stored."""
        found = await self._store.read_key(make_spec_key(name))
        if isinstance(found, Ok) and found.ok_value is not None:
            return EntryAnswer(Status.OK)
        self._log.info('submission refused', job=name, retry_after=retry)
        return refuse(Status.REFUSED, 'the pool is full; not run', retry)

    async def _create(self, spec: JobSpec, deadline: float) -> EntryAnswer:
        key = make_spec_key(spec.job)
        transaction = Transaction(
            (Expectation(key, 0),),
            (Write(key, pack_job(spec)),),
        )
        outcome = await self._write(transaction, deadline)
        if isinstance(outcome, Ok) or isinstance(outcome.err_value, Conflict):
            # The key exists: the same job came before, or this try did.
            return EntryAnswer(Status.OK)
        return _give_up(outcome.err_value)

    async def _write(
        self,
        transaction: Transaction,
        deadline: float,
    ) -> Result[int, CallFault | Conflict]:
        """Try a write until it is settled or the caller's time is up.

        A fault is ``NOT_DONE`` only when no try can have been carried out.
        """
        unsure: CallFault | None = None
        while True:
            answer = await self._store.commit(transaction)
            if isinstance(answer, Ok):
                return answer
            fault = answer.err_value
            if isinstance(fault, Conflict):
                return answer
            if fault.fault is Fault.UNKNOWN:
                unsure = fault
            if read_clock() + RETRY_SECONDS > deadline - ANSWER_MARGIN:
                return Err(unsure or fault)
            await asyncio.sleep(RETRY_SECONDS)

    async def _show(
        self,
        request: CallerRequest,
        name: str,
    ) -> EntryAnswer:
        asked = await self._leader.ask(AskState(name))
        if isinstance(asked, Ok) and asked.ok_value.state:
            return _show_state(JobState(asked.ok_value.state))
        while True:
            stored = await self._read_state(name)
            if isinstance(stored, Ok):
                break
            if read_clock() + RETRY_SECONDS > request.deadline - ANSWER_MARGIN:
                return _give_up(stored.err_value)
            await asyncio.sleep(RETRY_SECONDS)
        if stored.ok_value is None:
            self._log.info('no such job', job=name)
            return refuse(Status.NO_JOB, 'no such job')
        return _show_state(stored.ok_value)

    async def _read_state(
        self,
        name: str,
    ) -> Result[JobState | None, CallFault]:
        """Return a job's state by what the store holds."""
        submitted = await self._read(make_spec_key(name))
        if isinstance(submitted, Err):
            return submitted
        if submitted.ok_value is None:
            return Ok(None)
        progress = await self._read(make_progress_key(name))
        if isinstance(progress, Err):
            return progress
        state = JobState.QUEUED
        if progress.ok_value is not None:
            state = read_packed_state(progress.ok_value.value)
        if state.ended:
            return Ok(state)
        cancel = await self._read(make_cancel_key(name))
        if isinstance(cancel, Err):
            return cancel
        return Ok(JobState.CANCELLED if cancel.ok_value else state)

    async def _read(self, key: str) -> Result[Item | None, CallFault]:
        return await self._store.read_key(key)

    async def _cancel(
        self,
        request: CallerRequest,
        name: str,
    ) -> EntryAnswer:
        submitted = await self._find_submitted(name, request.deadline)
        if isinstance(submitted, Err):
            return _give_up(submitted.err_value)
        if submitted.ok_value is None:
            return refuse(Status.NO_JOB, 'no such job')
        key = make_cancel_key(name)
        transaction = Transaction(
            (Expectation(key, 0),),
            (Write(key, b''),),
        )
        outcome = await self._write(transaction, request.deadline)
        self._log.info('cancel answered', job=name, stored=outcome.is_ok())
        if isinstance(outcome, Ok) or isinstance(outcome.err_value, Conflict):
            return EntryAnswer(Status.OK)
        return _give_up(outcome.err_value)

    async def _find_submitted(
        self,
        name: str,
        deadline: float,
    ) -> Result[Item | None, CallFault]:
        while True:
            found = await self._read(make_spec_key(name))
            late = read_clock() + RETRY_SECONDS > deadline - ANSWER_MARGIN
            if isinstance(found, Ok) or late:
                return found
            await asyncio.sleep(RETRY_SECONDS)

    async def _count_pending(self, route: Route) -> EntryAnswer:
        asked = await self._leader.ask(AskPending(route.name))
        now = read_clock()
        if isinstance(asked, Ok):
            self._pending[route.name] = _Pending(asked.ok_value.pending, now)
        known = self._pending.get(route.name)
        if known is None or now - known.read_at > PENDING_SECONDS:
            self._log.info('pending not known', route=route.name)
            return refuse(
                Status.UNAVAILABLE, 'the leader is away', AWAY_RETRY_SECONDS
            )
        return EntryAnswer(Status.OK, encode_pending(known.jobs))


def _show_state(state: JobState) -> EntryAnswer:
    return EntryAnswer(Status.OK, encode_state(state))


def _give_up(fault: CallFault | Conflict) -> EntryAnswer:
    if isinstance(fault, CallFault) and fault.fault is not Fault.UNKNOWN:
        return refuse(
            Status.UNAVAILABLE,
            'the store is away; not run',
            AWAY_RETRY_SECONDS,
        )
    return refuse(Status.TIMEOUT, 'not known whether it was stored')


def _count_cores(spec: JobSpec) -> float:
    """Return the cores of all tasks together, but for what lasts."""
    return sum(
        step.count * step.size.cpu / _MILLI
        for step in spec.steps
        if not step.long_running
    )


def _count_steps(spec: JobSpec) -> int:
    """Return the number of steps in the longest chain."""
    depths: list[int] = []
    for step in spec.steps:
        before = (depths[number] for number in step.after)
        depths.append(1 + max(before, default=0))
    return max(depths)
