"""Reading of servers' answers within a limit."""

import json
from typing import Any, Final

import aiohttp

from verbenapost.transport.bodies import ByteBudget

#: Bytes of one answer unless the settings say otherwise.
DEFAULT_ANSWER_BYTES: Final = 16_777_216

#: Bytes of all answers that are being read, unless the settings say otherwise.
DEFAULT_ANSWERS_BYTES: Final = 33_554_432

#: Bytes of an answer that needs no share of the memory for all answers. So
#: servers that answer without end leave room for the answers of others.
SMALL_ANSWER_BYTES: Final = 65_536

#: Bytes of memory for each occurrence of a character of a JSON document: for a
#: value, a list or object, and a key with its entry. Source: ``sys.getsizeof``
#: on 64 bits.
_DECODED_BYTES: Final = ((b',', 64), (b'[', 72), (b'{', 72), (b':', 112))


async def read_limited(
    response: aiohttp.ClientResponse,
    limit: int,
    budget: ByteBudget | None = None,
) -> bytes:
    """Return the body of an answer.

    Explanation
    ===========

    The limit holds for the body and for its values once they are decoded, since
    a list of empty lists takes twenty times as much memory as its text.

    :param response: answer whose body is not read yet.
    :param limit: largest body in bytes.
    :param budget: memory that all answers being read share, if limited.
    :raises aiohttp.ClientPayloadError: when the body is larger; its
        connection is closed.
    """
    if (response.content_length or 0) > limit:
        raise _refuse(response, f'above {limit} bytes')
    body = await _read_chunks(response, limit, budget)
    if estimate_decoded(body) > limit:
        raise _refuse(response, f'with values above {limit} bytes')
    return body


def estimate_decoded(body: bytes) -> int:
    """Return the bytes that the values of a JSON document occupy at most.

    Texts are left out; they take as much as in the document.

    >>> estimate_decoded(b'[[],[]]'), estimate_decoded(b'{"a": 1}')
    (280, 184)

    :param body: the document.
    """
    return sum(body.count(mark) * size for mark, size in _DECODED_BYTES)


def decode_json(body: bytes) -> Any:
    """Return the value of a JSON document.

    :raises ValueError: when the text is not JSON or nests too deeply.
    """
    try:
        return json.loads(body)
    except RecursionError as fault:
        raise ValueError('the document nests too deeply') from fault


async def _read_chunks(
    response: aiohttp.ClientResponse, limit: int, budget: ByteBudget | None
) -> bytes:
    chunks = []
    size = 0
    share = _Share(budget)
    try:
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > limit:
                raise _refuse(response, f'above {limit} bytes')
            if not share.raise_to(size):
                raise _refuse(response, 'above the memory for all answers')
            chunks.append(chunk)
    finally:
        share.release()
    return b''.join(chunks)


class _Share:
    """Part of the memory for all answers that one of them takes up."""

    def __init__(self, budget: ByteBudget | None) -> None:
        self._budget = budget
        self._reserved = 0

    def raise_to(self, size: int) -> bool:
        """Return whether an answer of a size has room."""
        if self._budget is None or size <= SMALL_ANSWER_BYTES:
            return True
        if not self._budget.reserve(size - self._reserved):
            return False
        self._reserved = size
        return True

    def release(self) -> None:
        """Give back what the answer took up."""
        if self._budget is not None:
            self._budget.release(self._reserved)


def _refuse(
    response: aiohttp.ClientResponse, detail: str
) -> aiohttp.ClientPayloadError:
    response.close()
    return aiohttp.ClientPayloadError(f'answer {detail}')
