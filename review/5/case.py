"""A leader is stopped while its order of an upkeep has no answer yet."""

import asyncio

from deployment import NotRunError, make_route, make_service, run_case
from platformstandin import ANSWERED, LATE

#: Seconds after which the order is carried out; the bench's range is 2 to 12.
LATE_SECONDS = 7.6
CAP = 2

JOB = '5c0e7a21d94b36f8'
PREFIX = '/plan/'
STEP = {'count': 2, 'cpu': 1000, 'mem_mb': 100, 'estimate_ms': 9000}


async def play(deployment, trouble):
    """Request a wave; the answer to its first order is not given."""
    platform = deployment.platform
    machines = [await platform.add_machine('routing') for _ in range(8)]
    platform.configure(
        1,
        [make_route('plan', PREFIX, 'routing')],
        [make_service('routing')],
    )
    ordered = []

    def choose_fate(kind, machine):
        ordered.append(machine)
        if trouble and len(ordered) == 1:
            return LATE, LATE_SECONDS
        return ANSWERED, 0

    platform.choose_fate = choose_fate
    await deployment.start_daemons(3)
    platform.request_wave(1, [row.name for row in machines], 24, CAP)
    for _ in range(100):
        await asyncio.sleep(0.05)
        if ordered:
            break
    else:
        raise NotRunError('no upkeep was ordered')
    if trouble:
        leader = deployment.find_leader()
        deployment.record(f'platform: {leader.name} is stopped by SIGTERM')
        platform.spawn(leader.restart())
    await deployment.submit(PREFIX, JOB, [STEP], 'work_ms=9000')
    await asyncio.sleep(24)
    return [
        f'LIMIT: the upkeep of {machine} (wave {wave}, cap {CAP}) began while '
        f'{down} were down for theirs'
        for _, machine, wave, down in platform.upkeeps
        if len(down) >= CAP
    ]


run_case(play, __file__)
