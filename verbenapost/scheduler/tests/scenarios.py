"""Steps that scenarios in virtual time share."""

import asyncio
import json

from standins.fleet.rules import find_violations
from standins.fleet.waves import find_wave_violations

STEPS = [
    {'count': 3, 'cpu': 1000, 'mem_mb': 100},
    {'count': 2, 'cpu': 500, 'mem_mb': 100, 'after': [0]},
]

COMPLETED = '{"state":"completed"}'
FAILED = '{"state":"failed"}'


def name_job(number):
    """Return the identity of a job that ends by itself."""
    return f'{number:016x}'


def name_long_running(number):
    """Return the identity of a job that runs until it is cancelled."""
    return f'1a57{number:012x}'


def name_crashing(number):
    """Return the identity of a job whose first task crashes its workers."""
    return f'c4a5{number:012x}'


async def wait_for_leader(world, seconds=20):
    """Return the daemon that leads."""
    for _ in range(seconds * 20):
        leader = world.find_leader()
        if leader is not None:
            return leader
        await asyncio.sleep(0.05)
    raise AssertionError('nobody leads')


async def read_states(world, daemon='d0'):
    """Return the answers to a query of each accepted job."""
    states = {}
    for job in world.accepted:
        answer = await world.call('GET', job, daemon=daemon)
        states[job] = answer.body.decode()
    return states


def check_rules(world):
    """Return the violations in the history of all runs and waves."""
    capacities = {name: row.capacity.cpu for name, row in world.workers.items()}
    return [
        *find_violations(world.history, world.accepted, capacities),
        *find_wave_violations(world.wave_history),
    ]


async def complete_jobs(world, numbers, seconds=15):
    """Submit jobs and return the answers and the states after some seconds."""
    answers = [
        (await world.submit(name_job(number), STEPS, 'd1')).status
        for number in numbers
    ]
    await asyncio.sleep(seconds)
    leader = await wait_for_leader(world)
    states = await read_states(world, leader.name)
    return set(answers), set(states.values())


def read_wave_state(world, number):
    """Return the state that callers see of a wave, ``None`` without one."""
    item = world.store.items.get(f'status/wave/{number}')
    return None if item is None else json.loads(item.value)['state']
