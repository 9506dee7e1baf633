"""Listening sockets with bounded receive buffers."""

import socket
from typing import Final, Protocol

#: How many times its size the system makes of a receive buffer, to hold its own
#: records as well. Source: socket(7), ``SO_RCVBUF``.
SYSTEM_FACTOR: Final = 2


class _Buffered(Protocol):
    """Socket, or what asyncio gives out for one."""

    def setsockopt(self, level: int, name: int, value: int, /) -> None:
        """Set an option."""


def open_listener(host: str, port: int, receive_bytes: int) -> socket.socket:
    """Return a socket that is bound and doesn't listen yet.

    The size of the receive buffer has to be set before a connection arrives:
    accepted sockets inherit it, also those that wait to be accepted.

    :param host: IP number.
    :param port: TCP port.
    :param receive_bytes: size of the receive buffer of each connection.
    :raises OSError: when the address can't be used.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        set_receive_buffer(opened, receive_bytes)
        opened.bind((host, port))
    except OSError:
        opened.close()
        raise
    return opened


def set_receive_buffer(opened: _Buffered, size: int) -> None:
    """Set the size of a receive buffer, which the system doubles.

    :param opened: socket before or after it was connected.
    :param size: size in bytes.
    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
