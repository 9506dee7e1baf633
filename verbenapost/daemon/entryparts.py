"""Ports and dependencies of the entry."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from result import Result

from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.requestcontext import AnswerResult, RequestContext
from verbenapost.daemon.slots import AsyncSlotClient
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.requests import CallerRequest
from verbenapost.protocol.targets import TargetAnswer
from verbenapost.transport.targets import TargetClient

Clock = Callable[[], float]


class TeamFinder(Protocol):
    """Finds the team of a caller."""

    def find_team(self, request: CallerRequest) -> Result[str, Failure]:
        """Return the team, or a failure that refuses the request."""


class Claimer(Protocol):
    """Ensures that a request with an idempotency key runs at most once."""

    async def wait_for_capacity(self, context: RequestContext) -> None:
        """Wait while too many requests have pending claims."""

    async def claim(
        self,
        context: RequestContext,
    ) -> Result[TargetAnswer | None, Failure]:
        """Claim the key of a request.

        :returns: the stored answer when the request has already run, or
            ``None`` when the key was granted.
        """

    def record(self, context: RequestContext, outcome: AnswerResult) -> None:
        """Record the outcome of a claimed request."""

    def abandon(self, context: RequestContext) -> None:
        """Drop the claim of a request whose outcome is unknown."""


class JobHandler(Protocol):
    """Answers requests that submit, show or cancel accepted jobs."""

    async def serve(self, context: RequestContext) -> AnswerResult:
        """Return the answer to a job request."""


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
