"""Reading of request bodies within memory limits."""

import dataclasses
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

_DISCONNECTED = Failure(ErrorKind.CANCELLED)
_OVERLOADED = Failure(
    ErrorKind.OVERLOADED, 'The daemon holds too many bytes of bodies.'
)


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
    :ivar used_bytes: bytes that are reserved.
    :ivar unfinished: readers of bodies that are not complete.
    """

    def __init__(self, limit: int) -> None:
        self.used_bytes = 0
        self.unfinished: set[BodyReader] = set()
        self._limit = limit

    @property
    def is_scarce(self) -> bool:
        """Whether more than a half is reserved."""
        return 2 * self.used_bytes > self._limit

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

    def make_room(self, size: int, reader: 'BodyReader') -> bool:
        """Drop larger unfinished bodies until a body has room for more bytes.

        Clients that never complete their bodies would shut out all others.

        :param size: bytes to reserve.
        :param reader: reader of the body, which isn't dropped.
        :returns: whether there is room.
        """
        wanted = reader.reserved_bytes + size
        while self.used_bytes + size > self._limit:
            largest = max(self.unfinished, key=_read_reserved, default=reader)
            if largest.reserved_bytes <= wanted:
                return False
            largest.drop()
        return True


@dataclasses.dataclass(eq=False)
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
    _dropped: bool = False
    _chunks: list[bytes] = dataclasses.field(default_factory=list)

    async def read(self, receive: Receive) -> Result[bytes, Failure]:
        """Return the whole body, or the reason why it was not read."""
        while True:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return Err(_DISCONNECTED)
            chunk = event.get('body', b'')
            failure = self._reserve(len(chunk))
            if failure is not None:
                return Err(failure)
            self._chunks.append(chunk)
            if not event.get('more_body'):
                self.budget.unfinished.discard(self)
                body = b''.join(self._chunks)
                self._chunks.clear()
                return Ok(body)
            self.budget.unfinished.add(self)

    def drop(self) -> None:
        """Refuse the rest of the body and release what was read of it."""
        self._dropped = True
        self.release()

    def release(self) -> None:
        """Release the memory of the body."""
        self.budget.unfinished.discard(self)
        self.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0
        self._chunks.clear()

    def _reserve(self, size: int) -> Failure | None:
        if self._dropped:
            return _OVERLOADED
        if self.reserved_bytes + size > self.limit:
            return Failure(
                ErrorKind.TOO_LARGE,
                f'The body is larger than {self.limit} bytes.',
            )
        if not self.budget.make_room(size, self):
            return _OVERLOADED
        self.budget.reserve(size)
        self.reserved_bytes += size
        return None


def _read_reserved(reader: BodyReader) -> int:
    return reader.reserved_bytes
