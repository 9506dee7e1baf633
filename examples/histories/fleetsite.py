"""The daemons and callers of a soak of the platform's daemon."""

import asyncio
import collections
import dataclasses
import json
import random
from pathlib import Path
from typing import Any

import aiohttp

from examples.histories.fleettenants import OVERAGE, SoakTenants
from examples.ports import LOOPBACK, find_free_pair, find_free_ports
from examples.processes import ProcessGroup
from standins.fleet.configurations import EXEMPT_PREFIX
from standins.fleet.tenanthistory import Disturbance
from standins.fleet.world import HOST, PREFIX
from verbenapost.platform.names import SETTINGS_VARIABLE

DAEMONS = ('front-1', 'front-2', 'front-3', 'front-4')

#: Share of the faults of a daemon that meet the leader.
LEADER_SHARE = 0.7

#: Attempts of a caller to hand in a job.
ATTEMPTS = 6


@dataclasses.dataclass(slots=True)
class FleetSoak:
    """One run: its world, processes and random draws.

    :param world: the platform and its workers.
    :param processes: the daemons.
    :param rng: source of the random draws of load and faults.
    :param code: folder of the project whose daemons run.
    :param settings: folder of the settings files.
    :param tenants: tenants and their callers, or ``None`` without any.
    :ivar accepted: jobs whose acceptance was answered.
    :ivar counts: faults, attempts and answers by kind.
    :ivar disturbed: daemons with an active fault.
    :ivar disturbances: faults of daemons and of the store that have ended.
    """

    world: Any
    processes: ProcessGroup
    rng: random.Random
    code: Path
    settings: Path
    tenants: SoakTenants | None = None
    accepted: dict[str, Any] = dataclasses.field(default_factory=dict)
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    disturbed: set[str] = dataclasses.field(default_factory=set)
    fronts: dict[str, str] = dataclasses.field(default_factory=dict)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)

    def write_settings(self, name: str) -> None:
        """Write the settings file of a daemon."""
        front, ready = find_free_ports(2)
        internal = find_free_pair()
        self.fronts[name] = f'{LOOPBACK}:{front}'
        platform = self.world.platforms[name]
        bounds: dict[str, Any] = {'fencing_required': True}
        if self.tenants is not None:
            bounds['quota_overage'] = OVERAGE
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
            'bounds': bounds,
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
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: Any,
        authorization: str = '',
    ) -> tuple[int, str]:
        """Send a caller's request to a daemon; status 0 without an answer."""
        daemon = self.rng.choice(DAEMONS)
        headers = {'Host': HOST, 'X-Verbenapost-Deadline-Ms': '3000'}
        if authorization:
            headers['Authorization'] = authorization
        sent_at = self.world.now()
        answer = await _send(
            session,
            method,
            f'http://{self.fronts[daemon]}{path}',
            body,
            headers,
        )
        if self.tenants is not None:
            self.tenants.record(path, authorization, daemon, sent_at, answer[0])
        return answer

    async def call_for_job(
        self, session: aiohttp.ClientSession, method: str, job: str, body: Any
    ) -> tuple[int, str]:
        """Send a request about a job with a key of the job's tenant."""
        tenants = self.tenants
        if tenants is None:
            return await self.call(session, method, PREFIX + job, body)
        owner = tenants.owners.get(job)
        if owner is None:
            return await self.call(session, method, EXEMPT_PREFIX + job, body)
        return await self.call(
            session, method, PREFIX + job, body, tenants.authorize(owner)
        )

    async def submit(
        self,
        session: aiohttp.ClientSession,
        job: str,
        steps: Any,
        tenant: str = '',
    ) -> None:
        """Hand a job in, again at another daemon until it is accepted.

        :param tenant: name of the tenant, empty for a job without one.
        """
        self.world.accepted[job] = steps
        if self.tenants is not None and tenant:
            self.tenants.owners[job] = tenant
        for _ in range(ATTEMPTS):
            body = {'spec': 'text', 'steps': steps}
            status, _ = await self.call_for_job(session, 'POST', job, body)
            self.counts[f'submission {status}'] += 1
            if status == 200:
                self.accepted[job] = steps
                return
            await asyncio.sleep(0.5)


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: Any,
    headers: dict[str, str],
) -> tuple[int, str]:
    try:
        async with session.request(
            method, url, json=body, headers=headers
        ) as response:
            return response.status, await response.text()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0, ''
