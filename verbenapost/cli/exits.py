"""Exit codes and the errors that lead to them."""

import enum
from typing import Final

from verbenapost.protocol.errors import ErrorKind


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit codes of the tool, for the programs that call it.

    ``UNKNOWN`` means that it is not known whether a change is in effect.
    """

    SUCCESS = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


#: Advice to the operator, by error kind.
ADVICE: Final[dict[str, str]] = {
    ErrorKind.UNAUTHENTICATED: (
        'set VERBENAPOST_TOKEN to a token that the daemon knows'
    ),
    ErrorKind.FORBIDDEN: 'use a token with the right on this subtree',
    ErrorKind.NOT_FOUND: 'check the name with the list command',
    ErrorKind.CONFLICT: 'read it again with get or list, then repeat',
    ErrorKind.INVALID: 'correct the values named above, then apply again',
    ErrorKind.BAD_REQUEST: 'correct the argument named above',
    ErrorKind.TOO_LARGE: 'make the document smaller',
    ErrorKind.NOT_READY: 'repeat, or ask another daemon with --daemon',
    ErrorKind.STORE_UNAVAILABLE: "repeat once the platform's store answers",
    ErrorKind.STORE_UNKNOWN: (
        'look with get or history whether it took effect before you repeat'
    ),
}

#: Advice for an error kind that is not in ``ADVICE``.
DEFAULT_ADVICE = "look into the daemon's log"


class CommandError(Exception):
    """Failure of a command, with advice for the operator.

    :param code: exit code.
    :param message: what happened.
    :param advice: what the operator can do.
    """

    def __init__(self, code: ExitCode, message: str, advice: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.advice = advice


def make_usage_error(message: str, advice: str) -> CommandError:
    """Return the error of a command line that cannot be executed."""
    return CommandError(ExitCode.USAGE, message, advice)
