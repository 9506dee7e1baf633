"""A whole installation in virtual time: store, workers and daemons."""

import asyncio
import json
import random

from result import Err, Ok

from standins.fleet.store import FleetStore, StoreCore
from standins.fleet.workers import FleetWorker, FleetWorkers
from verbenapost.coordination.scheduling.outages import StoreOutage
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import EndKind
from verbenapost.scheduler.answers import CallerRequest
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.core import Core
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.entry import Entry
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.settings import SchedulerSettings
from verbenapost.state.workloads import Size

HOST = 'host'
PREFIX = '/plan/'
SERVICE = 'routing'
ROOM = Size(8000, 8000)


class _Peers:
    """Asks whoever leads, as long as that daemon is reached."""

    def __init__(self, world, core):
        self.world = world
        self.core = core

    async def ask(self, message):
        local = self.core.find_local()
        leader = self.core.find_leader()
        if local is None and leader is not None:
            daemon = self.world.daemons.get(leader.daemon)
            if daemon is not None and daemon.alive:
                await asyncio.sleep(0.002)
                local = daemon.core.find_local()
        return Err('nobody leads') if local is None else Ok(local(message))


class VirtualDaemon:
    """A daemon without sockets."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.alive = True
        outage = StoreOutage()
        self.store = FleetStore(
            world.store,
            lambda answered: outage.note(answered=answered, now=read_clock()),
        )
        self.workers = FleetWorkers(world)
        settings = make_settings(name)
        self.ports = LeaderPorts(
            settings=settings,
            store=self.store,
            workers=self.workers,
            cloud=None,
            advice=None,
            election=Election(self.store, settings, make_logger('election')),
            configuration=ConfigurationFollower(make_logger('configuration')),
            metrics=SchedulerMetrics(),
            outage=outage,
        )
        self.core = Core(self.ports)
        self.entry = Entry(
            self.ports.configuration,
            self.store,
            _Peers(world, self.core),
            outage,
            make_logger('entry'),
        )
        self.core.start()

    async def kill(self):
        """End the process at once."""
        self.alive = False
        await self.core.close()

    async def stop(self):
        """End the process in an orderly way."""
        await self.core.resign()
        await self.kill()


class World:
    """Store, workers, daemons and the history of what workers did."""

    def __init__(self, now, seed=0, workers=4, daemons=3):
        self.now = now
        self.chance = random.Random(seed)
        self.history = []
        self.accepted = {}
        self.cancelled = set()
        self.replaced = set()
        self.store = StoreCore(now, seed)
        self.workers = {
            f'w{row}': FleetWorker(self, f'w{row}', SERVICE, ROOM)
            for row in range(workers)
        }
        self.configure()
        for worker in self.workers.values():
            worker.register()
        self.daemons = {}
        for row in range(daemons):
            self.add_daemon(f'd{row}')
        self._ticker = asyncio.create_task(self._tick())

    def add_daemon(self, name):
        """Start a daemon, in place of one of that name."""
        self.daemons[name] = VirtualDaemon(self, name)

    def configure(self, version=1, max_attempts=3):
        """Write the operators' configuration."""
        route = {
            'name': 'plan',
            'hostname': HOST,
            'prefix': PREFIX,
            'service': SERVICE,
            'priority': 0,
            'max_attempts': max_attempts,
            'slack_factor': 1.6,
            'target_latency_ms': 600,
        }
        fields = {
            'version': version,
            'routes': [route],
            'services': [{'name': SERVICE}],
            'limits': {},
        }
        self.store.write('op/config', json.dumps(fields).encode())

    def draw_run(self, worker, task):
        """Return how long a run takes and how it ends."""
        seconds = self.chance.uniform(0.3, 2)
        failed = self.chance.random() < worker.faults.fail
        if task.job.startswith('bad'):
            failed = True
        if task.job.startswith('1a57'):
            seconds = 10_000
        return seconds, EndKind.FAILED if failed else EndKind.DONE

    def find_leader(self):
        """Return the daemon that leads, or ``None``."""
        for daemon in self.daemons.values():
            if daemon.alive and daemon.core.find_local() is not None:
                return daemon
        return None

    async def submit(self, job, steps, daemon='d0'):
        """Submit a job; remember it when it was accepted."""
        body = json.dumps({'spec': f'text {job}', 'steps': steps}).encode()
        answer = await self.call('POST', job, body, daemon)
        if answer.status == 200:
            self.accepted[job] = steps
        return answer

    async def call(self, method, job='', body=b'', daemon='d0'):
        """Send a request to a daemon and return its answer."""
        request = CallerRequest(
            method, HOST, f'{PREFIX}{job}', body, self.now() + 3
        )
        return await self.daemons[daemon].entry.serve(request)

    async def close(self):
        """Stop everything."""
        self._ticker.cancel()
        for daemon in self.daemons.values():
            await daemon.kill()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.05)
            for worker in self.workers.values():
                if worker.up:
                    worker.advance()


def make_settings(name):
    """Return the settings of a daemon in virtual time."""
    return SchedulerSettings.model_validate(
        {
            'daemon': name,
            'data_centre': 'a',
            'address': '10.0.0.9',
            'listen': {
                'callers': '10.0.0.9:1',
                'probes': '10.0.0.9:2',
                'internal_ports': [7060, 7075],
            },
            'store': {'address': '10.0.0.8:1'},
        },
    )
