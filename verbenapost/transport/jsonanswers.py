"""Answers of HTTP interfaces that reply with JSON."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import aiohttp
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure


async def read_json_answer(
    response: aiohttp.ClientResponse,
    kind_by_status: Mapping[int, ErrorKind],
    other_kind: ErrorKind,
) -> Result[Any, Failure]:
    """Return the JSON of an answer, or a failure with the answer's text.

    :param response: answer whose body is not read yet.
    :param kind_by_status: kind of the failure by HTTP status.
    :param other_kind: kind of the failure for any other status.
    """
    if response.status == HTTPStatus.OK:
        return Ok(await response.json())
    kind = kind_by_status.get(response.status, other_kind)
    return Err(Failure(kind, await response.text()))
