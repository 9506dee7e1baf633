"""Bounded reading of request bodies."""

import dataclasses
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

_GONE = Failure(ErrorKind.CANCELLED)


class ByteBudget:
    """Bytes that all bodies together may hold in memory.

    Examples
    ========

    >>> budget = ByteBudget(10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.reserve(8)
    True

    :param limit: bytes.
    """

    def __init__(self, limit: int) -> None:
        self.used = 0
        self._limit = limit

    def reserve(self, size: int) -> bool:
        """Take ``size`` bytes, or nothing and return ``False``."""
        if self.used + size > self._limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Give back what was taken."""
        self.used -= size


@dataclasses.dataclass
class BodyReader:
    """Reads one body; whoever made it calls :meth:`release` in the end.

    :param budget: memory that all bodies share.
    :param limit: bytes of one body.
    """

    budget: ByteBudget
    limit: int
    held: int = 0

    async def read(self, receive: Receive) -> Result[bytes, Failure]:
        """Read the whole body, or say why it can't be."""
        chunks = []
        while True:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return Err(_GONE)
            chunk = event.get('body', b'')
            refused = self._hold(len(chunk))
            if refused is not None:
                return Err(refused)
            chunks.append(chunk)
            if not event.get('more_body'):
                return Ok(chunks[0] if len(chunks) == 1 else b''.join(chunks))

    def release(self) -> None:
        """Give the memory of the body back."""
        self.budget.release(self.held)
        self.held = 0

    def _hold(self, size: int) -> Failure | None:
        if self.held + size > self.limit:
            return Failure(
                ErrorKind.TOO_LARGE,
                f'The body is larger than {self.limit} bytes.',
            )
        if not self.budget.reserve(size):
            return Failure(
                ErrorKind.OVERLOADED,
                'The daemon holds too many bytes of bodies.',
            )
        self.held += size
        return None
