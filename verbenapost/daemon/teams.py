"""Identification of the team of a caller."""

import hashlib
import hmac
from typing import final

from result import Err, Ok, Result

from verbenapost.daemon.settings import CallerSettings
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.requests import CallerRequest

#: Team of callers without a team name where ``X-Team`` is trusted.
ANONYMOUS = 'anonymous'


@final
class CallerTeams:
    """Finds the teams of callers by their tokens.

    :param settings: tokens, and whether ``X-Team`` is trusted.
    """

    def __init__(self, settings: CallerSettings) -> None:
        self._settings = settings

    def find_team(self, request: CallerRequest) -> Result[str, Failure]:
        """Return the team of a request, or a failure that refuses it."""
        if request.token:
            return self._match_token(request.token)
        if self._settings.trust_x_team:
            return Ok(request.team or ANONYMOUS)
        return Err(Failure(ErrorKind.UNAUTHENTICATED))

    def _match_token(self, token: str) -> Result[str, Failure]:
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = ''
        # All tokens are compared, so that the duration reveals nothing.
        for known in self._settings.tokens:
            if hmac.compare_digest(known.token_sha256, digest):
                found = known.team
        if not found:
            return Err(Failure(ErrorKind.UNAUTHENTICATED))
        return Ok(found)
