"""Free ports on the loopback address."""

import contextlib
import random
import socket

LOOPBACK = '127.0.0.1'

#: Ports below those that the system gives to outgoing connections, which
#: could take a port between the look and the start of its server.
FIRST_PORT = 10_000
LAST_PORT = 32_000

_RANDOM = random.SystemRandom()


def find_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, each one once."""
    wanted = _RANDOM.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT // 4)
    found: list[int] = []
    with contextlib.ExitStack() as held:
        for port in wanted:
            probe = held.enter_context(socket.socket())
            if _is_free(probe, port):
                found.append(port)
            if len(found) == count:
                return found
    raise OSError(f'there are no {count} free ports')


def _is_free(probe: socket.socket, port: int) -> bool:
    try:
        probe.bind((LOOPBACK, port))
    except OSError:
        return False
    return True
