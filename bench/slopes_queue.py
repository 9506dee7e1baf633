"""Growth of the cost of the queue owner and of the entry's slot client."""

import gc
import tracemalloc

import msgpack

from bench.slopes_fit import fit_line, time_cpu
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.slotclient import SlotClient
from verbenapost.coordination.targets import Target
from verbenapost.protocol import codec
from verbenapost.protocol.slots import (
    GrantSlot,
    ReleaseSlot,
    ReportSlots,
    RunningGrant,
    SlotRequest,
    pack_slot_request,
)

#: Measured numbers of waiting slot requests, targets, running grants, and rows
#: of the reports to a new owner.
WAITING = (1_000, 3_000, 9_000)
TARGETS = (6, 60, 300, 600)
GRANTS = (300, 600, 1_200)
REPORTED_ROWS = (1_000, 3_000, 10_000)

#: Grants among the rows of the reports, the slots of 78 targets.
REPORTED_GRANTS = 624

#: Slot requests per CPU reading, and readings per size.
PAIRS = 100
REPEATS = 3

#: Teams and entries among which the slot requests are spread.
TEAMS = 50
ENTRIES = 36

#: Slots of a target.
SLOTS = 8

#: Seconds that callers wait, long enough that the queue refuses none.
WAIT_SECONDS = 3_000.0


def make_slot_request(number):
    """Return a slot request as an entry sends it."""
    return SlotRequest(
        f'{number:032x}',
        'booking',
        f'team-{number % TEAMS}',
        'visit',
        number % 8,
        WAIT_SECONDS,
        entry=f'entry-{number % ENTRIES:02d}',
    )


def make_targets(count):
    """Return targets with eight slots each."""
    return [
        Target(f'cs-{number:05d}', f'10.0.{number // 250}.{number % 250}:80', 8)
        for number in range(count)
    ]


def make_queue(targets):
    """Return a queue with targets.

    :param targets: number of targets.
    """
    queue = ServiceQueue('booking', 1)
    queue.set_targets(0, make_targets(targets))
    return queue


def make_busy_queue(targets):
    """Return a queue with as many running grants as targets.

    :param targets: number of targets.
    """
    queue = make_queue(targets)
    for number in range(targets):
        queue.request_slot(0, make_slot_request(number))
    return queue


def measure_bytes(build):
    """Return the traced memory of an object, in bytes.

    :param build: returns the object.
    """
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size if built is not None else 0


def fill_queue(waiting):
    """Return a queue without free slots and with waiting slot requests."""
    queue = make_queue(1)
    for number in range(waiting + SLOTS):
        queue.request_slot(0, make_slot_request(number))
    if queue.waiting != waiting:
        raise RuntimeError('the queue has refused a slot request')
    return queue


def fill_client(waiting):
    """Return an entry's slot client with pending slot requests."""
    client = SlotClient('entry-00', lambda _service: 'entry-01')
    for number in range(waiting):
        client.request_slot(0, make_slot_request(number))
    return client


def fill_grants(count):
    """Return a queue with running grants and some free slots."""
    queue = make_queue(count // SLOTS + 1)
    for number in range(count):
        queue.request_slot(0, make_slot_request(number))
    return queue


def run_pairs(queue, start):
    """Request and release a slot, once for each request of a CPU reading."""
    now = 1.0
    for number in range(start, start + PAIRS):
        now += 0.0001
        for queue_message in queue.request_slot(now, make_slot_request(number)):
            grant = queue_message.message
            if isinstance(grant, GrantSlot):
                release_message = ReleaseSlot(
                    grant.grant, grant.slot_request_id, 'ok', 0.05
                )
                queue.release(now, release_message)


def measure_pairs():
    """Fit the CPU time of a slot request to the number of targets.

    The time includes the grant and the release.
    """
    points = []
    for targets in TARGETS:
        queue = make_busy_queue(targets)
        for turn in range(REPEATS):
            start = 10**6 * (turn + 1)
            cpu = time_cpu(run_pairs, queue, start)
            points.append((targets, cpu / PAIRS * 1e6))
    return fit_line('us of CPU a request', 'target', points)


def run_backlog(queue, running):
    """Release one grant after the other while slot requests wait."""
    for turn in range(PAIRS):
        grant = running.pop(0)
        release_message = ReleaseSlot(
            grant.grant, grant.slot_request_id, 'ok', 0.05
        )
        now = 1 + turn * 0.001
        granted = queue.release(now, release_message)
        running.extend(queue_message.message for queue_message in granted)
        queue.request_slot(now, make_slot_request(10**6 + turn))


def measure_backlog():
    """Fit the CPU time of a slot request to the number that wait."""
    points = []
    for waiting in WAITING:
        for _ in range(REPEATS):
            queue = fill_queue(waiting)
            running = [grant.message for grant in queue.grants]
            cpu = time_cpu(run_backlog, queue, running)
            points.append((waiting, cpu / PAIRS * 1e6))
    return fit_line('us of CPU a request', 'waiting ask', points)


def measure_targets(action, unit, factor):
    """Fit the CPU time of an action to the number of targets.

    The queue has as many running grants as targets.

    :param action: function of a queue and its number of targets.
    :param unit: unit of the result.
    :param factor: factor from the seconds of the action to the unit.
    """
    points = []
    for targets in TARGETS:
        queue = make_busy_queue(targets)
        for _ in range(REPEATS):
            cpu = time_cpu(action, queue, targets)
            points.append((targets, cpu * factor))
    return fit_line(unit, 'target', points)


def run_ticks(queue, _targets):
    """Run a hundred ticks, 50 ms apart."""
    started = queue._sized_at + 0.05  # noqa: SLF001
    for turn in range(100):
        queue.tick(started + turn * 0.05)


def replace_targets(queue, targets):
    """Replace the targets ten times, as after a change of one VM."""
    rows = make_targets(targets)
    for _ in range(10):
        queue.set_targets(1, rows)


def make_reports(count):
    """Return the reports of all entries, with all slots in use.

    :param count: reported rows, running grants and waiting slot requests.
    """
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
            if number < REPORTED_GRANTS
        )
        waiting = tuple(
            pack_slot_request(make_slot_request(number))
            for number in numbers
            if number >= REPORTED_GRANTS
        )
        reports.append(ReportSlots(name, 1, running, waiting, 'booking'))
    return reports


def rebuild_queue(encoded_reports, targets):
    """Rebuild the queue of a new owner from encoded reports.

    :param encoded_reports: reports of all entries, one bytes object each.
    :param targets: number of targets.
    :raises RuntimeError: if the rebuilt queue lacks grants.
    """
    queue = ServiceQueue('booking', 1)
    queue.set_targets(0, make_targets(targets))
    queue.start(0, [f'entry-{entry:02d}' for entry in range(ENTRIES)])
    for encoded in encoded_reports:
        queue.report(
            0.1, codec.decode(msgpack.unpackb(encoded, use_list=False))
        )
    if len(queue.grants) != targets * SLOTS:
        raise RuntimeError('the new owner lacks grants')


def measure_rebuild():
    """Fit CPU and bytes of a new owner to the number of reported rows."""
    seconds, sizes = [], []
    for count in REPORTED_ROWS:
        encoded_reports = [
            codec.encode(report) for report in make_reports(count)
        ]
        for _ in range(REPEATS):
            cpu = time_cpu(
                rebuild_queue, encoded_reports, REPORTED_GRANTS // SLOTS
            )
            seconds.append((count, cpu * 1e6))
        sizes.append((count, sum(map(len, encoded_reports))))
    return {
        'queue_rebuild_cpu': fit_line('us of CPU', 'reported row', seconds),
        'queue_rebuild_bytes': fit_line('bytes', 'reported row', sizes),
    }


def measure_messages():
    """Return the encoded size of each message of one slot request."""
    slot_request = make_slot_request(12_345)
    grant = GrantSlot(
        slot_request.slot_request_id,
        123_456,
        'cs-00123',
        '10.0.0.1:80',
        30.5,
        'booking',
        10**12,
    )
    release_message = ReleaseSlot(
        123_456, slot_request.slot_request_id, 'ok', 0.0512, 'booking'
    )
    return {
        'ask_bytes': len(codec.encode(slot_request)),
        'grant_bytes': len(codec.encode(grant)),
        'release_bytes': len(codec.encode(release_message)),
    }


def measure():
    """Return the fitted lines of the queue."""
    queue_bytes = [
        (n, measure_bytes(lambda n=n: fill_queue(n))) for n in WAITING
    ]
    client_bytes = [
        (n, measure_bytes(lambda n=n: fill_client(n))) for n in WAITING
    ]
    grant_bytes = [
        (n, measure_bytes(lambda n=n: fill_grants(n))) for n in GRANTS
    ]
    ticks = measure_targets(run_ticks, 'us of CPU a tick', 1e4)
    changes = measure_targets(replace_targets, 'us of CPU a change', 1e5)
    return {
        'queue_ask_bytes': fit_line('bytes', 'waiting ask', queue_bytes),
        'entry_ask_bytes': fit_line('bytes', 'waiting request', client_bytes),
        'queue_grant_bytes': fit_line('bytes', 'running grant', grant_bytes),
        'queue_pair_cpu': measure_pairs(),
        'queue_backlog_cpu': measure_backlog(),
        'queue_tick_cpu': ticks,
        'queue_change_cpu': changes,
        **measure_rebuild(),
    }
