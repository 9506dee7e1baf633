"""Growth of each role's cost with size, and the capacity page.

``python -m bench.slopes`` measures, writes ``bench/results/slopes.json`` and
``docs/capacity.png``, and renders ``docs/CAPACITY.md`` from its template. With
``--render`` the stored results are rendered without a measurement.
"""

import json
import pathlib
import sys
import time

from bench import (
    slopes_configuration,
    slopes_members,
    slopes_page,
    slopes_pools,
    slopes_queue,
    slopes_restart,
)
from bench.meters import describe_run

RESULTS = pathlib.Path(__file__).parent / 'results' / 'slopes.json'
CLAIMS = RESULTS.with_name('claims.json')
RELAY = RESULTS.with_name('relay.json')


def measure():
    """Return all fitted lines and single figures."""
    started = time.monotonic()
    restart_slopes, restart_reads = slopes_restart.measure()
    slopes = {
        **slopes_queue.measure(),
        **slopes_members.measure_claims(),
        **slopes_members.measure_members(),
        **slopes_configuration.measure(),
        **slopes_pools.measure(),
        **restart_slopes,
    }
    return {
        'run': describe_run(),
        'seconds': round(time.monotonic() - started, 1),
        'slopes': slopes,
        'messages': slopes_queue.measure_messages(),
        'tool_cpu_seconds': slopes_members.measure_tool(),
        'restart_reads': restart_reads,
        'claim_takeover_run': json.loads(CLAIMS.read_text())['takeover'],
        'relay': json.loads(RELAY.read_text()),
    }


def main():
    """Measure unless ``--render`` is given, then render the page."""
    if '--render' not in sys.argv:
        RESULTS.write_text(json.dumps(measure(), indent=1) + '\n')
    results = json.loads(RESULTS.read_text())
    slopes_page.plot(results)
    slopes_page.PAGE.write_text(slopes_page.render(results))


if __name__ == '__main__':
    main()
