"""Connections to servers that may answer more than they were asked."""

import asyncio
import functools
from typing import Any, Final, final

import aiohttp
from aiohttp.client_proto import ResponseHandler

#: Informational answers (1xx) before the final one of a request.
MAX_INFORMATIONAL: Final = 8

#: Bytes of answers that are parsed before it is checked whether they were
#: asked for.
SLICE_BYTES: Final = 16_384

_FINAL_STATUS: Final = 200


@final
class BoundedResponses(ResponseHandler):
    """Connection that ends when its server answers without being asked.

    The library parses and queues whatever arrives, also while no request is
    under way.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._is_answered = True
        self._informational = 0
        self._has_excess = False

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer of a request."""
        self._is_answered = False
        self._informational = 0
        super().set_response_params(**params)

    def feed_data(self, answer: Any, size: int = 0) -> None:
        """Queue an answer that was asked for."""
        message, _payload = answer
        if self._is_answered or self._informational >= MAX_INFORMATIONAL:
            self._has_excess = True
            return
        if message.code < _FINAL_STATUS:
            self._informational += 1
        else:
            self._is_answered = True
        super().feed_data(answer, size)

    def data_received(self, chunk: bytes) -> None:
        """Parse a part of an answer, or end the connection."""
        if chunk and self._is_idle():
            self.abort()
            return
        for start in range(0, max(1, len(chunk)), SLICE_BYTES):
            super().data_received(chunk[start : start + SLICE_BYTES])
            if self._has_excess:
                self.abort()
                return

    def _is_idle(self) -> bool:
        payload = self._payload
        return self._is_answered and (payload is None or payload.is_eof())


class ServerConnector(aiohttp.TCPConnector):
    """Connector whose connections are :class:`BoundedResponses`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedResponses, loop=self._loop
        )
