"""Helpers for tests of claim arbiters and rings."""

import uuid

from verbenapost.coordination.claims.arbiter import ClaimArbiter
from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.coordination.claims.ring import Ring
from verbenapost.protocol.claims import ClaimKey
from verbenapost.state.claims import pack_slot, unpack_slot

#: Unix time of the tests, in seconds.
WALL = 1_700_000_000.0

FINGERPRINT = b'8 bytes.'


def make_key(tail=0, moment=WALL):
    """Return the text of a UUIDv7."""
    bits = int(moment * 1000) << 80 | 7 << 76 | 2 << 62 | tail
    return str(uuid.UUID(int=bits))


def make_arbiter(size=4, lifetime=300.0, writer='w'):
    return ClaimArbiter(Ring(0, size), writer, KeyWindow(lifetime=lifetime))


class Log:
    """Records written so far, which any arbiter may apply."""

    def __init__(self):
        self.records = []

    def write(self, arbiter, wall=WALL):
        """Apply the next write of an arbiter as successful."""
        record = arbiter.start_write(wall).record
        self.records.append(unpack_slot(pack_slot(record)))
        return arbiter.finish_write(len(self.records), wall)

    def catch_up(self, arbiter, wall=WALL):
        """Apply the records that an arbiter has not seen."""
        start = arbiter.ring.sequence
        replies = []
        for index in range(start, len(self.records)):
            record = self.records[index]
            replies.extend(arbiter.apply_record(record, index + 1, wall))
        return replies


def send_attempt(
    arbiter, key, attempt=1, wait=10, now=0, wall=WALL, fingerprint=FINGERPRINT
):
    """Send an attempt to an arbiter and return the answers."""
    claim_request = ClaimKey(key, attempt, fingerprint, wait)
    return get_messages(arbiter.receive('entry', claim_request, now, wall))


def get_messages(replies):
    """Return the messages of some replies."""
    return [reply.message for reply in replies]
