"""Free ports on the loopback address."""

import contextlib
import random
import socket

LOOPBACK = '127.0.0.1'

#: Range of the ports. Higher ports are given to outgoing connections, which
#: could occupy the port of a daemon before the daemon starts or restarts.
FIRST_PORT = 10_240
LAST_PORT = 32_767


def find_free_ports(count: int) -> list[int]:
    """Return distinct ports that were free just now.

    :raises LookupError: when there are too few free ports.
    """
    candidates = list(range(FIRST_PORT, LAST_PORT + 1))
    random.shuffle(candidates)
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            return found
        if _is_free(port):
            found.append(port)
    raise LookupError(f'there are no {count} free ports')


def find_free_pair() -> int:
    """Return the first of two ports in sequence that were free just now."""
    while True:
        first = find_free_ports(1)[0]
        if first < LAST_PORT and _is_free(first + 1):
            return first


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
