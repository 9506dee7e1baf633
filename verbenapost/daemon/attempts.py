"""Attempts of one request: slot, claim, target, and whether to try again."""

from collections.abc import Iterator

from result import Err, Ok

from verbenapost.coordination.retries import RetryBudget
from verbenapost.daemon.entryparts import EntryParts
from verbenapost.daemon.outcomes import (
    classify_run,
    correct_outcome,
    is_not_run,
    is_server_error,
    is_target_fault,
)
from verbenapost.daemon.requestcontext import (
    MAX_ATTEMPTS,
    AnswerResult,
    RequestContext,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.slots import GrantSlot, RunOutcome, SlotRequest
from verbenapost.protocol.targets import TargetRequest

_LEAVING_DETAIL = 'The target gets no new work.'


class AttemptRunner:
    """Runs a request on one target after another until its outcome is known.

    :param parts: dependencies of the entry.
    :param numbers: numbers of slot requests, each given once in the life of
        the process.
    """

    def __init__(self, parts: EntryParts, numbers: Iterator[int]) -> None:
        self._parts = parts
        self._numbers = numbers
        self._budget = RetryBudget()

    async def run(self, context: RequestContext) -> AnswerResult:
        """Return the outcome of a request after all of its attempts.

        :param context: state of the request, updated by each attempt.
        """
        self._budget.add_request()
        outcome: AnswerResult | None = None
        try:
            outcome = await self._attempt_all(context)
        finally:
            if outcome is None:
                self._parts.claimer.abandon(context)
        outcome = correct_outcome(context, outcome)
        if context.claimed:
            self._parts.claimer.record(context, outcome)
        return outcome

    async def _attempt_all(self, context: RequestContext) -> AnswerResult:
        while True:
            outcome = await self._attempt(context)
            if isinstance(outcome, Ok) and not is_server_error(outcome):
                return outcome
            if not self._may_retry(context, outcome):
                return outcome
            self._parts.metrics.retries.add(context.request.service)

    async def _attempt(self, context: RequestContext) -> AnswerResult:
        context.attempts += 1
        context.sent = False
        if context.needs_claim and not context.claimed:
            await self._parts.claimer.wait_for_capacity(context)
        slot_request = self._make_slot_request(context)
        slot = await self._parts.slot_client.acquire(slot_request)
        if isinstance(slot, Err):
            return slot
        self._parts.metrics.grants.add(context.request.service)
        run_outcome = RunOutcome.CANCELLED
        started = self._parts.clock()
        try:
            outcome = await self._use_slot(context, slot.ok_value)
            # A stored answer to an earlier run says nothing about the target.
            used_target = context.sent or isinstance(outcome, Err)
            run_outcome = classify_run(outcome) if used_target else run_outcome
        finally:
            run_time = self._parts.clock() - started
            self._parts.slot_client.release(
                slot_request.slot_request_id, run_outcome, run_time
            )
        context.avoid = (*context.avoid, slot.ok_value.target)
        return outcome

    async def _use_slot(
        self, context: RequestContext, grant: GrantSlot
    ) -> AnswerResult:
        # A queue owner that was paused may grant slots from outdated state.
        if self._parts.is_leaving(grant.target):
            return Err(Failure(ErrorKind.TARGET_REFUSED, _LEAVING_DETAIL))
        if context.needs_claim and not context.claimed:
            claim = await self._parts.claimer.claim(context)
            if isinstance(claim, Err):
                return claim
            if claim.ok_value is not None:
                return Ok(claim.ok_value)
            context.claimed = True
        outcome = await self._send(context, grant)
        context.may_have_run = context.may_have_run or not is_not_run(outcome)
        context.answered = context.answered or isinstance(outcome, Ok)
        return outcome

    async def _send(
        self, context: RequestContext, grant: GrantSlot
    ) -> AnswerResult:
        remaining = context.deadline - self._parts.clock()
        if remaining <= 0:
            return Err(Failure(ErrorKind.DEADLINE_EXCEEDED))
        context.sent = True
        return await self._parts.targets.send(
            TargetRequest(
                address=grant.address,
                method=context.received.method,
                path=context.request.path,
                request_id=context.request_id,
                headers=context.headers,
                content=context.received.content,
                timeout=remaining,
            )
        )

    def _make_slot_request(self, context: RequestContext) -> SlotRequest:
        number = next(self._numbers)
        return SlotRequest(
            slot_request_id=f'{self._parts.incarnation}-{number}',
            service=context.request.service,
            team=context.team,
            kind=context.route_policy.kind,
            urgency=context.request.priority.urgency,
            deadline_in=max(0, context.deadline - self._parts.clock()),
            idempotent=context.route_policy.idempotent,
            avoid=context.avoid,
            entry=self._parts.name,
            job=context.request_id,
        )

    def _may_retry(
        self, context: RequestContext, outcome: AnswerResult
    ) -> bool:
        if context.attempts >= MAX_ATTEMPTS:
            return False
        if self._parts.clock() >= context.deadline:
            return False
        if isinstance(outcome, Err) and not is_target_fault(outcome):
            return False
        if not context.route_policy.idempotent and not is_not_run(outcome):
            return False
        return self._budget.take()
