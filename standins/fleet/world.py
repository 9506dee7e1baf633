"""Simulated deployment in virtual time: store, workers and daemons."""

import asyncio
import json
import random

from result import Err, Ok

from standins.fleet.cloud import FleetCloud, FleetCloudCore
from standins.fleet.configurations import (
    HOST,
    PREFIX,
    SERVICE,
    STANDBY,
    ConfirmedVersion,
    encode_configuration,
)
from standins.fleet.leaders import LeaderRecord
from standins.fleet.store import FleetStore, FleetStoreCore
from standins.fleet.waves import read_wave_change
from standins.fleet.workers import FleetWorker, FleetWorkers
from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.orders import RunEndKind
from verbenapost.scheduler.answers import EntryRequest
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.core import Core
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.entry import Entry
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.settings import SchedulerSettings
from verbenapost.scheduler.storecalls import StoreCallObserver
from verbenapost.state.resources import Resources

WORKER_CAPACITY = Resources(8000, 8000)


class _LeaderClient:
    """Sends messages to the leader if the daemon of the leader is alive."""

    def __init__(self, world, core):
        self.world = world
        self.core = core

    async def ask(self, message):
        handler = self.core.find_local_handler()
        leader = self.core.find_leader()
        if handler is None and leader is not None:
            daemon = self.world.daemons.get(leader.daemon)
            if daemon is not None and daemon.alive:
                await asyncio.sleep(0.002)
                handler = daemon.core.find_local_handler()
        return (
            Err('there is no leader')
            if handler is None
            else Ok(handler(message))
        )


class VirtualDaemon:
    """A daemon without network."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.alive = True
        outage_detector = StoreOutageDetector()
        self.store = FleetStore(world.store, StoreCallObserver(outage_detector))
        self.workers = FleetWorkers(world)
        settings = make_settings(name)
        self.ports = LeaderPorts(
            settings=settings,
            store=self.store,
            workers=self.workers,
            cloud=None if world.cloud is None else FleetCloud(world),
            advice=None,
            election=Election(self.store, settings, make_logger('election')),
            configuration=ConfigurationFollower(make_logger('configuration')),
            metrics=SchedulerMetrics(),
            outage_detector=outage_detector,
        )
        self.core = Core(self.ports)
        self.entry = Entry(
            self.ports.configuration,
            self.store,
            _LeaderClient(world, self.core),
            outage_detector,
            make_logger('entry'),
        )
        self.core.start()

    async def kill(self):
        """Stop at once, as a killed process does."""
        self.alive = False
        await self.core.close()

    async def stop(self):
        """Resign the leadership, then stop."""
        await self.core.resign()
        await self.kill()


class World:
    """Store, workers, daemons and the run history of the workers.

    :param standby_vms: VMs that are off, or ``None`` without a cloud.
    :ivar accepted: steps of the accepted jobs, by job.
    :ivar versions: versions of the configuration, as the store confirmed them.
    :ivar leaders: daemons that led.
    :ivar wave_history: VMs and maintenance waves, as events in order.
    :ivar cloud: the simulated cloud, if any.
    """

    def __init__(self, now, seed=0, workers=4, daemons=3, standby_vms=None):
        self.now = now
        self.rng = random.Random(seed)
        self.history = []
        self.accepted = {}
        self.versions = []
        self.leaders = LeaderRecord()
        self.cancelled = set()
        self.replaced = set()
        self.wave_history = []
        self.store = FleetStoreCore(now, seed)
        self.store.observers.append(self._record_wave)
        self.store.observers.append(self.leaders.observe)
        self.workers = {
            f'w{index}': FleetWorker(
                self, f'w{index}', SERVICE, WORKER_CAPACITY
            )
            for index in range(workers)
        }
        self._worker_count = workers
        self.cloud = None
        if standby_vms is not None:
            self.cloud = FleetCloudCore(self, STANDBY)
            for _ in range(standby_vms):
                self.cloud.add_standby(self.draw_worker_name(), WORKER_CAPACITY)
        self.configure()
        for worker in self.workers.values():
            worker.register()
        self.daemons = {}
        for index in range(daemons):
            self.add_daemon(f'd{index}')
        self._worker_clock = asyncio.create_task(self._advance_workers())

    def add_daemon(self, name):
        """Start a daemon, which replaces one of the same name."""
        self.daemons[name] = VirtualDaemon(self, name)

    def add_worker(self, worker):
        """Add the worker of a VM that has joined a pool."""
        self.workers[worker.name] = worker
        worker.register()

    def draw_address(self, worker):
        """Return the address of a worker, which needs no server here."""
        return f'10.0.0.1:{int(worker.name[1:]) + 1}'

    def draw_worker_name(self):
        """Return the name of a further worker."""
        self._worker_count += 1
        return f'w{self._worker_count - 1}'

    def request_wave(self, number, vms, duration, cap):
        """Request the maintenance of VMs, as operators do."""
        fields = {
            'wave': number,
            'machines': list(vms),
            'duration_s': duration,
            'cap': cap,
        }
        self.store.write(f'op/wave/{number}', json.dumps(fields).encode())

    def configure(
        self,
        version=1,
        max_attempts=3,
        *,
        removed=False,
        standby=True,
        tenants=None,
        auth_exempt=False,
    ):
        """Write the operators' configuration.

        :param removed: whether the configuration is without the queue.
        :param standby: whether there is a pool of VMs that are off.
        :param tenants: the tenants, or ``None`` if no keys are needed.
        :param auth_exempt: whether the queue needs no API keys.
        """
        packed = encode_configuration(
            version,
            max_attempts,
            removed,
            standby,
            tenants,
            auth_exempt=auth_exempt,
        )
        self.store.write('op/config', packed)
        self.versions.append(ConfirmedVersion(self.now(), version, tenants))

    def draw_run(self, worker, task):
        """Draw the duration of a run in seconds, and how the run ends.

        Jobs whose name starts with ``bad`` always fail, and those with
        ``1a57`` run for 10,000 s.
        """
        seconds = self.rng.uniform(0.3, 2)
        failed = self.rng.random() < worker.faults.fail
        if task.job.startswith('bad'):
            failed = True
        if task.job.startswith('1a57'):
            seconds = 10_000
        return seconds, RunEndKind.FAILED if failed else RunEndKind.DONE

    def is_crashing(self, task):
        """Return whether each run of a task crashes its worker.

        That holds for the first task of each job whose name starts with
        ``c4a5``.
        """
        first = (task.step, task.index) == (0, 0)
        return first and task.job.startswith('c4a5')

    def break_gang(self, task):
        """End the other members of a task's gang."""
        steps = self.accepted.get(task.job)
        if steps is not None and steps[task.step].get('gang'):
            for worker in self.workers.values():
                worker.break_step(task)

    def find_leader(self):
        """Return the daemon of the leader, or ``None``."""
        for daemon in self.daemons.values():
            if daemon.alive and daemon.core.find_local_handler() is not None:
                return daemon
        return None

    async def submit(self, job, steps, daemon='d0', key=''):
        """Submit a job and record the job when it is accepted."""
        body = json.dumps({'spec': f'text {job}', 'steps': steps}).encode()
        answer = await self.call('POST', job, body, daemon, key)
        if answer.status == 200:
            self.accepted[job] = steps
        return answer

    async def call(self, method, job='', body=b'', daemon='d0', key=''):
        """Send a request to a daemon and return its answer."""
        request = EntryRequest(
            method,
            HOST,
            f'{PREFIX}{job}',
            body,
            self.now() + 3,
            f'Token {key}'.encode() if key else None,
        )
        return await self.daemons[daemon].entry.serve(request)

    async def close(self):
        """Stop everything."""
        self._worker_clock.cancel()
        for daemon in self.daemons.values():
            await daemon.kill()

    def _record_wave(self, change):
        event = read_wave_change(change, self.now())
        if event is not None:
            self.wave_history.append(event)

    async def _advance_workers(self):
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
            'bounds': {'fencing_required': True},
        },
    )
