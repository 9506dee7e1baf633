"""Answers of HTTP interfaces that reply with JSON."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import aiohttp
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.transport.answerlimits import (
    DEFAULT_ANSWER_BYTES,
    decode_json,
    read_limited,
)


async def read_json_answer(
    response: aiohttp.ClientResponse,
    kind_by_status: Mapping[int, ErrorKind],
    other_kind: ErrorKind,
    limit: int = DEFAULT_ANSWER_BYTES,
) -> Result[Any, Failure]:
    """Return the JSON of an answer, or a failure with the answer's text.

    :param response: answer whose body is not read yet.
    :param kind_by_status: kind of the failure by HTTP status.
    :param other_kind: kind of the failure for any other status.
    :param limit: largest body in bytes.
    :raises aiohttp.ClientError: when the body is larger or incomplete.
    :raises ValueError: when the body of a successful answer is not JSON.
    """
    body = await read_limited(response, limit)
    if response.status == HTTPStatus.OK:
        return Ok(decode_json(body))
    kind = kind_by_status.get(response.status, other_kind)
    return Err(Failure(kind, body.decode(errors='replace')))
