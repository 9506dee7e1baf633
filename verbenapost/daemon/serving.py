"""Entry: admission of callers' requests and their complete answers."""

import itertools
from collections.abc import Callable

from result import Err, Ok, Result

from verbenapost.coordination.routes import find_route_policy
from verbenapost.daemon.attempts import AttemptRunner
from verbenapost.daemon.entryparts import EntryParts
from verbenapost.daemon.requestcontext import AnswerResult, RequestContext
from verbenapost.daemon.submissions import is_job_path
from verbenapost.protocol.callers import CallerAnswer, ReceivedRequest
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.requests import parse_caller_request
from verbenapost.protocol.targets import TargetAnswer, select_headers
from verbenapost.state.configuration import ConfigurationView
from verbenapost.transport.callers import make_failure_answer


class EntryServer:
    """Processes callers' requests and returns complete answers."""

    def __init__(self, parts: EntryParts) -> None:
        self.closing = False
        self.accepting = True
        self.accepts_work: Callable[[], bool] = _accept_always
        self.view = ConfigurationView()
        self._parts = parts
        self._numbers = itertools.count(1)
        self._attempts = AttemptRunner(parts, self._numbers)

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
        return await self._attempts.run(context)

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
