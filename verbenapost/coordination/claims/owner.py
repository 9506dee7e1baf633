"""Owner of a claim shard: writes what the desk has collected."""

import asyncio
import contextlib
import dataclasses
import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.claims.arbiter import Desk
from verbenapost.coordination.claims.backlog import Write
from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.coordination.claims.loader import RingLoader
from verbenapost.coordination.claims.queue import Attempt, Reply
from verbenapost.coordination.claims.ring import Fit, Ring
from verbenapost.coordination.writes import Backoff, SettledWriter
from verbenapost.protocol.claims import ClaimAnswer, ClaimKey, RecordOutcome
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry, StorePort
from verbenapost.state.claims import RecordError, pack_slot, unpack_slot

#: Store writes a second of one shard, at most.
DEFAULT_WRITE_RATE = 60.0

#: Slots of a new ring.
DEFAULT_SLOTS = 24_576

#: Records read one by one before the whole ring is read.
MAX_CATCH_UP = 16

#: Seconds between looks at a full ring.
FULL_RING_WAIT = 0.5

#: Seconds after which an unanswered write counts as a store that is down.
SLOW_WRITE = 1.0

#: Messages held while the ring is read.
MAX_HELD_MESSAGES = 20_000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How a claim owner works.

    :param shard: number of the claim shard.
    :param slots: slots of a new ring; at least the write rate times the life
        of a key.
    :param write_rate: store writes a second, at most.
    :param window: times that keys may have.
    """

    shard: int = 0
    slots: int = DEFAULT_SLOTS
    write_rate: float = DEFAULT_WRITE_RATE
    window: KeyWindow = dataclasses.field(default_factory=KeyWindow)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimPorts:
    """What a claim owner uses of its surroundings.

    :param store: platform's store.
    :param now: clock that returns monotonic seconds.
    :param wall: clock that returns Unix time in seconds.
    :param post: sends an answer to an entry.
    :param chance: source of jitter.
    """

    store: StorePort
    now: Callable[[], float]
    wall: Callable[[], float]
    post: Callable[[str, ClaimAnswer], None]
    chance: random.Random


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    sender: str
    message: ClaimKey | RecordOutcome
    since: float

    def is_late(self, now: float) -> bool:
        if isinstance(self.message, ClaimKey):
            return self.since + self.message.wait <= now
        return False


class ClaimOwner:
    """Answers claims of a shard, at most one write in flight.

    Explanation
    ===========

    Being the owner is only a hint that spares work. Several owners of one
    shard may run at once: each grants only what its own swap has put into
    the ring, and after a lost swap takes in what the others wrote.

    Call ``receive`` for each message, ``tick`` at short intervals, and run
    ``run`` as a task until the duty ends; then call ``close``.

    :param ports: store, clocks and the way to the entries.
    :param writer: random identity of this process start.
    :param settings: shard, size and rates.
    """

    def __init__(
        self, ports: ClaimPorts, writer: str, settings: ClaimSettings
    ) -> None:
        self.writes = 0
        self._ports = ports
        self._settings = settings
        self._desk = Desk(
            Ring(settings.shard, settings.slots), writer, settings.window
        )
        self._settler = SettledWriter(ports.store, ports.now, ports.chance)
        self._held: deque[_Held] = deque()
        self._flight_since: float | None = None
        self._backoff = Backoff(ports.chance)
        self._loaded = False
        self._changed = asyncio.Event()
        self._interval = 1 / settings.write_rate
        self._next_write: float = 0

    @property
    def is_loaded(self) -> bool:
        """Return whether the ring has been read."""
        return self._loaded

    @property
    def remembered(self) -> int:
        """Return the number of keys in the ring."""
        return self._desk.ring.claim_count

    @property
    def waiting(self) -> int:
        """Return the number of attempts that wait."""
        return self._desk.waiting + len(self._held)

    def change_rate(self, write_rate: float) -> None:
        """Set the writes a second from now on."""
        self._interval = 1 / write_rate

    def receive(self, sender: str, message: ClaimKey | RecordOutcome) -> None:
        """Take a message of an entry."""
        held = _Held(sender, message, self._ports.now())
        if self._loaded:
            self._dispatch(held)
            self._changed.set()
        elif len(self._held) < MAX_HELD_MESSAGES:
            self._held.append(held)
        else:
            self._refuse_held([held], ErrorKind.OVERLOADED)

    def tick(self, now: float) -> None:
        """Refuse the attempts whose callers' time is up.

        :param now: monotonic seconds.
        """
        since = self._flight_since
        if since is not None and now - since > SLOW_WRITE:
            self._desk.store_down = True
        self._post(self._desk.refuse_late(now, self._ports.wall()))
        late = [held for held in self._held if held.is_late(now)]
        if late:
            self._held = deque(
                held for held in self._held if not held.is_late(now)
            )
            self._refuse_held(late, ErrorKind.STORE_UNAVAILABLE)

    def close(self) -> None:
        """Refuse all that waits, so that the entries ask the next owner."""
        self._post(self._desk.refuse_all())
        self._refuse_held(self._held, ErrorKind.NOT_READY)
        self._held.clear()

    async def run(self) -> None:
        """Read the ring and write to it until cancelled."""
        await self._load()
        while True:
            await self._wait_for_work()
            if self._desk.is_full(self._ports.wall()):
                self._post(self._desk.refuse_full())
                await asyncio.sleep(FULL_RING_WAIT)
            else:
                await self._write(self._desk.start_write(self._ports.wall()))

    def _dispatch(self, held: _Held) -> None:
        message = held.message
        wall = self._ports.wall()
        if isinstance(message, ClaimKey):
            self._post(
                self._desk.receive(held.sender, message, held.since, wall)
            )
        else:
            self._post(self._desk.record_outcome(message, held.since, wall))

    def _post(self, replies: Iterable[Reply]) -> None:
        for reply in replies:
            self._ports.post(reply.sender, reply.message)

    def _refuse_held(self, late: Iterable[_Held], kind: ErrorKind) -> None:
        for held in late:
            if isinstance(held.message, ClaimKey):
                attempt = Attempt(held.sender, held.message, b'', held.since)
                self._post([attempt.refuse(Failure(kind))])

    async def _wait_for_work(self) -> None:
        while True:
            self._changed.clear()
            due = self._desk.find_due()
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
        self._flight_since = self._ports.now()
        outcome = await self._settle(write)
        self._flight_since = None
        if isinstance(outcome, Ok):
            wall = self._ports.wall()
            self._post(self._desk.finish_write(outcome.ok_value, wall))
            self._backoff = Backoff(self._ports.chance)
            return
        if outcome.err_value.kind is ErrorKind.CONFLICT:
            await self._catch_up()
        else:
            self._desk.store_down = True
            await asyncio.sleep(self._backoff.draw())
        self._post(self._desk.lose_write(self._ports.wall()))

    async def _settle(self, write: Write) -> Result[int, Failure]:
        ring = self._desk.ring
        value = pack_slot(write.record)
        return await self._settler.settle_swap(
            ring.next_key,
            ring.next_revision,
            value,
            value.__eq__,
            float('inf'),
        )

    async def _catch_up(self) -> None:
        for _ in range(MAX_CATCH_UP):
            reading = await self._ports.store.get(self._desk.ring.next_key)
            if isinstance(reading, Err) or reading.ok_value is None:
                return
            fit = self._take_in(reading.ok_value)
            if fit is Fit.GAP:
                break
            if fit is Fit.OLD:
                return
        await self._load()

    def _take_in(self, entry: Entry) -> Fit:
        try:
            record = unpack_slot(entry.value)
        except RecordError:
            return Fit.GAP
        fit = self._desk.ring.judge(record)
        if fit is Fit.NEXT:
            wall = self._ports.wall()
            self._post(self._desk.take_in(record, entry.revision, wall))
        return fit

    async def _load(self) -> None:
        backoff = Backoff(self._ports.chance)
        loader = RingLoader(
            self._ports.store, self._settings.shard, self._settings.slots
        )
        ring = await loader.load()
        while ring is None:
            self._desk.store_down = True
            await asyncio.sleep(backoff.draw())
            ring = await loader.load()
        self._desk.ring = ring
        self._desk.store_down = False
        self._loaded = True
        while self._held:
            self._dispatch(self._held.popleft())
