"""State of one caller's request while the entry processes it."""

import dataclasses
from typing import final

from result import Result

from verbenapost.coordination.routes import RoutePolicy
from verbenapost.protocol.callers import ReceivedRequest
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.requests import CallerRequest
from verbenapost.protocol.targets import Headers, TargetAnswer

#: Largest number of attempts of one request, on distinct targets.
MAX_ATTEMPTS = 3

AnswerResult = Result[TargetAnswer, Failure]


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
