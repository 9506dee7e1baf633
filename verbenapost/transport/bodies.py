"""Reading of request bodies within memory limits."""

import dataclasses
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

_DISCONNECTED = Failure(ErrorKind.CANCELLED)


class ByteBudget:
    """Limit on the memory that all request bodies share.

    Examples
    ========

    >>> budget = ByteBudget(10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.reserve(8)
    True

    :param limit: bytes that may be reserved at one time.
    """

    def __init__(self, limit: int) -> None:
        self.used_bytes = 0
        self._limit = limit

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes if they are available.

        :returns: whether they were reserved.
        """
        if self.used_bytes + size > self._limit:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self.used_bytes -= size


@dataclasses.dataclass
class BodyReader:
    """Reads one request body.

    The creator of the reader must call :meth:`release` when the body is no
    longer needed.

    :param budget: limit on the memory that all bodies share.
    :param limit: largest body, in bytes.
    :param reserved_bytes: bytes of the budget that this body occupies.
    """

    budget: ByteBudget
    limit: int
    reserved_bytes: int = 0

    async def read(self, receive: Receive) -> Result[bytes, Failure]:
        """Return the whole body, or the reason why it was not read."""
        chunks = []
        while True:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return Err(_DISCONNECTED)
            chunk = event.get('body', b'')
            failure = self._reserve(len(chunk))
            if failure is not None:
                return Err(failure)
            chunks.append(chunk)
            if not event.get('more_body'):
                return Ok(chunks[0] if len(chunks) == 1 else b''.join(chunks))

    def release(self) -> None:
        """Release the memory of the body."""
        self.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    def _reserve(self, size: int) -> Failure | None:
        if self.reserved_bytes + size > self.limit:
            return Failure(
                ErrorKind.TOO_LARGE,
                f'The body is larger than {self.limit} bytes.',
            )
        if not self.budget.reserve(size):
            return Failure(
                ErrorKind.OVERLOADED,
                'The daemon holds too many bytes of bodies.',
            )
        self.reserved_bytes += size
        return None
