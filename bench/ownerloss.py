"""Time to full throughput after the owner of a loaded queue is killed.

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

#: Number of runs, each with a new site.
RUNS = 5

#: Number of callers, each with one request at a time; the service has 48
#: slots.
CALLERS = 60

#: Minimum and maximum run time of a request, in seconds. Requests of equal
#: run time would stay in lockstep.
MIN_RUN_SECONDS = 0.2
MAX_RUN_SECONDS = 0.6

#: Seed of the run times.
SEED = 4

#: Duration of the load before and after the kill, in seconds.
SECONDS_BEFORE = 5.0
SECONDS_AFTER = 6.0

#: Length of a window, and interval between the starts of two windows, in
#: seconds.
WINDOW_SECONDS = 1.2
STEP_SECONDS = 0.1

#: Fraction of the rate before the kill that counts as full throughput.
FULL_FRACTION = 0.9


class LoadGenerator:
    """Sends requests to the daemons that stay alive.

    Callers of the killed daemon are assumed to use another one.

    :param urls: URLs of the daemons that stay alive.
    """

    def __init__(self, urls):
        self.completed_at = []
        self.failed = []
        self._urls = itertools.cycle(urls)
        self._rng = random.Random(SEED)

    async def call(self, session, until):
        """Send one request after the other.

        :param session: HTTP client session.
        :param until: monotonic time after which no request is sent.
        """
        url = f'{next(self._urls)}/{SERVICE}/visits'
        while time.monotonic() < until:
            seconds = self._rng.uniform(MIN_RUN_SECONDS, MAX_RUN_SECONDS)
            headers = {'X-Run-Seconds': str(seconds)}
            async with session.post(url, headers=headers) as answer:
                text = await answer.text()
            now = time.monotonic()
            if answer.status == 200:
                self.completed_at.append(now)
            else:
                self.failed.append((now, text))


def compute_window_rates(completed_at, start, seconds):
    """Return the completed requests per second of overlapping windows.

    :param completed_at: completion times of the requests.
    :param start: start of the first window.
    :param seconds: span that the windows cover.
    """
    steps = int((seconds - WINDOW_SECONDS) / STEP_SECONDS) + 1
    starts = [start + step * STEP_SECONDS for step in range(steps)]
    return [
        sum(begin <= moment < begin + WINDOW_SECONDS for moment in completed_at)
        / WINDOW_SECONDS
        for begin in starts
    ]


def find_recovery(rates, rate):
    """Return the seconds until the first window after the last low one.

    A window is low if its rate is below ``FULL_FRACTION`` of the rate before.

    :param rates: rates of the windows after the kill.
    :param rate: rate before the kill.
    """
    low = [
        index + 1
        for index, window_rate in enumerate(rates)
        if window_rate < FULL_FRACTION * rate
    ]
    return max(low, default=0) * STEP_SECONDS


async def measure(local, signal_number):
    """Signal the queue owner under load and return the figures.

    :param local: running site.
    :param signal_number: signal that the owner gets.
    """
    entries = local.describe()['entries']
    names = [entry['name'] for entry in entries]
    owner = pick_owner(f'queue/{SERVICE}', names)
    load = LoadGenerator(
        [row['url'] for row in entries if row['name'] != owner]
    )
    started = time.monotonic()
    until = started + SECONDS_BEFORE + SECONDS_AFTER
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            asyncio.create_task(load.call(session, until))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(SECONDS_BEFORE)
        killed_at = time.monotonic()
        local.processes.send_signal(owner, signal_number)
        await asyncio.gather(*callers)
    span = SECONDS_BEFORE - 2
    before = [
        row for row in load.completed_at if killed_at - span <= row < killed_at
    ]
    rate = len(before) / span
    baseline = compute_window_rates(load.completed_at, killed_at - span, span)
    windows = compute_window_rates(
        load.completed_at, killed_at, SECONDS_AFTER - 0.5
    )
    return {
        'rate_before': rate,
        'seconds_to_full': find_recovery(windows, rate),
        'lowest_before': min(baseline) / rate,
        'lowest_after': min(windows) / rate,
        'windows': windows,
        'failed': [text for _, text in load.failed][:3],
        'failed_count': len(load.failed),
    }


async def run(signal_number):
    """Start a site, run the measurement and stop the site."""
    with tempfile.TemporaryDirectory(prefix='verbenapost-') as folder:
        local = LocalSite(CALEDON, Path(folder))
        try:
            await local.start()
            return await measure(local, signal_number)
        finally:
            local.stop()


def main():
    """Run the measurements, print a table and write the JSON file."""
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
