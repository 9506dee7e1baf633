"""Addresses of servers, as the platform writes them."""

import dataclasses
import ipaddress
import re
from typing import Final, final

#: Highest port of TCP.
MAX_PORT: Final = 65_535

#: Longest host name in characters, from RFC 1035.
MAX_HOST_CHARACTERS: Final = 253

_ADDRESS = re.compile(
    r'(?:\[(?P<literal>[\da-f:.]+)\]|(?P<host>[\w.-]+)):(?P<port>\d{1,5})',
    re.ASCII | re.IGNORECASE,
)
_LABEL = re.compile(r'(?!-)[\w-]{1,63}(?<!-)', re.ASCII)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServerAddress:
    """A host and a port.

    :param host: IP address without brackets, or host name.
    :param port: TCP port, from 1 to 65,535.
    """

    host: str
    port: int


def parse_address(text: str) -> ServerAddress:
    """Return the host and the port of an address.

    Explanation
    ===========

    An address becomes part of a URL, so that it must hold nothing but a host
    and a port: no user, path or query. A host whose last label begins with a
    digit has to be an IPv4 address, as in URLs.

    Examples
    ========

    >>> parse_address('10.0.0.1:7070')
    ServerAddress(host='10.0.0.1', port=7070)
    >>> parse_address('[::1]:7070').host
    '::1'
    >>> parse_address('10.0.0.1:65536')
    Traceback (most recent call last):
    ...
    ValueError: the port must be from 1 to 65535

    :param text: ``HOST:PORT``; an IPv6 address is in brackets.
    :raises ValueError: when the text is no such address.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None:
        raise ValueError('must have the form HOST:PORT')
    port = int(found['port'])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'the port must be from 1 to {MAX_PORT}')
    literal = found['literal']
    host = literal or found['host']
    if literal:
        _check_ip(ipaddress.IPv6Address(literal))
    else:
        _check_host(host)
    return ServerAddress(host, port)


def _check_host(host: str) -> None:
    labels = host.split('.')
    if labels[-1][:1].isdigit():
        _check_ip(ipaddress.IPv4Address(host))
    elif len(host) > MAX_HOST_CHARACTERS:
        raise ValueError('the host name is too long')
    elif not all(map(_LABEL.fullmatch, labels)):
        raise ValueError('the host name has an invalid label')


def _check_ip(address: ipaddress.IPv4Address | ipaddress.IPv6Address) -> None:
    if address.is_unspecified:
        raise ValueError('the host must not be unspecified')
