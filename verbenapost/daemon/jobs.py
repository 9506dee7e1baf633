"""Accepted jobs: caller requests, operator access and owned pools."""

import asyncio
import time
from collections.abc import Callable, Collection, Sequence
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.jobs.entries import EntryResult, make_not_found
from verbenapost.coordination.jobs.owner import JobOwner, OwnerPorts
from verbenapost.coordination.jobs.recordstore import JobRecordStore
from verbenapost.coordination.jobs.transitions import make_cancel
from verbenapost.daemon.entryparts import Claimer
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.requestcontext import AnswerResult, RequestContext
from verbenapost.daemon.submissions import (
    JOBS_SEGMENT,
    add_location,
    make_accepted_answer,
    make_job_answer,
    parse_submission,
)
from verbenapost.protocol.admin import JobStatus
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.jobs import JOBS_PREFIX, JobRecord
from verbenapost.state.vms import VmState

#: States of VMs that accept tasks.
SERVING_STATES = frozenset((VmState.IN_SERVICE,))

#: States of leaving VMs, whose tasks must end or move.
LEAVING_STATES = frozenset((VmState.DRAINING, VmState.IN_MAINTENANCE))

FindOwner = Callable[[str], str | None]


@final
class JobHost:
    """Runs a job owner for each pool that this daemon owns.

    :param name: name of this daemon.
    :param incarnation: random identifier chosen at each process start.
    :param ports: dependencies of the job owners.
    :param configuration: configuration in force.
    :param directory: current VM records.
    :param find_owner: returns the owner of a role.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        ports: OwnerPorts,
        configuration: ConfigurationService,
        directory: VmDirectory,
        find_owner: FindOwner,
    ) -> None:
        self.record_store = ports.record_store
        self._name = name
        self._incarnation = incarnation
        self._ports = ports
        self._configuration = configuration
        self._directory = directory
        self._find_owner = find_owner
        self._owners: dict[str, JobOwner] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._log = make_logger('jobs')

    @property
    def pools(self) -> Sequence[str]:
        """Pools whose jobs this daemon owns."""
        return sorted(self._owners)

    def reconcile(self) -> None:
        """Start owners of newly assigned pools and close those of lost ones.

        A pool is lost when another member has become its owner or when the
        configuration no longer names the pool.
        """
        pools = self._configuration.view.pools
        owned = {
            pool
            for pool in pools
            if self._find_owner(f'jobs/{pool}') == self._name
        }
        for lost in set(self._owners) - owned:
            self.close(lost)
        for gained in owned - set(self._owners):
            self._start_owner(gained)
        self.configure()

    def configure(self) -> None:
        """Pass the serving and the leaving VMs of each pool to its owner."""
        for pool, owner in self._owners.items():
            serving = self._list_vms(pool, SERVING_STATES)
            owner.configure(serving, self._list_vms(pool, LEAVING_STATES))

    def close(self, pool: str) -> None:
        """Stop the job owner of a pool."""
        self._owners.pop(pool)
        self._tasks.pop(pool).cancel()
        self._log.info('job ownership released', pool=pool)

    def close_all(self) -> None:
        """Stop the job owners of all pools."""
        for pool in tuple(self._owners):
            self.close(pool)

    def _list_vms(
        self,
        pool: str,
        states: Collection[VmState],
    ) -> dict[str, str]:
        records = [known.record for known in self._directory.vms.values()]
        return {
            record.name: record.address
            for record in records
            if record.pool == pool and record.state in states
        }

    def _start_owner(self, pool: str) -> None:
        owner = JobOwner(self._ports, pool, self._incarnation)
        self._owners[pool] = owner
        self._tasks[pool] = asyncio.create_task(owner.run())
        self._log.info('job ownership acquired', pool=pool)


@final
class JobRequestHandler:
    """Answers callers' requests to submit, show and cancel jobs.

    :param record_store: reads and writes job records.
    :param claimer: prevents a repeated key from submitting a second job.
    :param configuration: configuration in force.
    """

    def __init__(
        self,
        record_store: JobRecordStore,
        claimer: Claimer,
        configuration: ConfigurationService,
    ) -> None:
        self._record_store = record_store
        self._claimer = claimer
        self._configuration = configuration

    async def serve(self, context: RequestContext) -> AnswerResult:
        """Answer a request about jobs."""
        match context.request.method:
            case 'POST':
                return await self._submit(context)
            case 'GET':
                return (await self._load(context)).map(make_job_answer)
            case 'DELETE':
                return await self._cancel(context)
        detail = 'Jobs take POST, GET and DELETE.'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))

    async def _submit(self, context: RequestContext) -> AnswerResult:
        service = context.request.service
        owned = self._configuration.view.services[service]
        record = parse_submission(context, owned, time.time())
        if isinstance(record, Err):
            return record
        if not context.request.key:
            return await self._store(record.ok_value)
        claim = await self._claimer.claim(context)
        if isinstance(claim, Err):
            return await self._find_repeated_job(record.ok_value, claim)
        if claim.ok_value is not None:
            return Ok(add_location(service, claim.ok_value))
        return await self._store_claimed(context, record.ok_value)

    async def _store_claimed(
        self, context: RequestContext, record: JobRecord
    ) -> AnswerResult:
        outcome: AnswerResult | None = None
        try:
            outcome = await self._store(record)
        finally:
            if outcome is None:
                self._claimer.abandon(context)
            else:
                self._claimer.record(context, outcome)
        return outcome

    async def _store(self, record: JobRecord) -> AnswerResult:
        stored = await self._record_store.submit(record)
        return stored.map(lambda entry: make_accepted_answer(entry.record))

    async def _find_repeated_job(
        self,
        record: JobRecord,
        refusal: Err[Failure],
    ) -> AnswerResult:
        """Find the job of a key whose answer is no longer stored."""
        if refusal.err_value.kind is not ErrorKind.ALREADY_CLAIMED:
            return refusal
        prefix = f'{JOBS_PREFIX}{record.pool}/'
        listed = await self._record_store.list_pool(prefix)
        if isinstance(listed, Ok):
            for known in listed.ok_value:
                if (known.team, known.key) == (record.team, record.key):
                    return Ok(make_accepted_answer(known))
        return refusal

    async def _load(
        self, context: RequestContext
    ) -> Result[JobRecord, Failure]:
        identity = context.request.route_path.removeprefix(JOBS_SEGMENT)
        found = await find_job(
            self._record_store, self._configuration, identity
        )
        if isinstance(found, Err):
            return found
        record = found.ok_value.record
        if (record.team, record.service) != (
            context.team,
            context.request.service,
        ):
            return Err(make_not_found(identity))
        return Ok(record)

    async def _cancel(self, context: RequestContext) -> AnswerResult:
        loaded = await self._load(context)
        if isinstance(loaded, Err):
            return loaded
        record = loaded.ok_value
        step = make_cancel(f'team {context.team}', time.time())
        changed = await self._record_store.change(record.pool, record.job, step)
        return changed.map(lambda entry: make_job_answer(entry.record))


@final
class JobAdmin:
    """Shows jobs to operators and cancels jobs for them.

    :param record_store: reads and writes job records.
    :param configuration: configuration in force.
    """

    def __init__(
        self,
        record_store: JobRecordStore,
        configuration: ConfigurationService,
    ) -> None:
        self._record_store = record_store
        self._configuration = configuration

    async def list_jobs(self) -> Result[Sequence[JobStatus], Failure]:
        """Return unfinished and recently finished jobs."""
        listed = await self._record_store.list_pool(JOBS_PREFIX)
        return listed.map(lambda records: tuple(map(_make_status, records)))

    async def load_job(self, job: str) -> Result[JobStatus, Failure]:
        """Return one job."""
        found = await find_job(self._record_store, self._configuration, job)
        return found.map(lambda entry: _make_status(entry.record))

    async def cancel_job(
        self,
        job: str,
        operator: str,
    ) -> Result[JobStatus, Failure]:
        """Cancel a job and return its new state."""
        found = await find_job(self._record_store, self._configuration, job)
        if isinstance(found, Err):
            return found
        pool = found.ok_value.record.pool
        step = make_cancel(f'operator {operator}', time.time())
        changed = await self._record_store.change(pool, job, step)
        return changed.map(lambda entry: _make_status(entry.record))


async def find_job(
    record_store: JobRecordStore,
    configuration: ConfigurationService,
    job: str,
) -> EntryResult:
    """Search all pools for a job and return its entry."""
    for pool in configuration.view.pools:
        found = await record_store.load(pool, job)
        if isinstance(found, Ok):
            return found
        if found.err_value.kind is not ErrorKind.NOT_FOUND:
            return found
    return Err(make_not_found(job))


def _make_status(record: JobRecord) -> JobStatus:
    return JobStatus(
        job=record.job,
        team=record.team,
        pool=record.pool,
        state=record.state.value,
        urgency=record.urgency,
        attempt=record.attempt,
        vm=record.vm,
        submitted_at=record.submitted_at,
        detail=record.detail,
    )
