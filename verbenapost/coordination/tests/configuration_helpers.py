"""Helpers for the configuration tests."""

import random

from standins.memorystore import MemoryStore
from verbenapost.coordination.changes import ChangeRequest
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.documents import Clocks
from verbenapost.coordination.rights import OperatorToken, Rights, Role
from verbenapost.coordination.writes import ResolvingWriter

#: Unix time at the start of the virtual time.
START_TIME = 1_790_000_000.0

ROOT = Rights('kim', (OperatorToken('kim', '', '/', Role.WRITE),))

PLATFORM = {
    'pools': {
        'counter': {'vms': 6},
        'ledger': {'vms': 4},
        'clerical': {'vms': 6, 'spare': True},
    }
}


def make_service(core, now, instance='a', seed=1, kept=40, **faults):
    """Return a configuration service and its client of a shared store.

    :param core: the shared store.
    :param faults: attributes of the client's faults.
    """
    store = MemoryStore(core, now, seed)
    for name, setting in faults.items():
        setattr(store.faults, name, setting)
    writer = ResolvingWriter(store, now, random.Random(seed))
    clocks = Clocks(lambda: START_TIME + now(), now)
    return ConfigurationService(store, instance, writer, clocks, kept), store


def make_team(service='counter-orders', pool='counter', **fields):
    """Return a team document with one service."""
    return {'services': {service: {'pool': pool, **fields}}}


async def publish(service, team, document, expected=None, rights=ROOT):
    """Apply a document with a fixed author and reason."""
    request = ChangeRequest('kim', 'because', team, document, expected)
    return await service.apply(request, rights)
