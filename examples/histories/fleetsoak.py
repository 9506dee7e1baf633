"""Soak test of the platform's daemon: processes, faults and rules.

``python -m examples.histories.fleetsoak --seed=1 --minutes=1`` exits with 0
when all rules held and with 1 when one was violated. ``--code=FOLDER`` runs the
daemons of another version of the project.
"""

import asyncio
import collections
import dataclasses
import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import fire

from examples.ports import LOOPBACK, find_free_pair, find_free_ports
from examples.processes import ProcessGroup
from standins.fleet.rules import Violation, find_violations
from standins.fleet.served import ServedWorld
from standins.fleet.world import HOST, PREFIX, SERVICE
from verbenapost.platform.names import SETTINGS_VARIABLE

DAEMONS = ('front-1', 'front-2', 'front-3', 'front-4')

#: VMs in the pool and on standby at the start.
VMS = 6
STANDBY_VMS = 12

#: VMs of a wave, and those that may be down at the same time.
WAVE_VMS = 4
WAVE_CAP = 2

#: Seconds of a burst of short jobs and of the pause after it, within which the
#: pool grows and shrinks.
BURST_SECONDS = 6.0
QUIET_SECONDS = 8.0

#: Mean seconds between two jobs of a burst, and between two faults.
JOB_SECONDS = 0.13
FAULT_PAUSE_SECONDS = 2.0

#: Seconds after the faults within which all jobs are completed.
SETTLE_SECONDS = 40.0

#: Share of the faults of a daemon that meet the leader.
LEADER_SHARE = 0.7

#: Attempts of a caller to hand in a job.
ATTEMPTS = 6

MAX_PRINTED = 8

SHORT_STEPS = [
    {'count': 4, 'cpu': 2000, 'mem_mb': 100},
    {'count': 2, 'cpu': 1000, 'mem_mb': 100, 'after': [0]},
]
LONG_STEPS = [
    {
        'count': 5,
        'cpu': 1500,
        'mem_mb': 100,
        'long_running': True,
        'may_miss': 1,
    }
]

Fault = Callable[['FleetSoak'], Awaitable[None]]

FAULTS: dict[str, Fault] = {}


def register_fault(fault: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[fault.__name__] = fault
    return fault


@dataclasses.dataclass(slots=True)
class FleetSoak:
    """One run: its world, processes and random draws.

    :param world: the platform and its workers.
    :param processes: the daemons.
    :param rng: source of the random draws of load and faults.
    :param code: folder of the project whose daemons run.
    :param settings: folder of the settings files.
    :ivar accepted: jobs whose acceptance was answered.
    :ivar counts: faults, attempts and answers by kind.
    :ivar disturbed: daemons with an active fault.
    """

    world: Any
    processes: ProcessGroup
    rng: random.Random
    code: Path
    settings: Path
    accepted: dict[str, Any] = dataclasses.field(default_factory=dict)
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    disturbed: set[str] = dataclasses.field(default_factory=set)
    fronts: dict[str, str] = dataclasses.field(default_factory=dict)

    def write_settings(self, name: str) -> None:
        """Write the settings file of a daemon."""
        front, ready = find_free_ports(2)
        internal = find_free_pair()
        self.fronts[name] = f'{LOOPBACK}:{front}'
        platform = self.world.platforms[name]
        fields = {
            'daemon': name,
            'data_centre': 'a',
            'address': LOOPBACK,
            'listen': {
                'callers': self.fronts[name],
                'probes': f'{LOOPBACK}:{ready}',
                'internal_ports': [internal, internal + 1],
            },
            'store': {'address': platform},
            'cloud': {'address': platform},
            'bounds': {'fencing_required': True},
        }
        (self.settings / f'{name}.json').write_text(json.dumps(fields))

    def start_daemon(self, name: str) -> None:
        """Start a daemon."""
        self.processes.start(
            name,
            'verbenapost.scheduler',
            folder=self.code,
            variables={
                SETTINGS_VARIABLE: str(self.settings / f'{name}.json'),
                'PYTHONPATH': str(self.code),
            },
        )

    def start_daemons(self) -> None:
        """Write the settings of all daemons and start them."""
        for name in DAEMONS:
            self.write_settings(name)
            self.start_daemon(name)

    def choose_daemon(self) -> str | None:
        """Choose a daemon without a fault, mostly the leader."""
        free = sorted(set(DAEMONS) - self.disturbed)
        if len(free) <= 1:
            return None
        leading = self.world.find_leading()
        if leading in free and self.rng.random() < LEADER_SHARE:
            return str(leading)
        return self.rng.choice(free)

    async def restart_daemon(self, name: str) -> None:
        """Wait for the end of a daemon and start it again."""
        while self.processes.is_running(name):
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0, 1))
        self.start_daemon(name)
        await asyncio.sleep(2)

    async def call(
        self, session: aiohttp.ClientSession, method: str, path: str, body: Any
    ) -> tuple[int, str]:
        """Send a caller's request to a daemon; status 0 without an answer."""
        front = self.fronts[self.rng.choice(DAEMONS)]
        try:
            async with session.request(
                method,
                f'http://{front}{path}',
                json=body,
                headers={'Host': HOST, 'X-Verbenapost-Deadline-Ms': '3000'},
            ) as response:
                return response.status, await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, ''

    async def submit(
        self, session: aiohttp.ClientSession, job: str, steps: Any
    ) -> None:
        """Hand a job in, again at another daemon until it is accepted."""
        self.world.accepted[job] = steps
        for _ in range(ATTEMPTS):
            body = {'spec': 'text', 'steps': steps}
            status, _ = await self.call(session, 'POST', PREFIX + job, body)
            self.counts[f'submission {status}'] += 1
            if status == 200:
                self.accepted[job] = steps
                return
            await asyncio.sleep(0.5)


@register_fault
async def kill(soak: FleetSoak) -> None:
    """Kill a daemon."""
    await _end_daemon(soak, signal.SIGKILL)


@register_fault
async def stop(soak: FleetSoak) -> None:
    """Stop a daemon."""
    await _end_daemon(soak, signal.SIGTERM)


async def _end_daemon(soak: FleetSoak, number: int) -> None:
    name = soak.choose_daemon()
    if name is None:
        return
    soak.disturbed.add(name)
    soak.processes.send_signal(name, number)
    await soak.restart_daemon(name)
    soak.disturbed.discard(name)


@register_fault
async def freeze(soak: FleetSoak) -> None:
    """Freeze a daemon and wake it."""
    name = soak.choose_daemon()
    if name is None:
        return
    soak.disturbed.add(name)
    soak.processes.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(soak.rng.choice((0.6, 1.2, 2, 4, 8)))
    soak.processes.send_signal(name, signal.SIGCONT)
    soak.disturbed.discard(name)


@register_fault
async def cut(soak: FleetSoak) -> None:
    """Cut a daemon off; what it sends arrives when the cut is over."""
    name = soak.choose_daemon()
    if name is None:
        return
    soak.disturbed.add(name)
    soak.world.cut.add(name)
    await asyncio.sleep(soak.rng.uniform(0.5, 6))
    soak.world.cut.discard(name)
    soak.disturbed.discard(name)


@register_fault
async def disturb_store(soak: FleetSoak) -> None:
    """Let the store be down, or lose or delay answers."""
    faults = soak.world.store.faults
    kind = soak.rng.choice(('down', 'lose', 'late', 'latency'))
    before = getattr(faults, kind)
    setattr(faults, kind, {'down': True, 'latency': 0.2}.get(kind, 0.3))
    await asyncio.sleep(soak.rng.uniform(0.5, 3))
    setattr(faults, kind, before)


@register_fault
async def restart_worker(soak: FleetSoak) -> None:
    """Let a worker crash and start again under its identity."""
    up = [
        worker
        for worker in soak.world.workers.values()
        if worker.up and soak.world.cloud.is_current(worker)
    ]
    if not up:
        return
    worker = soak.rng.choice(up)
    worker.crash()
    await asyncio.sleep(soak.rng.choice((0.05, 0.3, 1, 3)))
    if soak.world.cloud.is_current(worker):
        worker.restart()


@register_fault
async def silence(soak: FleetSoak) -> None:
    """Let all open connections go silent."""
    soak.world.silence_connections()


@register_fault
async def request_wave(soak: FleetSoak) -> None:
    """Request the maintenance of some VMs of the pool."""
    vms = [row.vm for row in soak.world.cloud.list_vms() if row.pool == SERVICE]
    chosen = soak.rng.sample(vms, min(len(vms), WAVE_VMS))
    soak.counts['waves'] += 1
    number = soak.counts['waves']
    soak.world.request_wave(number, chosen, duration=30, cap=WAVE_CAP)
    await asyncio.sleep(25)


async def _load(
    soak: FleetSoak, session: aiohttp.ClientSession, until: float
) -> None:
    """Hand in short jobs in bursts, and some that last at the start."""
    calls = [
        asyncio.ensure_future(
            soak.submit(session, f'1a57{number:012x}', LONG_STEPS)
        )
        for number in range(3)
    ]
    while time.monotonic() < until:
        burst_end = time.monotonic() + BURST_SECONDS
        while time.monotonic() < burst_end:
            job = f'{soak.rng.getrandbits(60):016x}'
            calls.append(
                asyncio.ensure_future(soak.submit(session, job, SHORT_STEPS))
            )
            await asyncio.sleep(JOB_SECONDS * 2 * soak.rng.random())
        await asyncio.sleep(QUIET_SECONDS)
    await asyncio.gather(*calls)


async def _disturb(
    soak: FleetSoak, kinds: tuple[str, ...], until: float
) -> None:
    """Start faults, which overlap, and wait until all are over."""
    running = []
    while time.monotonic() < until:
        kind = soak.rng.choice(kinds)
        soak.counts[kind] += 1
        running.append(asyncio.ensure_future(FAULTS[kind](soak)))
        await asyncio.sleep(FAULT_PAUSE_SECONDS * 2 * soak.rng.random())
    await asyncio.gather(*running)


async def _find_lost(
    soak: FleetSoak, session: aiohttp.ClientSession
) -> list[Violation]:
    """Return the accepted jobs that don't end or don't run any more."""
    until = time.monotonic() + SETTLE_SECONDS
    left = dict(soak.accepted)
    while left and time.monotonic() < until:
        for job, steps in list(left.items()):
            if steps is LONG_STEPS:
                done = _count_runs(soak.world, job) == steps[0]['count']
            else:
                answer = await soak.call(session, 'GET', PREFIX + job, None)
                done = answer == (200, '{"state":"completed"}')
            if done:
                left.pop(job)
        await asyncio.sleep(0.2)
    return [Violation('lost', name) for name in left]


def _count_runs(world: Any, job: str) -> int:
    return sum(
        task.job == job
        for worker in world.workers.values()
        if worker.up
        for task in worker.runs
    )


def _find_exceeded_caps(world: Any) -> list[Violation]:
    """Return the VMs whose maintenance began beside too many others."""
    return [
        Violation('limit', f'{row}')
        for row in world.cloud.maintained
        if row.down_for_wave > WAVE_CAP
    ]


async def run_soak(
    seed: int, seconds: float, kinds: tuple[str, ...], code: Path, logs: Path
) -> tuple[list[Violation], collections.Counter[str]]:
    """Run daemons under faults.

    :param seed: seed of load, faults and platform.
    :param seconds: how long jobs and faults come.
    :param kinds: names of the faults.
    :param code: folder of the project whose daemons run.
    :param logs: folder for logs and settings.
    :returns: the violations of rules, and what happened.
    """
    world = ServedWorld(seed, DAEMONS, VMS, STANDBY_VMS)
    await world.start()
    processes = ProcessGroup(logs)
    soak = FleetSoak(world, processes, random.Random(seed), code, logs)
    timeout = aiohttp.ClientTimeout(total=4)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            soak.start_daemons()
            while world.find_leading() is None:
                await asyncio.sleep(0.1)
            until = time.monotonic() + seconds
            await asyncio.gather(
                _load(soak, session, until), _disturb(soak, kinds, until)
            )
            lost = await _find_lost(soak, session)
    finally:
        processes.stop_all()
        await world.close()
    capacities = {name: row.capacity.cpu for name, row in world.workers.items()}
    found = [
        *find_violations(world.history, world.accepted, capacities),
        *_find_exceeded_caps(world),
        *lost,
    ]
    soak.counts['accepted'] = len(soak.accepted)
    soak.counts['events'] = len(world.history)
    soak.counts['maintained'] = len(world.cloud.maintained)
    return found, soak.counts


def main(
    seed: int | None = None,
    minutes: float = 1.0,
    faults: str = '',
    code: str = '.',
    logs: str = '',
) -> None:
    """Run the platform's daemons under faults and check the history.

    :param seed: seed of all chances; drawn and printed when not given.
    :param minutes: how long jobs and faults come.
    :param faults: names of faults, joined by commas; all when empty.
    :param code: folder of the project whose daemons run.
    :param logs: folder that keeps the logs of the processes.
    """
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    names = faults if isinstance(faults, str) else ','.join(faults)
    kinds = tuple(names.split(',')) if names else tuple(FAULTS)
    sys.stdout.write(f'seed {seed}, {minutes} minutes\n')
    sys.stdout.flush()
    with tempfile.TemporaryDirectory(prefix='verbenapost-') as folder:
        log_folder = Path(logs or folder).resolve()
        log_folder.mkdir(parents=True, exist_ok=True)
        found, counts = asyncio.run(
            run_soak(
                seed, minutes * 60, kinds, Path(code).resolve(), log_folder
            )
        )
    lines = [f'{name}: {count}' for name, count in sorted(counts.items())]
    rules = collections.Counter(row.rule for row in found)
    lines += [f'violations of {rule}: {count}' for rule, count in rules.items()]
    lines += [f'    {row.rule}: {row.detail}' for row in found[:MAX_PRINTED]]
    lines.append('violated' if found else 'held')
    sys.stdout.write('\n'.join([*lines, '']))
    sys.exit(1 if found else 0)


if __name__ == '__main__':
    fire.Fire(main)
