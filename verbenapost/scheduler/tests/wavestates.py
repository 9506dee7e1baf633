"""The states of a wave that scenarios in virtual time check."""

import json

from standins.fleet.world import SERVICE

STATUS_KEY = 'status/wave/1'


def find_pool_vms(world):
    """Return the names of the pool's VMs, in order."""
    return sorted(
        row.vm for row in world.cloud.list_vms() if row.pool == SERVICE
    )


def follow_states(world):
    """Return a list to which each stored state of wave 1 will be added.

    :returns: rows of the state and the VMs that had begun by then.
    """
    states = []
    write = world.store._put

    def put(key, value, lease):
        if key == STATUS_KEY:
            begun = frozenset(row.vm for row in world.cloud.maintained)
            states.append((json.loads(value)['state'], begun))
        return write(key, value, lease)

    world.store._put = put
    return states


def find_completed(states):
    """Return the VMs that had begun at each completion that was stored."""
    return [begun for state, begun in states if state == 'completed']


def list_since_completion(states):
    """Return the stored states from the first completion on."""
    names = [state for state, _ in states]
    return names[names.index('completed') :]
