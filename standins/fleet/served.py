"""The simulated deployment in real time, served over HTTP on loopback.

The daemons are processes of their own; each has a port of the platform, so
that one daemon can be cut off.
"""

import asyncio
import collections
import itertools
import socket
import time
import weakref

from aiohttp import web
from result import Err

from standins.fleet.storeroutes import (
    FIELDS,
    abort,
    add_store_routes,
    lose_answer,
)
from standins.fleet.workers import FleetWorker
from standins.fleet.world import World
from verbenapost.platform import names
from verbenapost.platform.submissions import decode_task, encode_task
from verbenapost.protocol.orders import (
    CallFaultKind,
    RunStart,
)
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.leadership import unpack_leadership
from verbenapost.state.workloads import FleetVmState

LOOPBACK = '127.0.0.1'

STORE_PATHS = (
    names.KEY_PATH,
    names.RANGE_PATH,
    names.WATCH_PATH,
    names.TRANSACTION_PATH,
    names.LEASE_PATH,
    names.RENEW_PATH,
)

#: Worker at whose port a call arrived, if any.
WORKER = web.RequestKey('worker', FleetWorker)

#: Seconds at which a call arrived, before faults hold it back.
ARRIVED_AT = web.RequestKey('arrived_at', float)

#: Whether a call takes effect late.
LATE = web.RequestKey('late', bool)

#: Ports of workers. A port is given to another worker after a round of all.
WORKER_PORTS = 96

#: Seconds after which a late order for a VM is carried out.
LATE_SECONDS = (2.0, 12.0)

#: Seconds after which a late call takes effect at its worker.
LATE_CALL_SECONDS = (0.6, 6.0)

#: Share of the orders for VMs that are lost, and that are carried out late.
ORDER_SHARE = 0.15

_REASONS = {
    CallFaultKind.FENCED: 'fence',
    CallFaultKind.OLD_RUN: 'old',
    CallFaultKind.LATE: 'late',
    CallFaultKind.BUSY: 'busy',
}

_STATES = {FleetVmState.MAINTENANCE: 'upkeep'}


class ServedWorld(World):
    """A world whose daemons are processes.

    :ivar platforms: ``IP:port`` of the platform, by daemon.
    :ivar cut: daemons that reach neither the platform nor workers; what they
        send arrives when the cut is over.
    :ivar store_cut: daemons that don't reach the store; likewise.
    """

    def __init__(self, seed, daemons, workers, standby_vms):
        self.cut = set()
        self.store_cut = set()
        self._listed = collections.defaultdict(asyncio.Event)
        self._runner = None
        self._sockets = [_bind() for _ in range(len(daemons) + WORKER_PORTS)]
        ports = [_get_port(opened) for opened in self._sockets]
        self._daemons = dict(zip(ports, daemons, strict=False))
        self.platforms = {
            name: f'{LOOPBACK}:{port}' for port, name in self._daemons.items()
        }
        self._ports = itertools.cycle(ports[len(daemons) :])
        self._workers_by_port = {}
        self._transports = weakref.WeakSet()
        self._silenced = weakref.WeakSet()
        super().__init__(
            time.monotonic, seed, workers, daemons=0, standby_vms=standby_vms
        )

    async def start(self):
        """Listen on all ports."""
        app = web.Application(middlewares=[self._disturb])
        for method, path, handler in (
            ('GET', names.VMS_PATH, self._list_vms),
            ('POST', names.MOVE_PATH, self._move),
            ('POST', names.MAINTAIN_PATH, self._maintain),
            ('POST', names.START_PATH, self._start_run),
            ('POST', names.STOP_PATH, self._stop_run),
            ('POST', names.HOLD_PATH, self._hold),
            ('POST', names.PACE_PATH, self._pace),
        ):
            app.router.add_route(method, path, handler)
        add_store_routes(app.router, self)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        for opened in self._sockets:
            await web.SockSite(self._runner, opened).start()

    def draw_address(self, worker):
        """Return the address of a worker on one of the ports."""
        port = next(self._ports)
        self._workers_by_port[port] = worker
        return f'{LOOPBACK}:{port}'

    def find_leading(self):
        """Return the name of the daemon that leads, if any."""
        self.store.expire()
        item = self.store.items.get(LEADER_KEY)
        if item is None:
            return None
        return unpack_leadership(item.value).daemon

    async def wait_list(self, daemon):
        """Wait until a daemon has been sent its next list of VMs."""
        self._listed[daemon].clear()
        await self._listed[daemon].wait()

    def end_leadership(self):
        """End the lease of the leader, if any."""
        item = self.store.items.get(LEADER_KEY)
        if item is not None:
            self.store.end_lease(item.lease)

    def silence_connections(self):
        """Let all open connections go silent for good."""
        self._silenced.update(self._transports)

    async def close(self):
        """Stop everything."""
        await super().close()
        await self._runner.cleanup()

    @web.middleware
    async def _disturb(self, request, handler):
        """Hold back or lose a call as the faults of the moment say."""
        transport = request.transport
        self._transports.add(transport)
        fields = await request.json() if request.can_read_body else {}
        request[FIELDS] = fields
        request[ARRIVED_AT] = self.now()
        port = _find_port(transport)
        request[WORKER] = self._workers_by_port.get(port)
        sender = self._daemons.get(port) or self._find_sender(fields)
        while self._is_cut(sender, request.path):
            await asyncio.sleep(0.05)
        if transport in self._silenced:
            await lose_answer(request)
        self.store.expire()
        for worker in self.workers.values():
            if worker.up:
                worker.advance()
        answer = await handler(request)
        if transport in self._silenced or _is_unanswered(request):
            await lose_answer(request)
        return answer

    def _is_cut(self, sender, path):
        if sender in self.cut:
            return True
        return sender in self.store_cut and path.startswith(STORE_PATHS)

    def _find_sender(self, fields):
        """Return the daemon that sent a call to a worker, by its token."""
        return self.leaders.by_token.get(fields.get('fencing_token'))

    async def _list_vms(self, request):
        vms, token = self.cloud.list_page(request.query.get('page_token', ''))
        rows = [
            {
                'machine': vm.vm,
                'pool': vm.pool,
                'state': _STATES.get(vm.state, vm.state.value),
                'zone': 'a',
                'labels': list(vm.labels),
                'capacity': _encode_capacity(vm.capacity),
                'id': vm.worker or None,
            }
            for vm in vms
        ]
        daemon = self._daemons.get(_find_port(request.transport))
        await asyncio.sleep(self.cloud.list_seconds)
        if token is None:
            self._listed[daemon].set()
        return web.json_response({'machines': rows, 'next_token': token})

    async def _move(self, request):
        return await self._order(request, self.cloud.move, 'pool')

    async def _maintain(self, request):
        return await self._order(request, self.cloud.maintain, 'wave')

    async def _order(self, request, carry_out, field):
        """Carry out an order for a VM, now or late, and perhaps answer it."""
        fields = request[FIELDS]
        token = int(request.headers[names.TOKEN_HEADER])
        self.cloud.note_arrival(fields['machine'])
        draw = self.rng.random()
        if draw < ORDER_SHARE:
            await asyncio.sleep(self.rng.uniform(*LATE_SECONDS))
        outcome = carry_out(fields['machine'], fields[field], token)
        if draw < 2 * ORDER_SHARE:
            await lose_answer(request)
        if isinstance(outcome, Err):
            if outcome.err_value.kind is CallFaultKind.NOT_FOUND:
                raise web.HTTPBadRequest
            reason = _REASONS[outcome.err_value.kind]
            return web.json_response({'reason': reason}, status=409)
        return web.json_response({})

    async def _find_worker(self, request):
        """Return the worker that a call is meant for."""
        worker = request[WORKER]
        if worker is None or not worker.up:
            abort(request)
        if worker.faults.unreachable:
            await lose_answer(request)
        if self.rng.random() < worker.faults.late:
            await self._delay(request, worker)
        if request.headers.get(names.EXPECT_INSTANCE_HEADER) != worker.name:
            raise web.HTTPMisdirectedRequest
        return worker

    async def _delay(self, request, worker):
        """Let a call take effect late, unless its worker has ended by then."""
        incarnation = worker.incarnation
        request[LATE] = True
        await asyncio.sleep(self.rng.uniform(*LATE_CALL_SECONDS))
        if not worker.up or worker.incarnation != incarnation:
            abort(request)

    def _answer(self, worker, outcome):
        if isinstance(outcome, Err):
            fault = outcome.err_value
            fields = {'reason': _REASONS[fault.kind]}
            status = 409
        else:
            fields, status = {}, 200
        fields |= {'clock_ms': worker.read_clock(), 'born': worker.incarnation}
        return web.json_response(fields, status=status)

    async def _start_run(self, request):
        worker, fields = await self._find_worker(request), request[FIELDS]
        order = RunStart(
            decode_task(fields['task']),
            fields['run'],
            fields['spec'],
            fields['deadline_ms'],
            fields['fencing_token'],
        )
        return self._answer(worker, worker.start(order, request[ARRIVED_AT]))

    async def _stop_run(self, request):
        worker, fields = await self._find_worker(request), request[FIELDS]
        stopped = worker.stop(
            decode_task(fields['task']), fields['run'], fields['fencing_token']
        )
        return self._answer(worker, stopped)

    async def _pace(self, request):
        return self._answer(await self._find_worker(request), None)

    async def _hold(self, request):
        worker, fields = await self._find_worker(request), request[FIELDS]
        incarnation = worker.incarnation
        held = worker.hold(
            fields['fencing_token'],
            fields['last_seen'],
            fields.get('deadline_ms'),
        )
        if isinstance(held, Err):
            return self._answer(worker, held)
        until = self.now() + fields.get('wait_ms', 0) / 1000
        while not worker.ends and self.now() < until:
            await asyncio.sleep(0.02)
            if not worker.up or worker.incarnation != incarnation:
                abort(request)
        if worker.faults.unreachable:
            await lose_answer(request)
        return web.json_response(_encode_report(worker.report()))


def _is_unanswered(request):
    """Return whether a call that has taken effect gets no answer."""
    worker = request[WORKER]
    mute = worker is not None and worker.faults.mute
    return mute or request.get(LATE, False)


def _bind():
    opened = socket.socket()
    opened.bind((LOOPBACK, 0))
    return opened


def _get_port(opened):
    return opened.getsockname()[1]


def _find_port(transport):
    """Return the port at which a connection arrived."""
    return transport.get_extra_info('sockname')[1]


def _encode_capacity(capacity):
    return {
        'cpu': capacity.cpu,
        'mem_mb': capacity.memory,
        'gpu': capacity.gpus,
    }


def _encode_report(report):
    return {
        'clock_ms': report.clock,
        'born': report.started_at_ms,
        'running': [
            [
                encode_task(row.task),
                row.run,
                row.checkpoint,
                row.progress,
                row.load,
            ]
            for row in report.running
        ],
        'ended_runs': [
            [
                end.number,
                encode_task(end.task),
                end.run,
                end.kind.value,
                end.checkpoint,
            ]
            for end in report.ends
        ],
    }
