"""Submissions and cancels of jobs, as entries write them to the store.

Load pattern: the store loses answers and carries some writes out seconds later.
A caller without an answer to its submission withdraws the job, at any daemon,
while the submission is still on its way.
"""

from typing import Any

from result import Err, Ok

from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    ExpectedRevision,
    KeyValue,
    Transaction,
    TransactionConflict,
    Write,
)
from verbenapost.scheduler.answers import (
    EntryAnswer,
    Status,
    refuse,
    refuse_fault,
)
from verbenapost.scheduler.authentication import Caller, refuse_other_tenant
from verbenapost.scheduler.keys import make_cancel_key, make_spec_key
from verbenapost.scheduler.retries import RetryingStore
from verbenapost.state.submissions import pack_job
from verbenapost.state.workloads import JobSpec


class Submissions:
    """Writes submissions and cancels, of which either may be late.

    Explanation
    ===========

    A submission expects that there is no cancel of the job. A cancel that finds
    no submission is stored as well, so that a submission that the store carries
    out later has no effect. The job counts as withdrawn then, until the mark is
    removed after the retention time of ended jobs.

    :param store: the store.
    :param retrying: the same store, with retries while the caller waits.
    :param log: logger.
    """

    def __init__(
        self, store: PlatformStore, retrying: RetryingStore, log: Any
    ) -> None:
        self._store = store
        self._retrying = retrying
        self._log = log

    async def submit(
        self, spec: JobSpec, caller: Caller, deadline: float
    ) -> EntryAnswer:
        """Store a job unless it is stored or withdrawn already.

        :param spec: the job.
        :param caller: who submits it.
        :param deadline: local clock in seconds until which the caller waits.
        """
        key = make_spec_key(spec.job)
        transaction = Transaction(
            (
                ExpectedRevision(key, 0),
                ExpectedRevision(make_cancel_key(spec.job), 0),
            ),
            (Write(key, pack_job(spec)),),
        )
        outcome = await self._retrying.write(transaction, deadline)
        if isinstance(outcome, Ok):
            return EntryAnswer(Status.OK)
        fault = outcome.err_value
        if isinstance(fault, CallFault):
            return refuse_fault(fault)
        stored = _find_item(fault, key)
        if stored is not None:
            if not caller.may_use_stored(stored.value):
                return refuse_other_tenant(spec.job, caller, self._log)
            # From an earlier submission of the job or attempt of this one.
            return EntryAnswer(Status.OK)
        if not _may_use_mark(caller, spec.job, fault):
            return refuse_other_tenant(spec.job, caller, self._log)
        return refuse(Status.NO_JOB, 'the job was withdrawn; it never runs')

    async def cancel(
        self, name: str, caller: Caller, deadline: float
    ) -> EntryAnswer:
        """Cancel a job, or withdraw one that is not stored.

        :param name: identity of the job.
        :param caller: who cancels it.
        :param deadline: local clock in seconds until which the caller waits.
        """
        key = make_spec_key(name)
        found = await self._retrying.read(
            lambda: self._store.read_key(key), deadline
        )
        if isinstance(found, Err):
            return refuse_fault(found.err_value)
        if found.ok_value is not None:
            return await self._cancel_stored(
                name, found.ok_value, caller, deadline
            )
        return await self._withdraw(name, caller, deadline)

    async def _cancel_stored(
        self, name: str, spec: KeyValue, caller: Caller, deadline: float
    ) -> EntryAnswer:
        if not caller.may_use_stored(spec.value):
            return refuse_other_tenant(name, caller, self._log)
        # A cancel that is carried out late must not reach a job that is
        # submitted under this identity once this one has been removed.
        transaction = _make_cancel(name, spec.revision)
        outcome = await self._retrying.write(transaction, deadline)
        self._log.info('cancel answered', job=name, stored=outcome.is_ok())
        if isinstance(outcome, Ok):
            return EntryAnswer(Status.OK)
        fault = outcome.err_value
        if isinstance(fault, CallFault):
            return refuse_fault(fault)
        # The job has been cancelled before or has ended, unless it is gone.
        if fault.items:
            return EntryAnswer(Status.OK)
        return refuse(Status.NO_JOB, 'no such job')

    async def _withdraw(
        self, name: str, caller: Caller, deadline: float
    ) -> EntryAnswer:
        transaction = _make_cancel(name, 0, caller.withdrawal_mark)
        outcome = await self._retrying.write(transaction, deadline)
        self._log.info(
            'job withdrawn',
            job=name,
            tenant=caller.tenant_name,
            stored=outcome.is_ok(),
        )
        if isinstance(outcome, Err):
            fault = outcome.err_value
            if isinstance(fault, CallFault):
                return refuse_fault(fault)
            submitted = _find_item(fault, make_spec_key(name))
            if submitted is not None:
                # It was stored after it had been looked for.
                return await self._cancel_stored(
                    name, submitted, caller, deadline
                )
            if not _may_use_mark(caller, name, fault):
                return refuse_other_tenant(name, caller, self._log)
        return refuse(Status.NO_JOB, 'no such job; it never runs')


def _make_cancel(
    name: str, spec_revision: int, mark: bytes = b''
) -> Transaction:
    key = make_cancel_key(name)
    return Transaction(
        (
            ExpectedRevision(key, 0),
            ExpectedRevision(make_spec_key(name), spec_revision),
        ),
        (Write(key, mark),),
    )


def _may_use_mark(
    caller: Caller, name: str, conflict: TransactionConflict
) -> bool:
    """Return whether a caller may see that a job was withdrawn."""
    mark = _find_item(conflict, make_cancel_key(name))
    return mark is None or caller.may_use_mark(mark.value)


def _find_item(conflict: TransactionConflict, key: str) -> KeyValue | None:
    return next((item for item in conflict.items if item.key == key), None)
