"""States of jobs for their callers, from the leader or from the store."""

from typing import Any

from result import Err, Ok, Result

from verbenapost.coordination.scheduling.jobprogress import read_packed_state
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.submissions import encode_state
from verbenapost.protocol.orders import CallFault
from verbenapost.scheduler.answers import (
    EntryAnswer,
    Status,
    refuse,
    refuse_fault,
)
from verbenapost.scheduler.authentication import Caller, refuse_other_tenant
from verbenapost.scheduler.keys import (
    make_cancel_key,
    make_progress_key,
    make_spec_key,
)
from verbenapost.scheduler.messages import StateRequest
from verbenapost.scheduler.peers import LeaderClient
from verbenapost.scheduler.retries import RetryingStore
from verbenapost.state.workloads import CallerJobState


class JobStates:
    """Answers questions for the state of a job.

    :param leader: client of the leader.
    :param store: the store.
    :param retrying: the same store, with retries while the caller waits.
    :param log: logger.
    """

    def __init__(
        self,
        leader: LeaderClient,
        store: PlatformStore,
        retrying: RetryingStore,
        log: Any,
    ) -> None:
        self._leader = leader
        self._store = store
        self._retrying = retrying
        self._log = log

    async def answer(
        self, name: str, caller: Caller, deadline: float
    ) -> EntryAnswer:
        """Return the answer to a caller that asks for a job's state.

        :param name: identity of the job.
        :param caller: who asks.
        :param deadline: local clock in seconds until which the caller waits.
        """
        asked = await self._leader.ask(StateRequest(name))
        if isinstance(asked, Ok) and asked.ok_value.state:
            if not caller.may_use(asked.ok_value.tenant):
                return refuse_other_tenant(name, caller, self._log)
            return _make_answer(CallerJobState(asked.ok_value.state))
        stored = await self._retrying.read(
            lambda: self._read_answer(name, caller), deadline
        )
        if isinstance(stored, Err):
            return refuse_fault(stored.err_value)
        return stored.ok_value

    async def _read_answer(
        self, name: str, caller: Caller
    ) -> Result[EntryAnswer, CallFault]:
        """Return the answer from what is stored of a job."""
        # In this order, an ended job that is removed meanwhile is not taken
        # for one without progress.
        progress = await self._store.read_key(make_progress_key(name))
        if isinstance(progress, Err):
            return progress
        state = CallerJobState.QUEUED
        if progress.ok_value is not None:
            state = read_packed_state(progress.ok_value.value)
        if state.ended and not caller.checked:
            return Ok(_make_answer(state))
        submitted = await self._store.read_key(make_spec_key(name))
        if isinstance(submitted, Err):
            return submitted
        if submitted.ok_value is None:
            return await self._read_withdrawn(name, caller)
        if not caller.may_use_stored(submitted.ok_value.value):
            return Ok(refuse_other_tenant(name, caller, self._log))
        if state.ended:
            return Ok(_make_answer(state))
        cancel = await self._store.read_key(make_cancel_key(name))
        return cancel.map(
            lambda mark: _make_answer(
                CallerJobState.CANCELLED if mark else state
            )
        )

    async def _read_withdrawn(
        self, name: str, caller: Caller
    ) -> Result[EntryAnswer, CallFault]:
        """Return the answer for a job of which no submission is stored."""
        if caller.checked:
            mark = await self._store.read_key(make_cancel_key(name))
            if isinstance(mark, Err):
                return mark
            found = mark.ok_value
            if found is not None and not caller.may_use_mark(found.value):
                return Ok(refuse_other_tenant(name, caller, self._log))
        self._log.info('no such job', job=name)
        return Ok(refuse(Status.NO_JOB, 'no such job'))


def _make_answer(state: CallerJobState) -> EntryAnswer:
    return EntryAnswer(Status.OK, encode_state(state))
