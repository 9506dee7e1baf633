"""Serves callers' requests: slot, claim, target, answer."""

import dataclasses
import itertools
from collections.abc import Callable
from typing import Protocol, final

from result import Err, Ok, Result

from verbenapost.coordination.retries import RetryBudget
from verbenapost.coordination.routes import Treatment, find_treatment
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.slots import SlotDesk
from verbenapost.protocol.callers import CallerAnswer, ReceivedRequest
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.requests import CallerRequest, parse_caller_request
from verbenapost.protocol.slots import AskSlot, GrantSlot, Verdict
from verbenapost.protocol.targets import (
    Headers,
    TargetAnswer,
    TargetRequest,
    select_headers,
)
from verbenapost.state.configuration import ConfigurationView
from verbenapost.transport.callers import make_answer
from verbenapost.transport.targets import TargetClient

#: Lowest status that counts as a failure of the target.
FIRST_SERVER_ERROR = 500

#: Attempts of one request, on distinct targets.
MAX_ATTEMPTS = 3

_LEAVING = 'The target gets no new work.'
#: First segment below a service of the paths of jobs.
JOBS_SEGMENT = '/jobs/'

Clock = Callable[[], float]
AnswerResult = Result[TargetAnswer, Failure]


def is_job_path(path: str) -> bool:
    """Tell whether a decoded path below a service is about jobs.

    Examples
    ========

    >>> is_job_path('/jobs/reports'), is_job_path('/jobsheet')
    (True, False)
    """
    return f'{path}/'.startswith(JOBS_SEGMENT)


class TeamFinder(Protocol):
    """Tells which team a caller belongs to."""

    def find_team(self, request: CallerRequest) -> Result[str, Failure]:
        """Return the team, or the refusal."""


class Claimer(Protocol):
    """Makes sure that a keyed request runs at most once."""

    async def wait_turn(self, job: 'Job') -> None:
        """Wait while too many slots wait for their claims."""

    async def claim(self, job: 'Job') -> Result[TargetAnswer | None, Failure]:
        """Claim the key; an answer when the request has run before."""

    def record(self, job: 'Job', outcome: AnswerResult) -> None:
        """Record how the claimed request ended."""

    def forget(self, job: 'Job') -> None:
        """Leave the outcome unknown."""


class Entrance(Protocol):
    """Serves the requests that are about accepted jobs."""

    async def serve(self, job: 'Job') -> AnswerResult:
        """Return the answer of a request about jobs."""


@final
@dataclasses.dataclass(slots=True)
class Job:
    """A request on its way through the entry.

    :param request: checked request.
    :param received: request as it came.
    :param request_id: identity for targets, logs and the caller.
    :param team: team of the caller.
    :param treatment: how its route is treated.
    :param deadline: monotonic seconds at which the caller stops waiting.
    :param headers: headers for the target.
    :param claimed: the key is claimed for this request.
    :param sent: the attempt that runs was sent to its target.
    :param touched: a target may have acted on the request.
    :param answered: a target gave a whole answer, an error included.
    :param attempts: attempts so far.
    :param avoid: targets of earlier attempts.
    """

    request: CallerRequest
    received: ReceivedRequest
    request_id: str
    team: str
    treatment: Treatment
    deadline: float
    headers: Headers = ()
    claimed: bool = False
    sent: bool = False
    touched: bool = False
    answered: bool = False
    attempts: int = 0
    avoid: tuple[str, ...] = ()

    @property
    def needs_claim(self) -> bool:
        """Whether the key must be claimed before the request is sent."""
        return bool(self.request.key) and not self.treatment.idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class EntryParts:
    """What an entry works with.

    :param name: name of the daemon.
    :param start: random text made at each start of the process.
    :param desk: awaits slots.
    :param targets: sends to targets.
    :param teams: knows callers.
    :param claimer: claims keys.
    :param metrics: counts.
    :param clock: returns monotonic seconds.
    :param is_leaving: tells whether this daemon knows of a target that it
        gets no new work.
    :param jobs: serves requests about jobs, ``None`` to take no jobs.
    """

    name: str
    start: str
    desk: SlotDesk
    targets: TargetClient
    teams: TeamFinder
    claimer: Claimer
    metrics: Metrics
    clock: Clock
    is_leaving: Callable[[str], bool]
    jobs: Entrance | None = None


class EntryServer:
    """Serves each request once and answers it whole."""

    def __init__(self, parts: EntryParts) -> None:
        self.closing = False
        self.accepting = True
        self.takes_work: Callable[[], bool] = _always
        self.view = ConfigurationView()
        self._parts = parts
        self._budget = RetryBudget()
        self._numbers = itertools.count(1)

    async def serve(self, request: ReceivedRequest) -> CallerAnswer:
        """Return the whole answer of a request."""
        request_id = self._make_id()
        outcome = self._admit(request, request_id)
        if isinstance(outcome, Err):
            return self._refuse('', outcome.err_value, request_id)
        job = outcome.ok_value
        answer = await self._choose(job)
        service = job.request.service
        if isinstance(answer, Err):
            return self._refuse(service, answer.err_value, request_id)
        return self._accept(service, answer.ok_value, request_id)

    def _admit(
        self,
        received: ReceivedRequest,
        request_id: str,
    ) -> Result[Job, Failure]:
        if not (self.accepting and self.takes_work()):
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
            Job(
                request=request,
                received=received,
                request_id=request_id,
                team=team.ok_value,
                treatment=find_treatment(
                    owned.spec,
                    request.method,
                    request.route_path,
                ),
                deadline=self._parts.clock() + request.timeout,
                headers=select_headers(received.headers),
            )
        )

    async def _choose(self, job: Job) -> AnswerResult:
        jobs = self._parts.jobs
        if jobs is not None and is_job_path(job.request.route_path):
            return await jobs.serve(job)
        self._budget.add_request()
        return await self._run(job)

    async def _run(self, job: Job) -> AnswerResult:
        outcome: AnswerResult | None = None
        try:
            outcome = await self._attempt_all(job)
        finally:
            if outcome is None:
                self._parts.claimer.forget(job)
        outcome = _qualify(job, outcome)
        if job.claimed:
            self._parts.claimer.record(job, outcome)
        return outcome

    async def _attempt_all(self, job: Job) -> AnswerResult:
        while True:
            outcome = await self._attempt(job)
            if isinstance(outcome, Ok) and not _is_server_error(outcome):
                return outcome
            if not self._may_retry(job, outcome):
                return outcome
            self._parts.metrics.retries.add(job.request.service)

    async def _attempt(self, job: Job) -> AnswerResult:
        job.attempts += 1
        job.sent = False
        if job.needs_claim and not job.claimed:
            await self._parts.claimer.wait_turn(job)
        ask = self._make_ask(job)
        slot = await self._parts.desk.acquire(ask)
        if isinstance(slot, Err):
            return slot
        self._parts.metrics.grants.add(job.request.service)
        verdict = Verdict.CANCELLED
        started = self._parts.clock()
        try:
            outcome = await self._use_slot(job, slot.ok_value)
            # An answer from the key's record is no merit of the target.
            judged = job.sent or isinstance(outcome, Err)
            verdict = _judge(outcome) if judged else verdict
        finally:
            run_time = self._parts.clock() - started
            self._parts.desk.release(ask.ask_id, verdict, run_time)
        job.avoid = (*job.avoid, slot.ok_value.target)
        return outcome

    async def _use_slot(self, job: Job, grant: GrantSlot) -> AnswerResult:
        # An owner that was paused grants by what it knew before.
        if self._parts.is_leaving(grant.target):
            return Err(Failure(ErrorKind.TARGET_REFUSED, _LEAVING))
        if job.needs_claim and not job.claimed:
            claim = await self._parts.claimer.claim(job)
            if isinstance(claim, Err):
                return claim
            if claim.ok_value is not None:
                return Ok(claim.ok_value)
            job.claimed = True
        outcome = await self._send(job, grant)
        job.touched = job.touched or not _is_untouched(outcome)
        job.answered = job.answered or isinstance(outcome, Ok)
        return outcome

    async def _send(self, job: Job, grant: GrantSlot) -> AnswerResult:
        left = job.deadline - self._parts.clock()
        if left <= 0:
            return Err(Failure(ErrorKind.DEADLINE_EXCEEDED))
        job.sent = True
        return await self._parts.targets.send(
            TargetRequest(
                address=grant.address,
                method=job.received.method,
                path=job.request.path,
                request_id=job.request_id,
                headers=job.headers,
                content=job.received.content,
                timeout=left,
            )
        )

    def _make_ask(self, job: Job) -> AskSlot:
        number = next(self._numbers)
        return AskSlot(
            ask_id=f'{self._parts.start}-{number}',
            service=job.request.service,
            team=job.team,
            kind=job.treatment.kind,
            urgency=job.request.priority.urgency,
            deadline_in=max(0, job.deadline - self._parts.clock()),
            idempotent=job.treatment.idempotent,
            avoid=job.avoid,
            entry=self._parts.name,
            job=job.request_id,
        )

    def _may_retry(self, job: Job, outcome: AnswerResult) -> bool:
        if job.attempts >= MAX_ATTEMPTS:
            return False
        if self._parts.clock() >= job.deadline:
            return False
        if isinstance(outcome, Err) and not _is_target_fault(outcome):
            return False
        if not job.treatment.idempotent and not _is_untouched(outcome):
            return False
        return self._budget.take()

    def _make_id(self) -> str:
        return f'{self._parts.start}-r{next(self._numbers)}'

    def _refuse(
        self,
        service: str,
        failure: Failure,
        request_id: str,
    ) -> CallerAnswer:
        answer = make_answer(failure, request_id)
        metrics = self._parts.metrics
        metrics.refusals.add(failure.kind.value)
        metrics.requests.add(service, str(answer.status))
        return answer

    def _accept(
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


def _always() -> bool:
    """Take work, until membership is asked instead."""
    return True


def _qualify(job: Job, outcome: AnswerResult) -> AnswerResult:
    """Say of the request what is true of all of its attempts."""
    if isinstance(outcome, Ok) or not job.touched:
        return outcome
    failure = outcome.err_value
    known = failure.outcome
    if _is_unable(job, failure):
        failure = Failure(ErrorKind.UNABLE_TO_RUN)
        known = Outcome.RAN if job.answered else Outcome.UNKNOWN
    if known is Outcome.NOT_RUN:
        known = Outcome.UNKNOWN
    return Err(dataclasses.replace(failure, known_outcome=known))


def _is_unable(job: Job, failure: Failure) -> bool:
    """Tell whether the request failed on as many targets as it may try."""
    if failure.kind is ErrorKind.UNABLE_TO_RUN:
        return True
    failed = failure.kind is ErrorKind.TARGET_FAILED
    return failed and len(set(job.avoid)) >= MAX_ATTEMPTS


def _is_server_error(outcome: Ok[TargetAnswer]) -> bool:
    return outcome.ok_value.status >= FIRST_SERVER_ERROR


def _is_target_fault(outcome: Err[Failure]) -> bool:
    return outcome.err_value.kind in {
        ErrorKind.TARGET_FAILED,
        ErrorKind.TARGET_REFUSED,
    }


def _is_untouched(outcome: AnswerResult) -> bool:
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.outcome is Outcome.NOT_RUN


def _judge(outcome: AnswerResult) -> Verdict:
    if isinstance(outcome, Ok):
        failed = _is_server_error(outcome)
        return Verdict.FAILED if failed else Verdict.OK
    kind = outcome.err_value.kind
    if kind is ErrorKind.TARGET_REFUSED:
        return Verdict.REFUSED
    if kind is ErrorKind.TARGET_FAILED:
        return Verdict.FAILED
    return Verdict.CANCELLED
