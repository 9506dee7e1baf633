"""Owner of a claim shard: writes the records that the arbiter builds."""

import asyncio
import contextlib
import dataclasses
import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.claims.arbiter import ClaimArbiter
from verbenapost.coordination.claims.backlog import Write
from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.coordination.claims.loader import RingLoader
from verbenapost.coordination.claims.queue import Attempt, Reply
from verbenapost.coordination.claims.ring import RecordOrder, Ring
from verbenapost.coordination.writes import Backoff, ResolvingWriter
from verbenapost.protocol.claims import ClaimAnswer, ClaimKey, RecordOutcome
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry, StorePort
from verbenapost.state.claims import RingSlotRecordError, pack_slot, unpack_slot

#: Maximum store writes per second of one shard.
DEFAULT_WRITE_RATE = 60.0

#: Number of slots of a new ring.
DEFAULT_SLOTS = 24_576

#: Records read one by one after a conflict before the ring is read whole.
MAX_CATCH_UP = 16

#: Seconds between two checks of a full ring.
FULL_RING_RETRY_SECONDS = 0.5

#: Seconds after which an unanswered write marks the store as unavailable.
SLOW_WRITE_SECONDS = 1.0

#: Maximum messages buffered while the ring is read.
MAX_BUFFERED_MESSAGES = 20_000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Settings of a claim owner.

    :param shard: number of the claim shard.
    :param slots: slots of a new ring; at least the write rate times the
        lifetime of a key.
    :param write_rate: maximum store writes per second.
    :param window: range of timestamps in which a key is accepted.
    """

    shard: int = 0
    slots: int = DEFAULT_SLOTS
    write_rate: float = DEFAULT_WRITE_RATE
    window: KeyWindow = dataclasses.field(default_factory=KeyWindow)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimPorts:
    """Store, clocks and transport that a claim owner depends on.

    :param store: the platform's store.
    :param now: clock that returns monotonic seconds.
    :param wall_clock: clock that returns Unix time in seconds.
    :param post: sends an answer to an entry.
    :param rng: random source for jitter.
    """

    store: StorePort
    now: Callable[[], float]
    wall_clock: Callable[[], float]
    post: Callable[[str, ClaimAnswer], None]
    rng: random.Random


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _BufferedMessage:
    sender: str
    message: ClaimKey | RecordOutcome
    since: float

    def is_timed_out(self, now: float) -> bool:
        if isinstance(self.message, ClaimKey):
            return self.since + self.message.wait <= now
        return False


class ClaimOwner:
    """Answers claims of a shard with at most one write in flight.

    Explanation
    ===========

    Ownership is only an optimisation that avoids conflicting writes. Several
    owners of one shard may run at the same time: each owner grants only the
    claims that its own compare-and-swap put into the ring, and after a
    conflict applies the records of the other owners.

    Call ``receive`` for each message, ``tick`` at short intervals, and run
    ``run`` as a task until ownership ends; then call ``close``.

    :param ports: store, clocks and transport to the entries.
    :param writer: random identity of this process start.
    :param settings: shard, ring size, write rate and key window.
    """

    def __init__(
        self, ports: ClaimPorts, writer: str, settings: ClaimSettings
    ) -> None:
        self.writes = 0
        self._ports = ports
        self._settings = settings
        self._arbiter = ClaimArbiter(
            Ring(settings.shard, settings.slots), writer, settings.window
        )
        self._writer = ResolvingWriter(ports.store, ports.now, ports.rng)
        self._buffered: deque[_BufferedMessage] = deque()
        self._write_started_at: float | None = None
        self._backoff = Backoff(ports.rng)
        self._loaded = False
        self._changed = asyncio.Event()
        self._interval = 1 / settings.write_rate
        self._next_write: float = 0

    @property
    def is_loaded(self) -> bool:
        """Return whether the ring has been read from the store."""
        return self._loaded

    @property
    def claim_count(self) -> int:
        """Return the number of keys in the ring."""
        return self._arbiter.ring.claim_count

    @property
    def waiting(self) -> int:
        """Return the number of waiting attempts and buffered messages."""
        return self._arbiter.waiting + len(self._buffered)

    def receive(self, sender: str, message: ClaimKey | RecordOutcome) -> None:
        """Handle a message of an entry, or buffer it until the ring is read."""
        buffered = _BufferedMessage(sender, message, self._ports.now())
        if self._loaded:
            self._dispatch(buffered)
            self._changed.set()
        elif len(self._buffered) < MAX_BUFFERED_MESSAGES:
            self._buffered.append(buffered)
        else:
            self._refuse_buffered([buffered], ErrorKind.OVERLOADED)

    def tick(self, now: float) -> None:
        """Refuse the attempts whose deadline has passed.

        :param now: monotonic seconds.
        """
        since = self._write_started_at
        if since is not None and now - since > SLOW_WRITE_SECONDS:
            self._arbiter.store_down = True
        self._post(
            self._arbiter.refuse_timed_out(now, self._ports.wall_clock())
        )
        timed_out = [
            buffered
            for buffered in self._buffered
            if buffered.is_timed_out(now)
        ]
        if timed_out:
            self._buffered = deque(
                buffered
                for buffered in self._buffered
                if not buffered.is_timed_out(now)
            )
            self._refuse_buffered(timed_out, ErrorKind.STORE_UNAVAILABLE)

    def close(self) -> None:
        """Refuse all attempts, so that the entries try the next owner."""
        self._post(self._arbiter.refuse_all())
        self._refuse_buffered(self._buffered, ErrorKind.NOT_READY)
        self._buffered.clear()

    async def run(self) -> None:
        """Read the ring and write to it until cancelled."""
        await self._load()
        while True:
            await self._wait_for_work()
            if self._arbiter.is_full(self._ports.wall_clock()):
                self._post(self._arbiter.refuse_full())
                await asyncio.sleep(FULL_RING_RETRY_SECONDS)
            else:
                await self._write(
                    self._arbiter.start_write(self._ports.wall_clock())
                )

    def _dispatch(self, buffered: _BufferedMessage) -> None:
        message = buffered.message
        wall = self._ports.wall_clock()
        if isinstance(message, ClaimKey):
            self._post(
                self._arbiter.receive(
                    buffered.sender, message, buffered.since, wall
                )
            )
        else:
            self._post(
                self._arbiter.record_outcome(message, buffered.since, wall)
            )

    def _post(self, replies: Iterable[Reply]) -> None:
        for reply in replies:
            self._ports.post(reply.sender, reply.message)

    def _refuse_buffered(
        self, messages: Iterable[_BufferedMessage], kind: ErrorKind
    ) -> None:
        for buffered in messages:
            if isinstance(buffered.message, ClaimKey):
                attempt = Attempt(
                    buffered.sender, buffered.message, b'', buffered.since
                )
                self._post([attempt.refuse(Failure(kind))])

    async def _wait_for_work(self) -> None:
        while True:
            self._changed.clear()
            due = self._arbiter.find_due_time()
            now = self._ports.now()
            if due is not None and due <= now:
                break
            with contextlib.suppress(TimeoutError):
                left = None if due is None else due - now
                await asyncio.wait_for(self._changed.wait(), left)
        pause = self._next_write - now
        if pause > 0:
            await asyncio.sleep(pause)
        self._next_write = max(now, self._next_write) + self._interval

    async def _write(self, write: Write) -> None:
        self.writes += 1
        self._write_started_at = self._ports.now()
        outcome = await self._settle(write)
        self._write_started_at = None
        if isinstance(outcome, Ok):
            wall = self._ports.wall_clock()
            self._post(self._arbiter.finish_write(outcome.ok_value, wall))
            self._backoff = Backoff(self._ports.rng)
            return
        if outcome.err_value.kind is ErrorKind.CONFLICT:
            await self._catch_up()
        else:
            self._arbiter.store_down = True
            await asyncio.sleep(self._backoff.draw_delay())
        self._post(self._arbiter.fail_write(self._ports.wall_clock()))

    async def _settle(self, write: Write) -> Result[int, Failure]:
        ring = self._arbiter.ring
        value = pack_slot(write.record)
        return await self._writer.resolve_swap(
            ring.next_key,
            ring.next_revision,
            value,
            value.__eq__,
            float('inf'),
        )

    async def _catch_up(self) -> None:
        for _ in range(MAX_CATCH_UP):
            reading = await self._ports.store.get(self._arbiter.ring.next_key)
            if isinstance(reading, Err) or reading.ok_value is None:
                return
            order = self._apply_entry(reading.ok_value)
            if order is RecordOrder.GAP:
                break
            if order is RecordOrder.OLD:
                return
        await self._load()

    def _apply_entry(self, entry: Entry) -> RecordOrder:
        try:
            record = unpack_slot(entry.value)
        except RingSlotRecordError:
            return RecordOrder.GAP
        order = self._arbiter.ring.classify(record)
        if order is RecordOrder.NEXT:
            wall = self._ports.wall_clock()
            self._post(self._arbiter.apply_record(record, entry.revision, wall))
        return order

    async def _load(self) -> None:
        backoff = Backoff(self._ports.rng)
        loader = RingLoader(
            self._ports.store, self._settings.shard, self._settings.slots
        )
        ring = await loader.load()
        while ring is None:
            self._arbiter.store_down = True
            await asyncio.sleep(backoff.draw_delay())
            ring = await loader.load()
        self._arbiter.ring = ring
        self._arbiter.store_down = False
        self._loaded = True
        while self._buffered:
            self._dispatch(self._buffered.popleft())
