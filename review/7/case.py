"""Lasting subtasks that fit nowhere keep all workers free of other work."""

import asyncio
import sys

import stage as stages

SERVICE = 'routing'
WORKERS = 6

FIRST = '0000000000000001'
LARGE = '0000000000000002'
SHORT_JOBS = 5

#: Memory in MB: a worker has 64,000.
FIRST_MEMORY = 16_000
LARGE_MEMORY = 52_000
SHORT_MEMORY = 1_000

#: Seconds for a short job: the finish time of the site, and 3 s.
PATIENCE_SECONDS = 20


async def play(stage):
    """Hand in a lasting job that doesn't fit, and short jobs after it."""
    stage.workers = [
        stages.Worker(stage, number, SERVICE, 16000)
        for number in range(WORKERS)
    ]
    routes = [('watch', SERVICE, {}), ('plan', SERVICE, {})]
    await stage.start(stages.make_config(routes, [SERVICE]))
    if not await stage.wait_ready():
        return None
    step = {
        'count': WORKERS,
        'cpu': 1000,
        'mem_mb': FIRST_MEMORY,
        'long_running': True,
        'anti_affinity': 1,
    }
    body = {'spec': '1000 done', 'steps': [step]}
    if await stage.submit(f'/watch/{FIRST}', body) != 200:
        return None
    await asyncio.sleep(3)
    if stages.has_trouble():
        large = step | {'mem_mb': LARGE_MEMORY}
        body = {'spec': '1000 done', 'steps': [large]}
        if await stage.submit(f'/watch/{LARGE}', body) != 200:
            return None
        await asyncio.sleep(1)
    short = {'count': 2, 'cpu': 500, 'mem_mb': SHORT_MEMORY}
    body = {'spec': '1 done', 'steps': [short]}
    names = [f'{number:016x}' for number in range(16, 16 + SHORT_JOBS)]
    accepted = [
        name
        for name in names
        if await stage.submit(f'/plan/{name}', body) == 200
    ]
    if not accepted:
        return None
    await asyncio.sleep(PATIENCE_SECONDS)
    states = []
    for name in accepted:
        _, answer = await stage.call('GET', f'/plan/{name}')
        states.append(answer.get('state'))
    held = set(states) == {'completed'}
    stage.record.note(
        'verdict', accepted=len(accepted), states=states, held=held
    )
    return held


if __name__ == '__main__':
    sys.exit(stages.run_case(play))
