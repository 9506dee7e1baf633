"""Settings of the limits on clients' connections."""

from typing import Annotated, Any

import pydantic
from pydantic.dataclasses import dataclass

from verbenapost.transport.answerlimits import (
    DEFAULT_ANSWER_BYTES,
    DEFAULT_ANSWERS_BYTES,
)


def _read_absent(number: Any) -> Any:
    return 0 if number is None else number


Count = Annotated[int, pydantic.Field(gt=0, strict=True)]
Duration = Annotated[float, pydantic.Field(gt=0, strict=True)]

# The platform fills in these, as numbers of any kind or as null.
MachineLimit = Annotated[
    int,
    pydantic.Field(ge=0),
    pydantic.BeforeValidator(_read_absent),
]

_CONFIG = pydantic.ConfigDict(extra='forbid')


@dataclass(frozen=True, config=_CONFIG)
class ConnectionLimits:
    """Limits of one listener's connections.

    :param head_bytes: bytes of a request line and its headers.
    :param header_line_bytes: bytes of one header's name and value.
    :param header_lines: headers of one request.
    :param empty_bytes: bytes of empty lines before a request.
    :param trailer_bytes: bytes of a chunked body, beside its chunks, in
        sequence; that is, of its trailers.
    :param pipelined_requests: requests of one connection that wait for the
        response to an earlier one.
    :param unread_bytes: bytes of responses that one client has not read, above
        which its next response waits.
    :param unread_total_bytes: such bytes of all connections together; above
        them those with the most are closed.
    :param held_bytes: bytes of unfinished heads and waiting requests of all
        connections together; when left out, one header of the largest size
        for each connection that may be open.
    :param head_seconds: seconds for a head.
    :param stalled_seconds: seconds without progress of a body or of a
        response that a client reads.
    :param receive_bytes: size of the receive buffer of a connection, which
        bounds what was received and not read; the system takes up to twice as
        much.
    :param idle_seconds: seconds without a request.
    :param service_connections: open connections at a listener for probes or
        metrics.
    :param handshakes: accepted streams of peers that have not proved yet who
        they are.
    :param answer_bytes: bytes of one answer of a server of the platform, and of
        its values once they are decoded.
    :param answers_total_bytes: bytes of all answers that are being read.
    :param bodies_total_bytes: bytes of all bodies of the platform daemon's
        callers.
    :param running_requests: requests of callers that the platform daemon serves
        at one time; further ones wait for their turn.
    :param connections: open connections of callers; derived from the limit on
        open descriptors when left out.
    :param descriptors: open descriptors that the process may have, besides the
        limit of the process itself; 0 when unknown.
    :param memory_bytes: bytes of memory that the process may occupy, with what
        its connections have received and it has not read; 0 for the memory of
        the machine.
    """

    head_bytes: Count = 32_768
    header_line_bytes: Count = 16_640
    header_lines: Count = 128
    empty_bytes: Count = 1024
    trailer_bytes: Count = 16_384
    pipelined_requests: Count = 16
    unread_bytes: Count = 4096
    unread_total_bytes: Count = 33_554_432
    held_bytes: Count | None = None
    head_seconds: Duration = 10.0
    stalled_seconds: Duration = 30.0
    receive_bytes: Count = 8192
    idle_seconds: Duration = 30.0
    service_connections: Count = 64
    handshakes: Count = 256
    answer_bytes: Count = DEFAULT_ANSWER_BYTES
    answers_total_bytes: Count = DEFAULT_ANSWERS_BYTES
    bodies_total_bytes: Count = 33_554_432
    running_requests: Count = 512
    connections: Count | None = None
    descriptors: MachineLimit = 0
    memory_bytes: MachineLimit = 0
