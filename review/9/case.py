"""A lasting subtask ends `done`, and has to be started again."""

import asyncio
import sys

import stage as stages

JOB = '00000000000000a8'
PATH = f'/watch/{JOB}'

#: Seconds after which the run of the first subtask ends.
RUN_SECONDS = 4

#: The rule holds from 6 s after the last run, for 3 s.
RULE_SECONDS = 9


async def play(stage):
    """Hand a lasting job in and watch its subtasks."""
    stage.workers = [
        stages.Worker(stage, number, 'routing', 16000) for number in range(6)
    ]
    config = stages.make_config([('watch', 'routing', {})], ['routing'])
    await stage.start(config)
    if not await stage.wait_ready():
        return None
    # The text of a job says how long each of its runs lasts.
    seconds = RUN_SECONDS if stages.has_trouble() else 1000
    step = {'count': 1, 'cpu': 1000, 'mem_mb': 500, 'long_running': True}
    body = {'spec': f'{seconds} done', 'steps': [step]}
    if await stage.submit(PATH, body) != 200:
        return None
    await asyncio.sleep(RUN_SECONDS + 1)
    if not any(kind == 'start' for kind, *_ in stage.runs):
        return None
    await asyncio.sleep(RULE_SECONDS + 2)
    _, answer = await stage.call('GET', PATH)
    starts = [row for row in stage.runs if row[0] == 'start']
    ends = [row for row in stage.runs if row[0] != 'start']
    # Each run that ended has to be followed by another one.
    held = len(starts) > len(ends) and answer.get('state') == 'running'
    stage.record.note(
        'verdict', starts=len(starts), ends=len(ends), state=answer, held=held
    )
    return held


if __name__ == '__main__':
    sys.exit(stages.run_case(play))
