"""Reading of servers' answers within a limit."""

from typing import Final

import aiohttp

#: Bytes of one answer unless the settings say otherwise.
DEFAULT_ANSWER_BYTES: Final = 16_777_216


async def read_limited(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the body of an answer.

    :param response: answer whose body is not read yet.
    :param limit: largest body in bytes.
    :raises aiohttp.ClientPayloadError: when the body is larger; its
        connection is closed.
    """
    if (response.content_length or 0) > limit:
        raise _refuse(response, limit)
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > limit:
            raise _refuse(response, limit)
        chunks.append(chunk)
    return b''.join(chunks)


def _refuse(
    response: aiohttp.ClientResponse, limit: int
) -> aiohttp.ClientPayloadError:
    response.close()
    return aiohttp.ClientPayloadError(f'answer above {limit} bytes')
