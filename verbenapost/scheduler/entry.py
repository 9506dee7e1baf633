"""Handling of callers' requests."""

import asyncio
import dataclasses
import random
from typing import Any, Final, final

from result import Err, Ok

from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.coordination.scheduling.quotas import may_job_start
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.authorization import AuthenticationFault
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.submissions import (
    encode_pending,
    is_job_id,
)
from verbenapost.scheduler.admissionrequests import make_admission_request
from verbenapost.scheduler.answers import (
    UNAVAILABLE_RETRY_SECONDS,
    EntryAnswer,
    EntryRequest,
    Status,
    refuse,
)
from verbenapost.scheduler.authentication import (
    Authenticator,
    Caller,
    refuse_other_tenant,
    refuse_unauthenticated,
)
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.decoding import JobDecoder
from verbenapost.scheduler.jobstates import JobStates
from verbenapost.scheduler.keys import make_spec_key
from verbenapost.scheduler.messages import PendingRequest
from verbenapost.scheduler.peers import LeaderClient
from verbenapost.scheduler.retries import RetryingStore
from verbenapost.scheduler.submissions import Submissions
from verbenapost.state.workloads import JobSpec, Route

#: Seconds after which a caller may retry at a daemon that has no configuration
#: yet.
UNCONFIGURED_RETRY: Final = 0.15

#: Seconds for which a count of pending jobs may be reused.
PENDING_CACHE_SECONDS: Final = 1.5


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
        retrying = RetryingStore(store, outage_detector)
        self._submissions = Submissions(store, retrying, log)
        self._states = JobStates(leader, store, retrying, log)
        self._authenticator = Authenticator()
        self._log = log
        self._decoder = JobDecoder()
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
        caller = self._authenticator.identify(
            request.authorization, current, route
        )
        if isinstance(caller, Err):
            return self._refuse_caller(request, route, caller.err_value)
        if request.body is None:
            return refuse(Status.TOO_LARGE, 'the body is too large')
        return await self._serve_route(
            request, request.body, route, caller.ok_value
        )

    async def _serve_route(
        self, request: EntryRequest, body: bytes, route: Route, caller: Caller
    ) -> EntryAnswer:
        name = request.path.removeprefix(route.prefix)
        if not name and request.method == 'GET':
            return await self._count_pending(route)
        if not is_job_id(name):
            return refuse(Status.INVALID, 'the job is not 16 hex digits')
        if request.method == 'POST':
            decoded = await self._decoder.decode(name, route, body, caller)
            if isinstance(decoded, Err):
                return refuse(Status.INVALID, str(decoded.err_value))
            return await self._submit(
                decoded.ok_value, caller, request.deadline
            )
        if request.method == 'GET':
            return await self._states.answer(name, caller, request.deadline)
        if request.method == 'DELETE':
            return await self._submissions.cancel(
                name, caller, request.deadline
            )
        return refuse(Status.NOT_ALLOWED, 'use POST, GET or DELETE')

    def _refuse_caller(
        self, request: EntryRequest, route: Route, fault: AuthenticationFault
    ) -> EntryAnswer:
        name = request.path.removeprefix(route.prefix)
        self._log.info(
            'caller not authenticated',
            job=name if is_job_id(name) else '',
            route=route.name,
            method=request.method,
            reason=fault.value,
        )
        return refuse_unauthenticated(fault)

    async def _submit(
        self, spec: JobSpec, caller: Caller, deadline: float
    ) -> EntryAnswer:
        name = spec.job
        if self._outage_detector.is_unavailable(read_clock()):
            return self._refuse_unavailable(name)
        if spec.tenant is not None and not may_job_start(spec, spec.tenant.cap):
            return await self._refuse_unstored(
                name, caller, 'a gang exceeds the cap of its tenant; not run'
            )
        admission = await self._leader.ask(make_admission_request(spec))
        # A leader that does not answer may have lost its lease with the store.
        suspect = True
        if isinstance(admission, Err):
            self._log.info(
                'admission request failed', job=name, reason=admission.err_value
            )
        elif admission.ok_value.accepted:
            suspect = admission.ok_value.store_suspect
        else:
            return await self._refuse_unstored(
                name,
                caller,
                'the pool is full; not run',
                admission.ok_value.retry_after,
            )
        if not await self._reaches_store(suspect=suspect):
            return self._refuse_unavailable(name)
        answer = await self._submissions.submit(spec, caller, deadline)
        if answer.status is Status.UNAVAILABLE:
            return self._refuse_unavailable(name)
        self._log.info(
            'submission answered',
            job=name,
            route=spec.route,
            tenant=caller.tenant_name,
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

    async def _refuse_unstored(
        self,
        name: str,
        caller: Caller,
        reason: str,
        retry: float | None = None,
    ) -> EntryAnswer:
        """Refuse a job unless an earlier attempt may have stored it."""
        found = await self._store.read_key(make_spec_key(name))
        if isinstance(found, Err):
            return refuse(Status.TIMEOUT, 'not known whether it was stored')
        if found.ok_value is not None:
            if not caller.may_use_stored(found.ok_value.value):
                return refuse_other_tenant(name, caller, self._log)
            return EntryAnswer(Status.OK)
        self._log.info('submission refused', job=name, retry_after=retry)
        return refuse(Status.REFUSED, reason, retry)

    async def _count_pending(self, route: Route) -> EntryAnswer:
        asked = await self._leader.ask(PendingRequest(route.name))
        now = read_clock()
        if isinstance(asked, Ok) and asked.ok_value.known:
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
