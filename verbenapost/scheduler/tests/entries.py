"""Entries that no worker of the world has written."""

import json

from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.platform.tests.entries import ENTRY

#: The year 3000 in Unix milliseconds.
FAR_FUTURE_MS = 32_503_680_000_000

ODD_ENTRY = ENTRY | {'machine': 'vm-odd', 'born': FAR_FUTURE_MS}


def write_entry(world, name='odd', **changed):
    """Write an entry that no worker of the world has written."""
    value = json.dumps(ODD_ENTRY | changed).encode()
    world.store.write(f'{WORKER_PREFIX}{name}', value)
