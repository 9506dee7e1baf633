"""Free ports on the loopback address."""

import contextlib
import socket

LOOPBACK = '127.0.0.1'


def find_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, each one once."""
    with contextlib.ExitStack() as held:
        probes = [held.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((LOOPBACK, 0))
        return [bound.getsockname()[1] for bound in probes]
