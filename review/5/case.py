"""A queue is removed while a job of it runs, and the daemons are restarted."""

import asyncio

from deployment import NotRunError, make_route, make_service, run_case

JOB = '5c0e7a21d94b36f8'
PREFIX = '/plan/'
STEP = {'count': 3, 'cpu': 1000, 'mem_mb': 100, 'estimate_ms': 9000}
MAX_ATTEMPTS = 4

#: Seconds for which a run of the job works, and for which one fails.
WORK_SECONDS = 14
FAILED_SECONDS = 12


async def play(deployment, trouble):
    """Let one run of a job fail once after a restart."""
    platform = deployment.platform
    for _ in range(3):
        await platform.add_machine('routing')
    plan = make_route('plan', PREFIX, 'routing', max_attempts=MAX_ATTEMPTS)
    other = make_route('other', '/other/', 'routing')
    services = [make_service('routing')]
    platform.configure(1, [plan, other], services)

    def draw_run(_worker, task, _run):
        failed = task.endswith('.0') and not any(
            end[2] == task for end in platform.ends
        )
        if failed:
            return FAILED_SECONDS, 'failed'
        return WORK_SECONDS, 'done'

    platform.draw_run = draw_run
    await deployment.start_daemons(2)
    await deployment.submit(PREFIX, JOB, [STEP], 'text')
    await asyncio.sleep(0.5)
    if trouble:
        platform.configure(2, [other], services)
    await asyncio.sleep(0.5)
    for daemon in deployment.daemons:
        await daemon.restart()
        await deployment.wait_ready()
        deployment.record(f'operator: {daemon.name} was stopped and started')
    if trouble:
        platform.configure(3, [plan, other], services)
    await _wait_for_end(platform)
    state = ''
    for _ in range(35):
        state = await deployment.read_state(PREFIX, JOB)
        if state in {'completed', 'failed', 'cancelled'}:
            break
        await asyncio.sleep(1)
    ends = [how for *_, how in platform.ends if how == 'failed']
    deployment.record(f'ends failed: {len(ends)}, max_attempts {MAX_ATTEMPTS}')
    if state == 'completed':
        return []
    return [
        f'LOST: job {JOB} is shown as {state} after {len(ends)} failed run; '
        f'max_attempts is {MAX_ATTEMPTS}'
    ]


async def _wait_for_end(platform):
    for _ in range(400):
        await asyncio.sleep(0.1)
        if any(how == 'failed' for *_, how in platform.ends):
            return
    raise NotRunError('no run has failed')


run_case(play, __file__)
