"""The open connections to the workers go silent once; new ones work."""

import asyncio
import time

from deployment import make_route, make_service, run_case

WATCH, PLAN = '/watch/', '/plan/'
LASTING_JOB = '5c0e7a21d94b36f8'
LASTING = {
    'count': 5,
    'cpu': 2000,
    'mem_mb': 500,
    'estimate_ms': 700,
    'long_running': True,
    'may_miss': 1,
}
SHORT = {'count': 22, 'cpu': 1000, 'mem_mb': 100, 'estimate_ms': 400}

#: Seconds before and after the connections go silent, and between two jobs.
BEFORE_SECONDS = 6
AFTER_SECONDS = 40
INTERVAL = 0.5

#: The queue's demand comes by turns: seconds without a job around that moment.
PAUSE_BEFORE_SECONDS = 1
PAUSE_AFTER_SECONDS = 12.5

#: A lasting subtask may be without a run for 6 s after its last one, and then
#: for less than 3 s, with 4 s before them that are calm.
GAP_SECONDS = 6 + 3
CALM_SECONDS = 4


async def play(deployment, trouble):
    """Run a lasting job and short ones; look for gaps of the lasting one."""
    platform = deployment.platform
    for rack in ('r1', 'r2', 'r3'):
        await platform.add_machine('routing', cpu=16000, rack=rack)
    platform.configure(
        1,
        [
            make_route('watch', WATCH, 'routing', target_latency_ms=2500),
            make_route('plan', PLAN, 'routing'),
        ],
        [make_service('routing')],
    )
    await deployment.start_daemons(2)
    await deployment.submit(WATCH, LASTING_JOB, [LASTING], 'text')
    await asyncio.sleep(1)
    await _submit_jobs(deployment, BEFORE_SECONDS)
    await asyncio.sleep(PAUSE_BEFORE_SECONDS)
    silent_at = time.monotonic()
    if trouble:
        platform.silence_workers()
    await asyncio.sleep(PAUSE_AFTER_SECONDS)
    await _submit_jobs(deployment, AFTER_SECONDS - PAUSE_AFTER_SECONDS)
    await deployment.read_state(WATCH, LASTING_JOB)
    return list(_find_gaps(deployment, silent_at))


async def _submit_jobs(deployment, seconds):
    """Submit two jobs at a time, which ask for more than the pool holds."""
    for _ in range(round(seconds / INTERVAL)):
        first = len(deployment.platform.jobs)
        await asyncio.gather(
            *(
                deployment.submit_once(
                    PLAN, f'{first + index:016x}', [SHORT], 'work_ms=400', row
                )
                for index, row in enumerate(deployment.daemons)
            )
        )
        await asyncio.sleep(INTERVAL)


def _find_gaps(deployment, silent_at):
    platform = deployment.platform
    now = time.monotonic()
    for index in range(LASTING['count']):
        task = f'{LASTING_JOB}.0.0.{index}'
        starts = [row[0] for row in platform.starts if row[2] == task]
        ends = [row[0] for row in platform.ends if row[2] == task]
        if not starts:
            yield f'LOST: {task} has never run'
        for end in ends:
            start = min((at for at in starts if at > end), default=now)
            calm_from = max(end + GAP_SECONDS - 3, silent_at + CALM_SECONDS)
            if start - calm_from >= 3:
                yield (
                    f'LOST: {task} had no run for {start - end:.1f} s, from '
                    f'{end - silent_at:.1f} s after the connections went '
                    'silent, with all workers up and empty'
                )


run_case(play, __file__)
