"""Helpers for tests of desks and rings."""

import uuid

from verbenapost.coordination.claims.arbiter import Desk
from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.coordination.claims.ring import Ring
from verbenapost.protocol.claims import ClaimKey
from verbenapost.state.claims import pack_slot, unpack_slot

#: Unix time of the tests, in seconds.
WALL = 1_700_000_000.0

PRINT = b'8 bytes.'


def make_key(tail=0, moment=WALL):
    """Return the text of a UUIDv7."""
    bits = int(moment * 1000) << 80 | 7 << 76 | 2 << 62 | tail
    return str(uuid.UUID(int=bits))


def make_desk(size=4, life=300.0, writer='w'):
    return Desk(Ring(0, size), writer, KeyWindow(life=life))


class Log:
    """Records written so far, each taken in by any desk."""

    def __init__(self):
        self.records = []

    def write(self, desk, wall=WALL):
        """Let the desk's next write take effect."""
        record = desk.start_write(wall).record
        self.records.append(unpack_slot(pack_slot(record)))
        return desk.finish_write(len(self.records), wall)

    def catch_up(self, desk, wall=WALL):
        """Let a desk take in what it has not seen."""
        start = desk.ring.sequence
        replies = []
        for index in range(start, len(self.records)):
            record = self.records[index]
            replies.extend(desk.take_in(record, index + 1, wall))
        return replies


def ask(desk, key, attempt=1, wait=10, now=0, wall=WALL, fingerprint=PRINT):
    """Ask a desk and return its messages."""
    asked = ClaimKey(key, attempt, fingerprint, wait)
    return show(desk.receive('entry', asked, now, wall))


def show(replies):
    """Return the messages of replies."""
    return [reply.message for reply in replies]
