"""Following a prefix during an outage of the store."""

import asyncio

from result import Err, Ok

from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ChangeBatch,
    ItemPage,
)
from verbenapost.scheduler import follower as follower_module
from verbenapost.scheduler.follower import WATCH_SECONDS, PrefixFollower


class Store:
    """Answers watches from a list and records their waits."""

    def __init__(self, answers):
        self.answers = answers
        self.waits = []

    async def read_range(self, _prefix):
        return Ok(ItemPage([], truncated=False, revision=1))

    async def watch(self, _prefix, _after, wait):
        if not self.answers:
            await asyncio.Event().wait()
        self.waits.append(wait)
        return self.answers.pop(0)


class TestOutage:
    async def test_watch_does_not_wait_during_an_outage(self, monkeypatch):
        monkeypatch.setattr(follower_module, 'RETRY_SECONDS', 0)
        success = Ok(ChangeBatch([], 1))
        failed = Err(CallFault(CallFaultKind.UNKNOWN, 'silent'))
        store = Store([success, failed, failed, success, success])
        follower = PrefixFollower(
            store, 'p/', lambda _change: None, make_logger('test')
        )
        task = asyncio.create_task(follower.run())
        while store.answers:
            await asyncio.sleep(0)
        task.cancel()
        usual = WATCH_SECONDS
        assert store.waits == [usual, usual, 0, 0, usual]
