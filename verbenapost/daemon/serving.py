"""Processing of callers' requests: slot, claim, target, answer."""

import dataclasses
import itertools
from collections.abc import Callable
from typing import Protocol, final

from result import Err, Ok, Result

from verbenapost.coordination.retries import RetryBudget
from verbenapost.coordination.routes import RoutePolicy, find_route_policy
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.slots import AsyncSlotClient
from verbenapost.protocol.callers import CallerAnswer, ReceivedRequest
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.requests import CallerRequest, parse_caller_request
from verbenapost.protocol.slots import GrantSlot, RunOutcome, SlotRequest
from verbenapost.protocol.targets import (
    Headers,
    TargetAnswer,
    TargetRequest,
    select_headers,
)
from verbenapost.state.configuration import ConfigurationView
from verbenapost.transport.callers import make_failure_answer
from verbenapost.transport.targets import TargetClient

#: Lowest HTTP status that counts as a failure of the target.
FIRST_SERVER_ERROR = 500

#: Largest number of attempts of one request, on distinct targets.
MAX_ATTEMPTS = 3

_LEAVING_DETAIL = 'The target gets no new work.'

#: First path segment of job requests, below the service.
JOBS_SEGMENT = '/jobs/'

Clock = Callable[[], float]
AnswerResult = Result[TargetAnswer, Failure]


def is_job_path(path: str) -> bool:
    """Return whether a decoded path below a service is a job path.

    Examples
    ========

    >>> is_job_path('/jobs/reports'), is_job_path('/jobsheet')
    (True, False)
    """
    return f'{path}/'.startswith(JOBS_SEGMENT)


class TeamFinder(Protocol):
    """Finds the team of a caller."""

    def find_team(self, request: CallerRequest) -> Result[str, Failure]:
        """Return the team, or a failure that refuses the request."""


class Claimer(Protocol):
    """Ensures that a request with an idempotency key runs at most once."""

    async def wait_for_capacity(self, context: 'RequestContext') -> None:
        """Wait while too many requests have pending claims."""

    async def claim(
        self,
        context: 'RequestContext',
    ) -> Result[TargetAnswer | None, Failure]:
        """Claim the key of a request.

        :returns: the stored answer when the request has already run, or
            ``None`` when the key was granted.
        """

    def record(self, context: 'RequestContext', outcome: AnswerResult) -> None:
        """Record the outcome of a claimed request."""

    def abandon(self, context: 'RequestContext') -> None:
        """Drop the claim of a request whose outcome is unknown."""


class JobHandler(Protocol):
    """Answers requests that submit, show or cancel accepted jobs."""

    async def serve(self, context: 'RequestContext') -> AnswerResult:
        """Return the answer to a job request."""


@final
@dataclasses.dataclass(slots=True)
class RequestContext:
    """State of one request while the entry processes it.

    :param request: parsed and checked request.
    :param received: request as received.
    :param request_id: identity for targets, logs and the caller.
    :param team: team of the caller.
    :param route_policy: settings of the request's route.
    :param deadline: monotonic seconds at which the caller stops waiting.
    :param headers: headers for the target.
    :param claimed: whether the key is claimed for this request.
    :param sent: whether the current attempt was sent to its target.
    :param may_have_run: whether a target may have acted on the request.
    :param answered: whether a target gave a complete answer, even an error.
    :param attempts: number of attempts so far.
    :param avoid: targets of earlier attempts.
    """

    request: CallerRequest
    received: ReceivedRequest
    request_id: str
    team: str
    route_policy: RoutePolicy
    deadline: float
    headers: Headers = ()
    claimed: bool = False
    sent: bool = False
    may_have_run: bool = False
    answered: bool = False
    attempts: int = 0
    avoid: tuple[str, ...] = ()

    @property
    def needs_claim(self) -> bool:
        """Whether the key must be claimed before the request is sent."""
        return bool(self.request.key) and not self.route_policy.idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class EntryParts:
    """Dependencies of an entry server.

    :param name: name of the daemon.
    :param incarnation: random identifier chosen at each process start.
    :param slot_client: acquires and releases slots.
    :param targets: sends requests to targets.
    :param teams: finds the teams of callers.
    :param claimer: claims idempotency keys.
    :param metrics: metrics to update.
    :param clock: returns monotonic seconds.
    :param is_leaving: returns whether this daemon knows that a target gets no
        new work.
    :param jobs: answers job requests; with ``None``, job paths go to targets.
    """

    name: str
    incarnation: str
    slot_client: AsyncSlotClient
    targets: TargetClient
    teams: TeamFinder
    claimer: Claimer
    metrics: Metrics
    clock: Clock
    is_leaving: Callable[[str], bool]
    jobs: JobHandler | None = None


class EntryServer:
    """Processes callers' requests and returns complete answers."""

    def __init__(self, parts: EntryParts) -> None:
        self.closing = False
        self.accepting = True
        self.accepts_work: Callable[[], bool] = _accept_always
        self.view = ConfigurationView()
        self._parts = parts
        self._budget = RetryBudget()
        self._numbers = itertools.count(1)

    async def serve(self, request: ReceivedRequest) -> CallerAnswer:
        """Process a request and return its complete answer."""
        request_id = self._make_request_id()
        outcome = self._admit(request, request_id)
        if isinstance(outcome, Err):
            return self._answer_failure('', outcome.err_value, request_id)
        context = outcome.ok_value
        answer = await self._dispatch(context)
        service = context.request.service
        if isinstance(answer, Err):
            return self._answer_failure(service, answer.err_value, request_id)
        return self._answer_success(service, answer.ok_value, request_id)

    def _admit(
        self,
        received: ReceivedRequest,
        request_id: str,
    ) -> Result[RequestContext, Failure]:
        if not (self.accepting and self.accepts_work()):
            return Err(Failure(ErrorKind.NOT_READY))
        parsed = parse_caller_request(
            received.method,
            received.path,
            received.headers,
        )
        if isinstance(parsed, Err):
            return parsed
        request = parsed.ok_value
        team = self._parts.teams.find_team(request)
        if isinstance(team, Err):
            return team
        owned = self.view.services.get(request.service)
        if owned is None:
            detail = f'There is no service {request.service}.'
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        return Ok(
            RequestContext(
                request=request,
                received=received,
                request_id=request_id,
                team=team.ok_value,
                route_policy=find_route_policy(
                    owned.spec,
                    request.method,
                    request.route_path,
                ),
                deadline=self._parts.clock() + request.timeout,
                headers=select_headers(received.headers),
            )
        )

    async def _dispatch(self, context: RequestContext) -> AnswerResult:
        jobs = self._parts.jobs
        if jobs is not None and is_job_path(context.request.route_path):
            return await jobs.serve(context)
        self._budget.add_request()
        return await self._run(context)

    async def _run(self, context: RequestContext) -> AnswerResult:
        outcome: AnswerResult | None = None
        try:
            outcome = await self._attempt_all(context)
        finally:
            if outcome is None:
                self._parts.claimer.abandon(context)
        outcome = _correct_outcome(context, outcome)
        if context.claimed:
            self._parts.claimer.record(context, outcome)
        return outcome

    async def _attempt_all(self, context: RequestContext) -> AnswerResult:
        while True:
            outcome = await self._attempt(context)
            if isinstance(outcome, Ok) and not _is_server_error(outcome):
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
            run_outcome = _classify_run(outcome) if used_target else run_outcome
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
        context.may_have_run = context.may_have_run or not _is_not_run(outcome)
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
        if isinstance(outcome, Err) and not _is_target_fault(outcome):
            return False
        if not context.route_policy.idempotent and not _is_not_run(outcome):
            return False
        return self._budget.take()

    def _make_request_id(self) -> str:
        return f'{self._parts.incarnation}-r{next(self._numbers)}'

    def _answer_failure(
        self,
        service: str,
        failure: Failure,
        request_id: str,
    ) -> CallerAnswer:
        answer = make_failure_answer(failure, request_id)
        metrics = self._parts.metrics
        metrics.refusals.add(failure.kind.value)
        metrics.requests.add(service, str(answer.status))
        return answer

    def _answer_success(
        self,
        service: str,
        answer: TargetAnswer,
        request_id: str,
    ) -> CallerAnswer:
        headers = [
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in answer.headers
            if name.lower() != 'x-request-id'
        ]
        headers.append((b'x-request-id', request_id.encode()))
        self._parts.metrics.requests.add(service, str(answer.status))
        return CallerAnswer(answer.status, headers, answer.content)


def _accept_always() -> bool:
    """Accept work by default, until the membership check is set."""
    return True


def _correct_outcome(
    context: RequestContext, outcome: AnswerResult
) -> AnswerResult:
    """Return the outcome of the last attempt, corrected for all attempts.

    If an earlier attempt may have run, the request must not be reported as
    not run.
    """
    if isinstance(outcome, Ok) or not context.may_have_run:
        return outcome
    failure = outcome.err_value
    known = failure.outcome
    if _is_unable_to_run(context, failure):
        failure = Failure(ErrorKind.UNABLE_TO_RUN)
        known = Outcome.RAN if context.answered else Outcome.UNKNOWN
    if known is Outcome.NOT_RUN:
        known = Outcome.UNKNOWN
    return Err(dataclasses.replace(failure, known_outcome=known))


def _is_unable_to_run(context: RequestContext, failure: Failure) -> bool:
    """Return whether the request failed on as many targets as allowed."""
    if failure.kind is ErrorKind.UNABLE_TO_RUN:
        return True
    failed = failure.kind is ErrorKind.TARGET_FAILED
    return failed and len(set(context.avoid)) >= MAX_ATTEMPTS


def _is_server_error(outcome: Ok[TargetAnswer]) -> bool:
    return outcome.ok_value.status >= FIRST_SERVER_ERROR


def _is_target_fault(outcome: Err[Failure]) -> bool:
    return outcome.err_value.kind in {
        ErrorKind.TARGET_FAILED,
        ErrorKind.TARGET_REFUSED,
    }


def _is_not_run(outcome: AnswerResult) -> bool:
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.outcome is Outcome.NOT_RUN


def _classify_run(outcome: AnswerResult) -> RunOutcome:
    if isinstance(outcome, Ok):
        failed = _is_server_error(outcome)
        return RunOutcome.FAILED if failed else RunOutcome.OK
    kind = outcome.err_value.kind
    if kind is ErrorKind.TARGET_REFUSED:
        return RunOutcome.REFUSED
    if kind is ErrorKind.TARGET_FAILED:
        return RunOutcome.FAILED
    return RunOutcome.CANCELLED
