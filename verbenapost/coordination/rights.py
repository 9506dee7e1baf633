"""Operator rights, bound to subtrees of the configuration."""

import dataclasses
import enum
import hashlib
import hmac
from collections.abc import Sequence
from typing import final

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.documents import PLATFORM


@enum.unique
class Role(enum.StrEnum):
    """Access level of a token in its subtree."""

    READ = 'read'
    WRITE = 'write'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OperatorToken:
    """An operator's token, of which only the digest is stored.

    :param operator: operator name in audit entries.
    :param digest: SHA-256 of the token as hex digits.
    :param subtree: ``/``, ``/platform`` or ``/teams/<team>``.
    :param role: highest role in the subtree.
    """

    operator: str
    digest: str
    subtree: str
    role: Role = Role.READ


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Rights:
    """Rights of an authenticated operator.

    Examples
    ========

    >>> token = OperatorToken('kim', '', '/teams/shop', Role.WRITE)
    >>> rights = Rights('kim', (token,))
    >>> rights.allow('/teams/shop/services', Role.WRITE)
    True
    >>> rights.allow('/teams/shops', Role.READ)
    False

    :param operator: operator name in audit entries.
    :param tokens: bindings that match the presented token.
    """

    operator: str
    tokens: Sequence[OperatorToken]

    def allow(self, path: str, role: Role) -> bool:
        """Return whether the operator holds a role at a path."""
        return any(
            _is_within(path, token.subtree) and role in {Role.READ, token.role}
            for token in self.tokens
        )


@final
class OperatorRegistry:
    """Tokens that the settings define.

    :param tokens: bindings; several may have the same digest.
    """

    def __init__(self, tokens: Sequence[OperatorToken]) -> None:
        self._tokens = tuple(tokens)

    def authenticate(self, token: str) -> Result[Rights, Failure]:
        """Return the rights of a token.

        Every known digest is compared, in constant time, so that the
        response time reveals nothing about the tokens.

        :returns: the rights, or ``UNAUTHENTICATED`` for an unknown token.
        """
        digest = digest_token(token)
        matching = [
            known
            for known in self._tokens
            if hmac.compare_digest(known.digest.lower(), digest)
        ]
        if not matching:
            return Err(Failure(ErrorKind.UNAUTHENTICATED))
        return Ok(Rights(matching[0].operator, tuple(matching)))


def digest_token(token: str) -> str:
    """Return the SHA-256 digest of a token as hex digits."""
    return hashlib.sha256(token.encode()).hexdigest()


def locate_document(team: str) -> str:
    """Return the path that rights on a team's document are bound to.

    Examples
    ========

    >>> locate_document('shop')
    '/teams/shop'
    >>> locate_document('platform')
    '/platform'
    """
    return '/platform' if team == PLATFORM else f'/teams/{team}'


def _is_within(path: str, subtree: str) -> bool:
    root = subtree.rstrip('/')
    return path == root or path.startswith(f'{root}/')
