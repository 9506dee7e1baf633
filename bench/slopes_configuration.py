"""Growth of the cost of configuration changes."""

import asyncio
import random
import time

from bench.slopes_fit import fit_line
from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from verbenapost.coordination.changes import ChangeRequest
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.documents import Clocks
from verbenapost.coordination.rights import OperatorToken, Rights, Role
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.store import Event, WatchBatch
from verbenapost.state.configuration import ConfigurationRecord, pack_record

#: Measured numbers of teams, and of changes of one document.
TEAMS = (50, 150, 380)
CHANGES = (10, 20, 40)
REPEATS = 3

RIGHTS = Rights('kim', (OperatorToken('kim', '', '/', Role.WRITE),))


def make_document(team, slots):
    """Return the document of a team, with one service and ten quotas."""
    return {
        'services': {f'svc-{team}': {'pool': 'pool-1', 'slots': slots}},
        'quotas': {
            f'team-{number}': {'*': {'rate': 50.0, 'weight': 2.0}}
            for number in range(10)
        },
    }


class ConfigurationHarness:
    """One configuration service with a store in memory."""

    def __init__(self):
        self.core = StoreCore()
        self.store = MemoryStore(self.core, time.monotonic)
        writer = ResolvingWriter(self.store, time.monotonic, random.Random(1))
        clocks = Clocks(time.time, time.monotonic)
        self.service = ConfigurationService(self.store, 'bench', writer, clocks)

    async def apply(self, team, document):
        """Apply a document through the service."""
        request = ChangeRequest('kim', 'as agreed', team, document)
        (await self.service.apply(request, RIGHTS)).unwrap()

    async def fill(self, teams):
        """Store the pools, and a document for each of some teams."""
        pools = {f'pool-{number}': {'vms': 80} for number in range(65)}
        await self.apply('platform', {'pools': pools})
        for number in range(teams):
            name = f'team-{number}'
            record = ConfigurationRecord(make_document(name, 8))
            value = pack_record(record)
            self.core.swap(f'config/{name}', 0, value, now=0)

    def count_bytes(self):
        """Return the bytes of all documents, keys included."""
        rows = self.core.list_prefix('config/', 0).entries
        return sum(len(row.key) + len(row.value) for row in rows)


async def measure_teams(teams):
    """Measure the service with the documents of some teams.

    :param teams: number of teams.
    :returns: microseconds of CPU to apply a change, to adopt the change at
        another daemon and to load all documents, for each repetition; and the
        bytes of all documents.
    """
    harness = ConfigurationHarness()
    await harness.fill(teams)
    await harness.service.load()
    rows = []
    for turn in range(REPEATS):
        before = time.process_time()
        await harness.apply('team-7', make_document('team-7', 9 + turn))
        applied = time.process_time()
        entry = harness.core.get('config/team-7', 0)
        event = Event(entry.key, entry.value, entry.revision)
        adopting = time.process_time()
        replica = harness.service._replica  # noqa: SLF001
        replica.adopt_batch(WatchBatch([event], entry.revision))
        adopted = time.process_time()
        fresh = ConfigurationHarness()
        fresh.service.adopt(harness.core.list_prefix('config/', 0))
        loaded = time.process_time()
        rows.append(
            (
                (applied - before) * 1e6,
                (adopted - adopting) * 1e6,
                (loaded - adopted) * 1e6,
            )
        )
    return rows, harness.count_bytes()


async def measure_growth():
    """Return the bytes of a document after some numbers of changes."""
    harness = ConfigurationHarness()
    await harness.fill(1)
    points = []
    for turn in range(2, CHANGES[-1] + 1):
        await harness.apply('team-0', make_document('team-0', turn))
        if turn in CHANGES:
            size = len(harness.core.get('config/team-0', 0).value)
            points.append((turn, size))
    return points


def measure():
    """Return the fitted lines of the configuration."""
    apply, adopt, load, size = [], [], [], []
    for teams in TEAMS:
        rows, total_bytes = asyncio.run(measure_teams(teams))
        apply.extend((teams, row[0]) for row in rows)
        adopt.extend((teams, row[1]) for row in rows)
        load.extend((teams, row[2]) for row in rows)
        size.append((teams, total_bytes))
    growth = asyncio.run(measure_growth())
    return {
        'config_apply_cpu': fit_line('us of CPU a change', 'team', apply),
        'config_adopt_cpu': fit_line('us of CPU a change', 'team', adopt),
        'config_load_cpu': fit_line('us of CPU', 'team', load),
        'config_bytes': fit_line('bytes', 'team', size),
        'config_key_bytes': fit_line('bytes of a key', 'change', growth),
    }
