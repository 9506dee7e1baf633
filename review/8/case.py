"""A job whose cancelling was answered with 410 is started later."""

import asyncio
import sys
import time

import stage as stages

SERVICE = 'routing'
JOB = '00000000000000ab'
PATH = f'/plan/{JOB}'

#: Seconds by which one write is late; the platform's are 1 to 6.
LATE_SECONDS = 5.5

#: Seconds that the caller waits for its submission.
CALLER_SECONDS = 1.0

#: Seconds after the answer to a cancel from which nothing may start.
CANCEL_SECONDS = 3.0

#: Jobs of other callers, whose writes the store answers: it loses the answers
#: of 0.35 of the writes at most.
OTHER_JOBS = 4


def count_starts(stage):
    """Return the starts of the job's subtasks so far."""
    return sum(
        kind == 'start' and task.startswith(JOB)
        for kind, _, task, _ in stage.runs
    )


async def play(stage):
    """Let a submission get no answer in time, and cancel it."""
    stage.workers = [
        stages.Worker(stage, number, SERVICE, 16000) for number in range(6)
    ]
    await stage.start(stages.make_config([('plan', SERVICE, {})], [SERVICE]))
    if not await stage.wait_ready():
        return None
    lost = []

    def find_delay(body):
        mine = any(JOB in row['key'] for row in body.get('writes', ()))
        if not mine or lost:
            return 0
        lost.append(time.monotonic())
        stage.record.note('write-late', seconds=LATE_SECONDS)
        return LATE_SECONDS

    step = {'count': 2, 'cpu': 500, 'mem_mb': 100}
    for number in range(OTHER_JOBS):
        other = {'spec': '1 done', 'steps': [step]}
        await stage.submit(f'/plan/{number:016x}', other)
    if stages.has_trouble():
        stage.store.find_delay = find_delay
    body = {'spec': '8 done', 'steps': [step]}
    submitted, _ = await stage.call('POST', PATH, body, 0, CALLER_SECONDS)
    cancelled, _ = await stage.call('DELETE', PATH, daemon=1)
    if cancelled not in {200, 410}:
        return None
    await asyncio.sleep(CANCEL_SECONDS)
    before = count_starts(stage)
    await asyncio.sleep(LATE_SECONDS)
    late = count_starts(stage) - before
    _, answer = await stage.call('GET', PATH)
    held = not late
    stage.record.note(
        'verdict',
        submitted=submitted,
        cancelled=cancelled,
        started_late=late,
        state=answer,
        held=held,
    )
    return held


if __name__ == '__main__':
    sys.exit(stages.run_case(play))
