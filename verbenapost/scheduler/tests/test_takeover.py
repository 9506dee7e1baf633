"""Reads of a new leader, and the order of candidates."""

import asyncio

import pytest
from result import Err, Ok

from standins.fleet.world import make_settings
from verbenapost.coordination.scheduling.jobprogress import (
    pack_progress,
    restore_progress,
)
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.daemon.logs import make_logger
from verbenapost.platform.http import Answer
from verbenapost.platform.store import PAGE_ATTEMPTS, PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    KeyValue,
    TransactionConflict,
)
from verbenapost.scheduler import election as election_module
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.recorder import strip_spec
from verbenapost.scheduler.settings import Processor
from verbenapost.scheduler.storecalls import StoreCallObserver
from verbenapost.state.submissions import pack_job, unpack_job
from verbenapost.state.workloads import CallerJobState, JobSpec, StepSpec


def make_store(http):
    observer = StoreCallObserver(StoreOutageDetector())
    return PlatformStore(http, '127.0.0.1:1', observer)


class Pages:
    """Answers range reads page by page; the calls in ``failing`` fail."""

    def __init__(self, pages, failing):
        self.pages = pages
        self.failing = failing
        self.asked = []

    async def exchange(self, call):
        self.asked.append(call.path)
        if len(self.asked) in self.failing:
            return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
        number = int('after=' in call.path)
        return Ok(Answer(200, self.pages[number]))


def make_page(key, *, truncated):
    item = {'key': key, 'value': '', 'revision': 1}
    return {'items': [item], 'truncated': truncated, 'store_revision': 5}


PAGES = (
    make_page('p/a', truncated=True),
    make_page('p/b', truncated=False),
)


class TestPages:
    async def test_only_the_failed_page_is_read_again(self):
        http = Pages(PAGES, failing={2})
        found = await make_store(http).read_range('p/')
        assert [item.key for item in found.ok_value.items] == ['p/a', 'p/b']
        assert len(http.asked) == 3

    async def test_an_empty_page_is_not_taken_for_the_last(self):
        """Keys that no page had shown were taken as removed."""
        empty = {'truncated': True, 'store_revision': 5}
        http = Pages((PAGES[0], empty), failing=())
        found = await make_store(http).read_range('p/')
        assert found.err_value.kind is CallFaultKind.UNKNOWN

    async def test_page_that_keeps_failing_ends_the_read(self):
        failing = set(range(2, 2 + PAGE_ATTEMPTS))
        http = Pages(PAGES, failing=failing)
        found = await make_store(http).read_range('p/')
        assert found.err_value.kind is CallFaultKind.UNKNOWN


class TestEndedJob:
    def test_progress_and_submission_are_small_and_decodable(self):
        spec = JobSpec('5c0e7a21d94b36f8', 'plan', 'x' * 4000, (StepSpec(24),))
        job = Job(spec, 0)
        job.state = CallerJobState.COMPLETED
        stripped = pack_job(strip_spec(job))
        assert len(stripped) + len(pack_progress(job)) < 300
        known = Job(unpack_job(stripped), 0)
        restore_progress(known, pack_progress(job), revision=3)
        assert (known.state, known.revision) == (CallerJobState.COMPLETED, 3)


class TestCampaign:
    """A daemon with few cores delays its campaign."""

    @pytest.mark.parametrize(
        ('processor', 'waits'),
        [
            (Processor(share=0.7, speed=3), False),
            (Processor(share=0.5, speed=2), False),
            (Processor(share=0.5, speed=1), True),
        ],
    )
    def test_delay_exceeds_that_of_other_daemons(self, processor, waits):
        settings = make_settings('d0').model_copy(
            update={'processor': processor}
        )
        election = Election(None, settings, make_logger('election'))
        longest = 2 * election_module.CAMPAIGN_JITTER
        delays = {election._choose_delay() > longest for _ in range(50)}
        assert delays == {waits}


class LateStore:
    """Applies the first claim late, right before the second one.

    :ivar renewed: leases that were renewed.
    """

    def __init__(self):
        self.renewed = set()
        self.items = {}
        self._granted = 0
        self._claims = []

    async def read_key(self, key):
        return Ok(self.items.get(key))

    async def grant_lease(self, _seconds):
        self._granted += 1
        return Ok(self._granted)

    async def renew_lease(self, lease):
        self.renewed.add(lease)
        return Ok(None)

    async def commit(self, claim):
        self._claims.append(claim)
        if len(self._claims) == 1:
            return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
        for row in self._claims[0].writes:
            item = KeyValue(row.key, row.value, 1, row.lease)
            self.items[row.key] = item
        return Err(TransactionConflict(list(self.items.values())))


class TestLateClaim:
    async def test_a_claim_with_another_lease_is_not_led_by(self, monkeypatch):
        """A leader renewed a lease while its key ended with another one."""
        monkeypatch.setattr(election_module, 'RETRY_SECONDS', 0.01)
        store = LateStore()
        election = Election(store, make_settings('d0'), make_logger('election'))
        running = asyncio.create_task(election.run())
        while LEADER_KEY not in store.items:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        leads = election.leads
        running.cancel()
        assert (leads, store.renewed) == (False, set())
