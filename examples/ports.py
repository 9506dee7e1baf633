"""Free ports on the loopback address."""

import contextlib
import random
import socket

LOOPBACK = '127.0.0.1'

#: Ports to choose from. Those above are handed out to outgoing connections,
#: which could take the port of a daemon before it starts or starts again.
FIRST_PORT = 10_240
LAST_PORT = 32_767


def find_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, each one once.

    :raises LookupError: when there are not enough.
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


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
