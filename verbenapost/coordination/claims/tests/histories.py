"""Simulated concurrent claim owners and entries, with a checker."""

import asyncio
import dataclasses
import random
import uuid

from result import Err, Ok

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination.claims.client import ClaimClient
from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.coordination.claims.owner import (
    ClaimOwner,
    ClaimPorts,
    ClaimSettings,
)
from verbenapost.protocol.claims import ClaimRepeated
from verbenapost.protocol.errors import Outcome

#: Unix time at the start of a run.
EPOCH = 1_700_000_000.0


@dataclasses.dataclass
class Request:
    """One attempt and the result that its caller received."""

    key: str
    number: int
    ran: bool = False
    outcome: str | None = None
    answer: bytes | None = None


class History:
    """Requests, executions and grants of one simulation."""

    def __init__(self):
        self.requests = []
        self.runs = []
        self.granted = set()

    def add(self, key):
        request = Request(key, len(self.requests))
        self.requests.append(request)
        return request

    def run(self, request):
        """Record that a target executed the request and return the body."""
        self.runs.append((request.key, request.number))
        request.ran = True
        return f'{request.key} {request.number}'.encode()


def check_history(history):
    """Return a sentence for each violation of the at-most-once rules.

    A key is executed at most once, a request reported as not run is never
    executed, and a repeated response equals that of an execution.
    """
    faults = []
    by_key = {}
    for key, number in history.runs:
        by_key.setdefault(key, []).append(number)
    for key, numbers in by_key.items():
        if len(numbers) > 1:
            faults.append(f'{key} ran twice, by {numbers}')
    for request in history.requests:
        numbers = by_key.get(request.key, [])
        if request.outcome == Outcome.NOT_RUN and request.number in numbers:
            faults.append(f'request {request.number} ran after not_run')
        if request.answer is not None:
            expected = [
                f'{request.key} {run_number}'.encode() for run_number in numbers
            ]
            if request.answer not in expected:
                faults.append(f'request {request.number} got a wrong answer')
    return faults


class PausingStore:
    """A store client whose process may freeze before and after calls."""

    def __init__(self, store, rng, fault_injector):
        self._store = store
        self._rng = rng
        self._injector = fault_injector

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def freeze(*parts):
            await self._pause()
            outcome = await call(*parts)
            await self._pause()
            return outcome

        return freeze

    async def _pause(self):
        if self._injector.active and self._rng.random() < 0.008:
            await asyncio.sleep(self._rng.uniform(0, 40))


class FaultInjector:
    """Injects random faults into the stores, changed every few seconds."""

    def __init__(self, stores, core, rng, kinds):
        self.active = bool(kinds)
        self._stores = stores
        self._core = core
        self._rng = rng
        self._kinds = kinds

    async def run(self):
        while self.active:
            for store in self._stores:
                self._draw(store.faults)
            if self._kinds and self._rng.random() < 0.1:
                for store in self._stores:
                    store.faults.refuse = 1
            await asyncio.sleep(self._rng.uniform(0.2, 6))

    def stop(self):
        self.active = False
        for store in self._stores:
            for kind in ('refuse', 'hang', 'lose_answer', 'stale'):
                setattr(store.faults, kind, 0)

    def _draw(self, faults):
        faults.latency = 0.002
        faults.jitter = self._rng.choice((0.002, 0.1, 1))
        faults.hang_seconds = 30
        for kind in self._kinds:
            probability = self._rng.choice((0, 0, 0, 0.1, 0.4))
            setattr(faults, kind, probability)


class Simulation:
    """Two or three owners of one shard, and entries that use any of them."""

    def __init__(self, now, seed, owner_type, kinds, slots):
        self.now = now
        self.rng = random.Random(seed)
        self.core = StoreCore()
        self.history = History()
        self.owners = {}
        self.clients = {}
        self.stores = []
        self.fault_injector = FaultInjector(
            self.stores, self.core, self.rng, kinds
        )
        for number in range(self.rng.choice((2, 3))):
            self._add_owner(f'owner-{number}', owner_type, slots)
        for number in range(3):
            self._add_client(f'entry-{number}')
        self.preferred_owner = 'owner-0'

    def _add_owner(self, name, owner_type, slots):
        store = MemoryStore(self.core, self.now, self.rng.random())
        self.stores.append(store)
        skew = self.rng.uniform(-6, 6) if self.fault_injector.active else 0
        ports = ClaimPorts(
            PausingStore(store, self.rng, self.fault_injector),
            self.now,
            lambda: EPOCH + skew + self.now(),
            self._answer,
            self.rng,
        )
        settings = ClaimSettings(0, slots, 10, KeyWindow(lifetime=8, skew=8))
        self.owners[name] = owner_type(ports, name, settings)

    def _add_client(self, name):
        self.clients[name] = ClaimClient(
            lambda owner, message: self._deliver(
                lambda: self.owners[owner].receive(name, message)
            ),
            lambda key: self._find_owner(),
            self.now,
            self.rng,
        )

    def _find_owner(self):
        if self.rng.random() < 0.05:
            self.preferred_owner = self.rng.choice(list(self.owners))
        if self.rng.random() < 0.2:
            return self.rng.choice(list(self.owners))
        return self.preferred_owner

    def _answer(self, entry, message):
        self._deliver(lambda: self.clients[entry].receive(message))

    def _deliver(self, deliver):
        """Deliver a message; 4 % are up to 20 s late and 1 % are lost."""
        draw = self.rng.random() if self.fault_injector.active else 1
        if draw < 0.01:
            return
        delay = self.rng.uniform(0, 20 if draw < 0.05 else 0.01)
        asyncio.get_running_loop().call_later(delay, deliver)

    def make_key(self):
        age = self.rng.uniform(-2, 5) if self.fault_injector.active else 0
        moment = EPOCH + self.now() - age
        bits = int(moment * 1000) << 80 | self.rng.getrandbits(76)
        value = bits & ~(0xF << 76) | 7 << 76
        value = value & ~(3 << 62) | 2 << 62
        return str(uuid.UUID(int=value))

    async def send_request(self, key):
        """Claim a key for one request and act on the answer as an entry."""
        request = self.history.add(key)
        client = self.clients[self.rng.choice(list(self.clients))]
        waits = (0.3, 2, 10) if self.fault_injector.active else (10,)
        wait = self.rng.choice(waits)
        outcome = await client.claim(key, b'12345678', wait)
        if isinstance(outcome, Err):
            request.outcome = outcome.err_value.outcome
        elif isinstance(outcome, Ok):
            await self._act(client, request, outcome.ok_value)

    async def _act(self, client, request, claimed):
        if isinstance(claimed, ClaimRepeated):
            request.answer = claimed.body
            return
        self.history.granted.add(request.key)
        draw = self.rng.random()
        if draw < 0.15:
            request.outcome = Outcome.NOT_RUN
            client.release(claimed)
            return
        await asyncio.sleep(self.rng.choice((0, 0.1, 5)))
        body = self.history.run(request)
        if draw > 0.3:
            client.finish(claimed, 200, 'text/plain', body)

    async def send_repeatedly(self, key):
        """Send a request and repeats of the same request."""
        for _ in range(self.rng.choice((1, 2, 4, 6))):
            task = asyncio.ensure_future(self.send_request(key))
            if self.rng.random() < 0.6:
                await task
            await asyncio.sleep(self.rng.choice((0, 0.05, 1, 8)))

    async def tick(self):
        while True:
            for owner in self.owners.values():
                owner.tick(self.now())
            await asyncio.sleep(0.1)


def run_history(
    seed,
    owner_type=ClaimOwner,
    kinds=('hang', 'lose_answer', 'stale', 'refuse'),
    keys=60,
    slots=40,
):
    """Run a simulation under faults in virtual time and return it."""

    async def scenario(now):
        simulation = Simulation(now, seed, owner_type, kinds, slots)
        tasks = [
            asyncio.ensure_future(job)
            for job in (
                simulation.tick(),
                simulation.fault_injector.run(),
                *(owner.run() for owner in simulation.owners.values()),
            )
        ]
        callers = []
        for _ in range(keys):
            coroutine = simulation.send_repeatedly(simulation.make_key())
            callers.append(asyncio.ensure_future(coroutine))
            await asyncio.sleep(simulation.rng.choice((0, 0.1, 2)))
        await asyncio.wait(callers)
        simulation.fault_injector.stop()
        await asyncio.sleep(150)
        for task in tasks:
            if task.done():
                task.result()
        return simulation

    return run_virtual(scenario)
