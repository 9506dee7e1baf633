"""CPU time of one slot request, grant and release at the queue owner.

``python -m bench.queuecost NAME`` prints a table and stores the figures under
NAME in ``bench/results/queuecost.json``.
"""

import json
import statistics
import sys
import time
from pathlib import Path

from bench.meters import describe_run
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import ReleaseSlot, SlotRequest

RESULTS = Path(__file__).parent / 'results' / 'queuecost.json'

#: Measured numbers of targets of the service.
SIZES = (6, 60, 500)

#: Slots of a target, and fraction of all slots that is in use.
SLOTS = 8
USED_FRACTION = 0.5

#: Pairs of slot request and release in a round, and number of rounds.
PAIRS = 1000
ROUNDS = 5


def run_pairs(queue, names, running):
    """Request a slot and release the oldest grant, once for each name.

    :param queue: queue of the service.
    :param names: identities of the slot requests.
    :param running: grants that are not released yet, oldest first.
    """
    for name in names:
        now = time.monotonic()
        slot_request = SlotRequest(
            name, 'booking', 'portal', 'visit', entry='e-1'
        )
        running.append(queue.request_slot(now, slot_request)[0].message)
        oldest = running.pop(0)
        message = ReleaseSlot(oldest.grant, oldest.slot_request_id, 'ok', 0.05)
        queue.release(now, message)


def measure(size):
    """Return the microseconds per pair of each round.

    :param size: number of targets.
    """
    queue = ServiceQueue('booking')
    queue.set_targets(
        0,
        [Target(f'vm-{row}', '127.0.0.1:80', SLOTS) for row in range(size)],
    )
    running = []
    now = time.monotonic()
    for row in range(int(size * SLOTS * USED_FRACTION)):
        slot_request = SlotRequest(
            f'h{row}', 'booking', 'portal', 'visit', entry='e-1'
        )
        running.append(queue.request_slot(now, slot_request)[0].message)
    rounds = []
    for number in range(ROUNDS + 1):
        names = [f'a{number}-{row}' for row in range(PAIRS)]
        started = time.process_time()
        run_pairs(queue, names, running)
        rounds.append((time.process_time() - started) / PAIRS * 1e6)
    # The first round is left out: the queue learns the run times in it.
    return rounds[1:]


def main():
    """Measure all sizes and store the figures."""
    name = sys.argv[1] if len(sys.argv) > 1 else 'now'
    figures = {str(size): measure(size) for size in SIZES}
    for size, rounds in figures.items():
        sys.stdout.write(
            f'{size:>4} targets: {statistics.median(rounds):8.1f} us a pair '
            f'({min(rounds):.1f} to {max(rounds):.1f})\n',
        )
    results = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    results[name] = {'run': describe_run(), 'microseconds': figures}
    RESULTS.write_text(json.dumps(results, indent=2) + '\n')


if __name__ == '__main__':
    main()
