"""An odd key or value of another writer costs nothing but itself."""

from result import Ok

from verbenapost.platform.http import Answer
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.tests.test_formats import IgnoredCalls, OneAnswer
from verbenapost.protocol.orders import CallFaultKind


class PagesWithOddKeys:
    """Answers range reads with a key that UTF-8 can't encode on each page."""

    def __init__(self):
        self.paths = []

    async def exchange(self, call):
        self.paths.append(call.path)
        fields = {
            'items': [
                {
                    'key': f'p/{len(self.paths)}\ud800',
                    'value': '',
                    'revision': 1,
                }
            ],
            'truncated': len(self.paths) < 3,
            'store_revision': 5,
        }
        return Ok(Answer(200, fields))


class TestKeys:
    """An odd key costs nothing but itself: the other keys are still read."""

    async def test_pages_go_on_after_a_key_that_cannot_be_encoded(self):
        http = PagesWithOddKeys()
        store = PlatformStore(http, '127.0.0.1:1', IgnoredCalls())
        found = await store.read_range('p/')
        assert len(found.ok_value.items) == 3
        assert all(path.isascii() for path in http.paths)

    async def test_value_that_is_no_base64_is_a_fault(self):
        item = {'key': 'k', 'value': '\u00e9', 'revision': 1}
        store = PlatformStore(
            OneAnswer(200, item), '127.0.0.1:1', IgnoredCalls()
        )
        found = await store.read_key('k')
        assert found.err_value.kind is CallFaultKind.UNKNOWN
