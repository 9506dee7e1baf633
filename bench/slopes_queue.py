"""Slopes of the queue owner and of the entry's side of asking."""

import gc
import tracemalloc

import msgpack

from bench.slopes_fit import fit_line, time_cpu
from verbenapost.coordination.askers import SlotAsker
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.targets import Target
from verbenapost.protocol import codec
from verbenapost.protocol.slots import (
    AskSlot,
    GrantSlot,
    ReleaseSlot,
    ReportSlots,
    RunningGrant,
    pack_ask,
)

#: Asks that wait, targets, and grants that are reported.
WAITING = (1_000, 3_000, 9_000)
TARGETS = (6, 60, 300, 600)
REPORTED = (300, 600, 1_200)
ROWS = (1_000, 3_000, 10_000)

#: Grants that are reported, the slots of 78 targets.
FULL = 624

#: Asks of one CPU reading and readings of each size.
PAIRS = 100
REPEATS = 3

#: Teams and entries among which the asks are spread.
TEAMS = 50
ENTRIES = 36

#: Slots of a target.
SLOTS = 8

#: Seconds that callers wait, long enough for no refusal.
PATIENCE = 3_000.0


def make_ask(number):
    """Return an ask as an entry sends it."""
    return AskSlot(
        f'{number:032x}',
        'booking',
        f'team-{number % TEAMS}',
        'visit',
        number % 8,
        PATIENCE,
        entry=f'entry-{number % ENTRIES:02d}',
    )


def make_targets(count):
    """Return targets with their slots."""
    return [
        Target(f'cs-{number:05d}', f'10.0.{number // 250}.{number % 250}:80', 8)
        for number in range(count)
    ]


def make_queue(targets):
    """Return a queue over some targets."""
    queue = ServiceQueue('booking', 1)
    queue.set_targets(0, make_targets(targets))
    return queue


def measure_bytes(build):
    """Return the bytes that a built object holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size if kept is not None else 0


def fill_queue(waiting):
    """Return a queue with all slots taken and asks that wait."""
    queue = make_queue(1)
    for number in range(waiting + SLOTS):
        queue.ask(0, make_ask(number))
    if queue.waiting != waiting:
        raise RuntimeError('the queue has refused an ask')
    return queue


def fill_asker(waiting):
    """Return the entry's side with asks that wait."""
    asker = SlotAsker('entry-00', lambda _service: 'entry-01')
    for number in range(waiting):
        asker.ask(0, make_ask(number))
    return asker


def fill_grants(count):
    """Return a queue with running grants and free slots besides."""
    queue = make_queue(count // SLOTS + 1)
    for number in range(count):
        queue.ask(0, make_ask(number))
    return queue


def serve_pairs(queue, start):
    """Ask and release, as many times as one reading takes."""
    now = 1.0
    for number in range(start, start + PAIRS):
        now += 0.0001
        for envelope in queue.ask(now, make_ask(number)):
            grant = envelope.message
            if isinstance(grant, GrantSlot):
                done = ReleaseSlot(grant.grant, grant.ask_id, 'ok', 0.05)
                queue.release(now, done)


def measure_pairs():
    """Return microseconds of an ask, its grant and release, by targets."""
    points = []
    for targets in TARGETS:
        queue = make_queue(targets)
        for number in range(targets):
            queue.ask(0, make_ask(number))
        for turn in range(REPEATS):
            start = 10**6 * (turn + 1)
            cpu = time_cpu(serve_pairs, queue, start)
            points.append((targets, cpu / PAIRS * 1e6))
    return fit_line('us of CPU a request', 'target', points)


def serve_waiting(queue, running):
    """Release one grant after the other while asks wait."""
    for turn in range(PAIRS):
        grant = running.pop(0)
        done = ReleaseSlot(grant.grant, grant.ask_id, 'ok', 0.05)
        now = 1 + turn * 0.001
        granted = queue.release(now, done)
        running.extend(envelope.message for envelope in granted)
        queue.ask(now, make_ask(10**6 + turn))


def measure_backlog():
    """Return microseconds of a request by the asks that wait."""
    points = []
    for waiting in WAITING:
        for _ in range(REPEATS):
            queue = fill_queue(waiting)
            running = [grant.message for grant in queue.grants]
            cpu = time_cpu(serve_waiting, queue, running)
            points.append((waiting, cpu / PAIRS * 1e6))
    return fit_line('us of CPU a request', 'waiting ask', points)


def measure_targets(action, unit, factor):
    """Return the CPU of one action of a slightly used queue by its targets."""
    points = []
    for targets in TARGETS:
        queue = make_queue(targets)
        for number in range(targets):
            queue.ask(0, make_ask(number))
        for _ in range(REPEATS):
            cpu = time_cpu(action, queue, targets)
            points.append((targets, cpu * factor))
    return fit_line(unit, 'target', points)


def tick_often(queue, _targets):
    """Let a hundred ticks of 50 ms pass."""
    started = queue._sized_at + 0.05  # noqa: SLF001
    for turn in range(100):
        queue.tick(started + turn * 0.05)


def replace_targets(queue, targets):
    """Replace the targets as after a change of one VM."""
    rows = make_targets(targets)
    for _ in range(10):
        queue.set_targets(1, rows)


def make_reports(count):
    """Return the reports of all entries, with all slots in use."""
    reports = []
    for entry in range(ENTRIES):
        numbers = range(entry, count, ENTRIES)
        name = f'entry-{entry:02d}'
        running = tuple(
            RunningGrant(
                number,
                f'{number:032x}',
                f'cs-{number // SLOTS:05d}',
                f'team-{number % TEAMS}',
                'visit',
                0.5,
            )
            for number in numbers
            if number < FULL
        )
        waiting = tuple(
            pack_ask(make_ask(number)) for number in numbers if number >= FULL
        )
        reports.append(ReportSlots(name, 1, running, waiting, 'booking'))
    return reports


def take_reports(blobs, targets):
    """Start a new owner from packed reports; answer whether it may grant."""
    queue = ServiceQueue('booking', 1)
    queue.set_targets(0, make_targets(targets))
    queue.start(0, [f'entry-{entry:02d}' for entry in range(ENTRIES)])
    for blob in blobs:
        queue.report(0.1, codec.decode(msgpack.unpackb(blob, use_list=False)))
    if len(queue.grants) != targets * SLOTS:
        raise RuntimeError('the new owner lacks asks')


def measure_rebuild():
    """Return CPU and bytes of a new owner by what is reported to it."""
    seconds, sizes = [], []
    for count in ROWS:
        blobs = [codec.encode(report) for report in make_reports(count)]
        for _ in range(REPEATS):
            cpu = time_cpu(take_reports, blobs, FULL // SLOTS)
            seconds.append((count, cpu * 1e6))
        sizes.append((count, sum(map(len, blobs))))
    return {
        'queue_rebuild_cpu': fit_line('us of CPU', 'reported row', seconds),
        'queue_rebuild_bytes': fit_line('bytes', 'reported row', sizes),
    }


def measure_messages():
    """Return the bytes of the messages of one request."""
    ask = make_ask(12_345)
    grant = GrantSlot(
        ask.ask_id, 123_456, 'cs-00123', '10.0.0.1:80', 30.5, 'booking', 10**12
    )
    done = ReleaseSlot(123_456, ask.ask_id, 'ok', 0.0512, 'booking')
    return {
        'ask_bytes': len(codec.encode(ask)),
        'grant_bytes': len(codec.encode(grant)),
        'release_bytes': len(codec.encode(done)),
    }


def measure():
    """Return all slopes of the queue."""
    held = [(n, measure_bytes(lambda n=n: fill_queue(n))) for n in WAITING]
    asked = [(n, measure_bytes(lambda n=n: fill_asker(n))) for n in WAITING]
    granted = [(n, measure_bytes(lambda n=n: fill_grants(n))) for n in REPORTED]
    ticks = measure_targets(tick_often, 'us of CPU a tick', 1e4)
    changes = measure_targets(replace_targets, 'us of CPU a change', 1e5)
    return {
        'queue_ask_bytes': fit_line('bytes', 'waiting ask', held),
        'entry_ask_bytes': fit_line('bytes', 'waiting request', asked),
        'queue_grant_bytes': fit_line('bytes', 'running grant', granted),
        'queue_pair_cpu': measure_pairs(),
        'queue_backlog_cpu': measure_backlog(),
        'queue_tick_cpu': ticks,
        'queue_change_cpu': changes,
        **measure_rebuild(),
    }
