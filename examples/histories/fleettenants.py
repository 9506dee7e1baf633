"""Tenants and their callers in a soak of the platform's daemon."""

import collections
import dataclasses
import itertools
import random
from typing import Any

from standins.fleet.configurations import PREFIX, ConfiguredTenant
from standins.fleet.rules import Violation
from standins.fleet.tenanthistory import (
    CallerRequest,
    Disturbance,
    TenantHistory,
)
from standins.fleet.tenantrules import find_tenant_violations
from verbenapost.state.resources import Resources

#: Share above its cap that a tenant may run, as in the daemons' settings.
OVERAGE = 0.1

#: How many times its usual load a tenant sends that floods.
FLOOD_FACTOR = 5

#: Keys of each tenant.
KEYS = 2

#: Newest removed keys that callers go on to use.
REMOVED_KEYS = 4

#: Seconds after the faults within which all jobs are completed. A flood leaves
#: accepted jobs that run one after another under the tenant's cap.
SETTLE_SECONDS = 90.0

FLOODING = 'tenant-0'

TENANTS = (
    ConfiguredTenant(FLOODING, (), 3, Resources(12_000, 0, 0)),
    ConfiguredTenant('tenant-1', (), 2, Resources(16_000, 0, 0)),
    ConfiguredTenant('tenant-2', (), 2, Resources(0, 900, 0)),
)

ODD_STEPS = [{'count': 1, 'cpu': 1000, 'mem_mb': 100}]

_SCHEME = 'Token '


@dataclasses.dataclass(frozen=True)
class OddRequest:
    """A request about a new job, with a header that may not be valid."""

    method: str
    job: str
    header: str
    body: dict[str, Any]


class SoakTenants:
    """Configured tenants of one run and what their callers did.

    :param world: the platform.
    :param rng: source of the random draws of keys and callers.
    :ivar owners: tenant of each job that was sent with its key.
    :ivar lowered: tenants whose cap is halved.
    :ivar absent: tenants that the newest version lacks.
    :ivar flooding: whether the first tenant sends more than usual.
    """

    def __init__(self, world: Any, rng: random.Random) -> None:
        self.rng = rng
        self.owners: dict[str, str] = {}
        self.lowered: set[str] = set()
        self.absent: set[str] = set()
        self.flooding = False
        self._world = world
        self._requests: list[CallerRequest] = []
        self._removed_keys: dict[str, str] = {}
        self._keys = {
            row.name: collections.deque(
                (self._draw_key() for _ in range(KEYS)), maxlen=KEYS
            )
            for row in TENANTS
        }
        # No daemon runs yet that may have read a version without tenants.
        world.versions.clear()
        self.configure()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._world.configure(
            len(self._world.versions) + 2,
            tenants=tuple(
                self._make_entry(row)
                for row in TENANTS
                if row.name not in self.absent
            ),
        )

    def rotate_key(self, name: str) -> None:
        """Add a key to a tenant in place of its oldest one."""
        self._removed_keys[self._keys[name][0]] = name
        self._keys[name].append(self._draw_key())
        self.configure()

    def choose_tenant(self) -> str:
        """Choose a tenant by chance."""
        return self.rng.choice(TENANTS).name

    def draw_senders(self) -> list[str]:
        """Return the tenants of the next jobs, one entry for each job."""
        name = self.choose_tenant()
        flooding = self.flooding and name == FLOODING
        count = FLOOD_FACTOR if flooding else 1
        return list(itertools.repeat(name, count))

    def authorize(self, name: str) -> str:
        """Return the header with a key of a tenant."""
        return _SCHEME + self.rng.choice(self._keys[name])

    def draw_odd_request(self) -> OddRequest:
        """Return a request without a key or with one that may not be valid."""
        header, owner = self._draw_odd_header()
        job = f'{self.rng.getrandbits(60):016x}'
        method = self.rng.choice(('GET', 'POST'))
        if method == 'POST':
            self._world.accepted[job] = ODD_STEPS
        if method == 'POST' and owner:
            self.owners[job] = owner
        body = {'spec': 'text', 'steps': ODD_STEPS}
        return OddRequest(method, job, header, body)

    def record(
        self, path: str, header: str, daemon: str, sent_at: float, status: int
    ) -> None:
        """Record a request on the route that needs a key."""
        if not path.startswith(PREFIX):
            return
        key = header.removeprefix(_SCHEME)
        valid = key if header.startswith(_SCHEME) else ''
        now = self._world.now()
        self._requests.append(
            CallerRequest(sent_at, now, daemon, valid, status)
        )

    def find_violations(
        self, disturbances: list[Disturbance]
    ) -> list[Violation]:
        """Return the violations of the rules on tenants."""
        history = TenantHistory(
            versions=self._world.versions,
            requests=self._requests,
            runs=self._world.history,
            steps=self._world.accepted,
            owners=self.owners,
            leaders=self._world.leaders.by_token,
            disturbances=disturbances,
            overage=OVERAGE,
        )
        return find_tenant_violations(history)

    def _draw_odd_header(self) -> tuple[str, str]:
        """Return a header that may not be valid, and its tenant if any."""
        never = self._draw_key()
        removed = list(self._removed_keys)[-REMOVED_KEYS:]
        key = self.rng.choice([never, *removed])
        token = _SCHEME + key
        header = self.rng.choice(('', f'Bearer {key}', token, token))
        owner = self._removed_keys.get(key, '')
        return header, owner if header.startswith(_SCHEME) else ''

    def _make_entry(self, row: ConfiguredTenant) -> ConfiguredTenant:
        part = 2 if row.name in self.lowered else 1
        cap = Resources(row.cap.cpu // part, row.cap.memory // part, 0)
        return dataclasses.replace(
            row, keys=tuple(self._keys[row.name]), cap=cap
        )

    def _draw_key(self) -> str:
        return f'{self.rng.getrandbits(96):024x}'
