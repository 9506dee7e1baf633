"""Cost of an entry, compared with a bare relay that uses the same libraries.

``python -m bench.relay`` prints a table and writes
``bench/results/relay.json``.
"""

import asyncio
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from bench.meters import TrafficMeter, describe_run, read_cpu, read_memory
from examples.ports import find_free_ports
from examples.site import LocalSite
from examples.sites import CALEDON

RESULTS = Path(__file__).parent / 'results' / 'relay.json'

#: Requests of one measured round, and number that run at the same time.
REQUESTS = 2000
CONCURRENCY = 16

#: Requests sent one after the other, for the latency of an idle system.
SEQUENTIAL_REQUESTS = 300

#: Number of rounds; the median is reported.
ROUNDS = 5

#: Duration of the measurement of the idle site, in seconds.
IDLE_SECONDS = 30.0

#: Seconds between two samples of the sockets.
SAMPLE_SECONDS = 0.5

BODY = b'{"sacks": 4}'


async def send_many(session, url):
    """Send the requests of one round and return the elapsed seconds."""
    remaining = iter(range(REQUESTS))
    started = time.monotonic()
    await asyncio.gather(
        *(send_all(session, url, remaining) for _ in range(CONCURRENCY))
    )
    return time.monotonic() - started


async def send_all(session, url, remaining):
    """Send requests until none remain.

    :param session: HTTP client session.
    :param url: URL of the requests.
    :param remaining: iterator shared by all senders, with one item for each
        request of the round.
    :raises RuntimeError: if the status of a response is not 200.
    """
    for _ in remaining:
        async with session.post(url, data=BODY) as response:
            await response.read()
            if response.status != 200:
                raise RuntimeError(f'{url} answered {response.status}')


async def measure_latency(session, url):
    """Return the median latency of single requests, in seconds."""
    times = []
    for _ in range(SEQUENTIAL_REQUESTS):
        started = time.perf_counter()
        async with session.post(url, data=BODY) as response:
            await response.read()
        times.append(time.perf_counter() - started)
    return statistics.median(times)


async def measure_round(session, url, pids):
    """Measure one round of requests.

    :param pids: processes whose CPU time is read.
    :returns: CPU seconds per request of the first process and of all, and
        requests per second.
    """
    before = [read_cpu(pid) for pid in pids]
    elapsed = await send_many(session, url)
    cpu_seconds = [
        read_cpu(pid) - start for pid, start in zip(pids, before, strict=True)
    ]
    return (
        cpu_seconds[0] / REQUESTS,
        sum(cpu_seconds) / REQUESTS,
        REQUESTS / elapsed,
    )


async def measure_idle(pids):
    """Return CPU, memory and traffic of each daemon without any request."""
    cpu = [read_cpu(pid) for pid in pids]
    traffic = TrafficMeter(pids)
    end = time.monotonic() + IDLE_SECONDS
    while time.monotonic() < end:
        await asyncio.sleep(SAMPLE_SECONDS)
        traffic.sample()
    return [
        {
            'cpu_share': (read_cpu(pid) - cpu[index]) / IDLE_SECONDS,
            'resident_mb': read_memory(pid) / 1e6,
            'bytes_per_second': (traffic.read(pid) / IDLE_SECONDS),
        }
        for index, pid in enumerate(pids)
    ]


async def measure(local):
    """Run all measurements on a running site."""
    description = local.describe()
    pids = [entry['pid'] for entry in description['entries']]
    target = next(
        row for row in description['targets'] if row['service'] == 'booking'
    )
    address = target['url'].removeprefix('http://')
    port = find_free_ports(1)[0]
    relay_pid = local.processes.start(
        'relay', 'bench.barerelay', str(port), address
    )
    idle = await measure_idle(pids)
    urls = {
        'target': f'{target["url"]}/visits',
        'relay': f'http://127.0.0.1:{port}/visits',
        'entry': f'{description["entries"][0]["url"]}/booking/visits',
    }
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        rounds = []
        for _ in range(ROUNDS):
            relay = await measure_round(session, urls['relay'], [relay_pid])
            entry = await measure_round(session, urls['entry'], pids)
            latency = {
                name: await measure_latency(session, url)
                for name, url in urls.items()
            }
            rounds.append(describe_round(relay, entry, latency))
    return {'run': describe_run(), 'idle': idle, 'rounds': rounds}


def describe_round(relay, entry, latency):
    """Return the figures and ratios of one round.

    :param relay: result of ``measure_round`` for the bare relay.
    :param entry: result of ``measure_round`` for the daemons, the entry first.
    :param latency: median latency of target, relay and entry.
    """
    added = latency['entry'] - latency['target']
    relay_added = latency['relay'] - latency['target']
    return {
        'relay_cpu_us': relay[0] * 1e6,
        'entry_cpu_us': entry[0] * 1e6,
        'all_daemons_cpu_us': entry[1] * 1e6,
        'relay_per_second': relay[2],
        'entry_per_second': entry[2],
        'cpu_ratio': entry[0] / relay[0],
        'added_ms': added * 1e3,
        'relay_added_ms': relay_added * 1e3,
        'latency_ratio': added / relay_added,
    }


def print_table(results):
    """Print median, minimum and maximum of each figure, and the idle cost."""
    sys.stdout.write(f'{"figure":22}{"median":>10}{"least":>10}{"most":>10}\n')
    for name in results['rounds'][0]:
        row = [round_[name] for round_ in results['rounds']]
        median = statistics.median(row)
        sys.stdout.write(
            f'{name:22}{median:10.2f}{min(row):10.2f}{max(row):10.2f}\n',
        )
    for name in results['idle'][0]:
        row = [daemon[name] for daemon in results['idle']]
        median = statistics.median(row)
        sys.stdout.write(
            f'{"idle " + name:22}{median:10.3f}'
            f'{min(row):10.3f}{max(row):10.3f}\n',
        )


async def run(folder):
    """Start a site, run the measurements and stop the site."""
    local = LocalSite(CALEDON, folder)
    try:
        await local.start()
        return await measure(local)
    finally:
        local.stop()


def main():
    """Run the measurements, print a table and write the JSON file."""
    with tempfile.TemporaryDirectory(prefix='verbenapost-') as folder:
        results = asyncio.run(run(Path(folder)))
    print_table(results)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=2) + '\n')


if __name__ == '__main__':
    main()
