"""Following a prefix during an outage of the store."""

import asyncio

from result import Err, Ok
from structlog.testing import capture_logs

from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ChangeBatch,
    ItemPage,
    KeyChange,
    KeyValue,
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


class ListedStore(Store):
    """Lists two keys and answers watches from a list."""

    async def read_range(self, _prefix):
        items = [KeyValue('p/a', b'1', 1), KeyValue('p/b', b'1', 2)]
        return Ok(ItemPage(items, truncated=False, revision=2))


class TestLongHistory:
    """The changes of an outage are too many to arrive in time."""

    async def test_the_keys_are_listed_again(self, monkeypatch):
        """A daemon kept an old configuration for 11 s after an outage."""
        monkeypatch.setattr(follower_module, 'RETRY_SECONDS', 0)
        silent = Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
        store = Store([Ok(ChangeBatch([], 1)), *[silent] * 50])
        applied = {}
        follower = PrefixFollower(
            store,
            'p/',
            lambda change: applied.update({change.key: change.value}),
            make_logger('test'),
        )
        task = asyncio.create_task(follower.run())
        while len(store.answers) > 49:
            await asyncio.sleep(0)
        item = KeyValue('p/a', b'9', 9)

        async def read_range(_prefix):
            return Ok(ItemPage([item], truncated=False, revision=9))

        monkeypatch.setattr(store, 'read_range', read_range)
        while store.answers and not applied:
            await asyncio.sleep(0)
        task.cancel()
        assert applied == {'p/a': b'9'}


class TestFailingChange:
    async def test_changes_after_it_are_applied_and_it_is_logged(self):
        applied = []

        def fail(change):
            if change.key == 'p/a':
                raise OverflowError('injected')
            applied.append((change.key, change.revision))

        changes = [KeyChange('p/a', b'2', 3), KeyChange('p/b', b'2', 4)]
        store = ListedStore([Ok(ChangeBatch(changes, 4))])
        with capture_logs() as logs:
            follower = PrefixFollower(store, 'p/', fail, make_logger('test'))
            task = asyncio.create_task(follower.run())
            while not task.done() and follower._position.revision < 4:
                await asyncio.sleep(0)
            assert not task.done()
            task.cancel()
        assert applied == [('p/b', 2), ('p/b', 4)]
        failed = [(row['key'], row['revision']) for row in logs]
        assert failed == [('p/a', 1), ('p/a', 3)]
        assert all(row['exc_info'] for row in logs)
