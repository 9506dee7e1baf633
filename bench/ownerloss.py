"""Time to full service after the owner of a loaded queue is killed.

``python -m bench.ownerloss`` kills the daemon that owns a queue under load,
prints a table and writes ``bench/results/ownerloss.json``.
"""

import asyncio
import itertools
import json
import random
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from bench.meters import describe_run
from examples.site import LocalSite
from examples.sites import CALEDON
from verbenapost.coordination.ownership import pick_owner

RESULTS = Path(__file__).parent / 'results' / 'ownerloss.json'

SERVICE = 'booking'

#: Runs, each on a site of its own.
RUNS = 5

#: Callers, each with one request at a time; the service has 48 slots.
CALLERS = 60

#: Seconds of the shortest and longest run; equal ones would keep in step.
SHORTEST_RUN = 0.2
LONGEST_RUN = 0.6

#: Seed of the run times.
SEED = 4

#: Seconds of load before and after the kill.
BEFORE = 5.0
AFTER = 6.0

#: Seconds of one window and between two of them.
WINDOW = 1.2
STEP = 0.1

#: Part of the rate before that counts as full.
FULL_PART = 0.9


class Load:
    """Callers that stop for the killed daemon and use the other ones.

    :param urls: addresses of the daemons that stay.
    """

    def __init__(self, urls):
        self.ended = []
        self.failed = []
        self._urls = itertools.cycle(urls)
        self._chance = random.Random(SEED)

    async def call(self, session, until):
        """Send one request after the other."""
        url = f'{next(self._urls)}/{SERVICE}/visits'
        while time.monotonic() < until:
            seconds = self._chance.uniform(SHORTEST_RUN, LONGEST_RUN)
            headers = {'X-Run-Seconds': str(seconds)}
            async with session.post(url, headers=headers) as answer:
                text = await answer.text()
            now = time.monotonic()
            if answer.status == 200:
                self.ended.append(now)
            else:
                self.failed.append((now, text))


def count_windows(ended, start, seconds):
    """Return the rates of overlapping windows from a start on."""
    steps = int((seconds - WINDOW) / STEP) + 1
    starts = [start + step * STEP for step in range(steps)]
    return [
        sum(begin <= moment < begin + WINDOW for moment in ended) / WINDOW
        for begin in starts
    ]


def find_full(rates, rate):
    """Return the start of the first window after the last low one."""
    low = [
        index + 1
        for index, shown in enumerate(rates)
        if shown < FULL_PART * rate
    ]
    return max(low, default=0) * STEP


async def measure(local, signal_number):
    """Kill the owner under load and return the figures."""
    entries = local.describe()['entries']
    names = [entry['name'] for entry in entries]
    owner = pick_owner(f'queue/{SERVICE}', names)
    load = Load([row['url'] for row in entries if row['name'] != owner])
    started = time.monotonic()
    until = started + BEFORE + AFTER
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            asyncio.create_task(load.call(session, until))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(BEFORE)
        killed_at = time.monotonic()
        local.processes.send_signal(owner, signal_number)
        await asyncio.gather(*callers)
    span = BEFORE - 2
    before = [row for row in load.ended if killed_at - span <= row < killed_at]
    rate = len(before) / span
    steady = count_windows(load.ended, killed_at - span, span)
    windows = count_windows(load.ended, killed_at, AFTER - 0.5)
    return {
        'rate_before': rate,
        'seconds_to_full': find_full(windows, rate),
        'lowest_before': min(steady) / rate,
        'lowest_after': min(windows) / rate,
        'windows': windows,
        'failed': [text for _, text in load.failed][:3],
        'failed_count': len(load.failed),
    }


async def run(signal_number):
    """Start a site, measure and stop it."""
    with tempfile.TemporaryDirectory(prefix='verbenapost-') as folder:
        local = LocalSite(CALEDON, Path(folder))
        try:
            await local.start()
            return await measure(local, signal_number)
        finally:
            local.stop()


def main():
    """Measure, print and write the JSON."""
    rounds = []
    for _ in range(RUNS):
        row = asyncio.run(run(signal.SIGKILL))
        rounds.append(row)
        sys.stdout.write(
            f'full after {row["seconds_to_full"]} s, '
            f'{row["rate_before"]:.0f} a second before, '
            f'lowest window {row["lowest_after"]:.2f} '
            f'(before the kill {row["lowest_before"]:.2f}), '
            f'{row["failed_count"]} failed\n',
        )
    seconds = [row['seconds_to_full'] for row in rounds]
    sys.stdout.write(
        f'median {statistics.median(seconds):.2f} s '
        f'({min(seconds):.2f} to {max(seconds):.2f})\n',
    )
    text = json.dumps({'run': describe_run(), 'rounds': rounds}, indent=2)
    RESULTS.write_text(f'{text}\n')


if __name__ == '__main__':
    main()
