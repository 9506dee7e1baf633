"""A rack crashes, and the leader is killed while its workers are away."""

import asyncio
import signal

from deployment import make_route, make_service, run_case

PREFIX = '/match/'
STEP = {'count': 2, 'cpu': 500, 'mem_mb': 100, 'estimate_ms': 300}
TERMS = {'decide_ms': 250, 'period_ms': 10, 'valid_ms': 3000}

#: Seconds between two jobs, and the number of jobs.
INTERVAL = 0.3
JOBS = 60

#: Seconds after the first job at which the rack crashes, for how long, and
#: seconds after that at which the leader is killed.
CRASH_AT = 1.5
CRASH_SECONDS = 7.4
KILL_AFTER = 4.7

#: Seconds after which the platform starts a killed process again.
RESTART_SECONDS = 1.0

#: Seconds after the last job at which jobs are asked for (``finish_s``).
FINISH_SECONDS = 14


async def play(deployment, trouble):
    """Submit jobs to a queue with a policy; another service loses its rack."""
    platform = deployment.platform
    platform.advice = TERMS
    for _ in range(2):
        await platform.add_machine('booking', rack='r1')
    for _ in range(2):
        await platform.add_machine('weighing', rack='r2')
    platform.configure(
        1,
        [
            make_route('match', PREFIX, 'booking', recommendation=TERMS),
            make_route('recon', '/recon/', 'weighing'),
        ],
        [make_service('booking'), make_service('weighing')],
    )
    await deployment.start_daemons(3, advice=True)
    troubling = platform.spawn(_trouble(deployment)) if trouble else None
    accepted = []
    for number in range(JOBS):
        job = f'{number + 1:016x}'
        daemon = deployment.daemons[number % len(deployment.daemons)]
        status = await deployment.submit_once(
            PREFIX, job, [STEP], 'work_ms=300', daemon, advised=True
        )
        if status == 200:
            accepted.append(job)
        await asyncio.sleep(INTERVAL)
    if troubling is not None:
        await troubling
    await asyncio.sleep(FINISH_SECONDS - 3)
    before = {row[2].partition('.')[0] for row in platform.starts}
    running = len(platform.starts) - len(platform.ends)
    await asyncio.sleep(3)
    started = {row[2].partition('.')[0] for row in platform.starts}
    broken = []
    for job in accepted:
        state = await deployment.read_state(PREFIX, job)
        if state != 'completed' and job not in before | started:
            broken.append(
                f'LOST: job {job} is shown as {state} {FINISH_SECONDS} s after '
                f'the end of the traffic; it has never run, and {running} runs '
                'were there 3 s before'
            )
    return broken


async def _trouble(deployment):
    await asyncio.sleep(CRASH_AT)
    await deployment.platform.crash_rack('r2', CRASH_SECONDS)
    await asyncio.sleep(KILL_AFTER)
    leader = deployment.find_leader()
    deployment.record(f'platform: {leader.name} is killed')
    leader.send(signal.SIGKILL)
    await leader.process.wait()
    await asyncio.sleep(RESTART_SECONDS)
    await leader.start()


run_case(play, __file__)
