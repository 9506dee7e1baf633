"""Cost of pools: buffer VMs, VM moves, maintenance waves and the solver.

``python -m bench.pools`` writes ``bench/results/pools.json``.
"""

import json
import pathlib
import statistics
from collections.abc import Iterable
from typing import Any

from bench import pools_buffer, pools_month, pools_solve, pools_waves

SEEDS = range(7)
RESULTS = pathlib.Path(__file__).parent / 'results' / 'pools.json'


def summarise(
    rows: Iterable[dict[str, Any]],
    keys: tuple[str, ...],
    figures: tuple[str, ...],
) -> list[dict[str, Any]]:
    """Return median, minimum and maximum of figures for each group of rows.

    :param rows: measured rows.
    :param keys: names that identify the group of a row.
    :param figures: names of the figures to summarise.
    """
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault(tuple(row[key] for key in keys), []).append(row)
    return [
        {
            **dict(zip(keys, group, strict=True)),
            'runs': len(members),
            **{
                figure: _describe([row[figure] for row in members])
                for figure in figures
            },
        }
        for group, members in groups.items()
    ]


def _describe(values: list[float]) -> dict[str, float]:
    return {
        'median': round(statistics.median(values), 3),
        'least': min(values),
        'greatest': max(values),
    }


def run() -> dict[str, Any]:
    """Run all measurements.

    The solver comes first because its measurement reads the peak memory of
    the whole process.
    """
    solve = pools_solve.measure(SEEDS)
    solve['summary'] = summarise(
        solve['rows'],
        ('vms',),
        (
            'seconds',
            'cpu_seconds',
            'longest_stall_ms',
            'longest_idle_stall_ms',
            'buffer',
            'bound',
            'moves',
        ),
    )
    buffer = pools_buffer.measure(SEEDS)
    waves = pools_waves.measure(SEEDS)
    month = pools_month.measure(SEEDS[:5])
    return {
        'solve': solve,
        'buffer': {
            'summary': summarise(
                buffer,
                ('site', 'survive'),
                (
                    'buffer',
                    'bound',
                    'buffer_to_bound',
                    'buffer_to_rounded_bound',
                    'vms_to_bound',
                    'dedicated',
                    'buffer_to_dedicated',
                    'dedicated_unspread',
                ),
            ),
            'rows': buffer,
        },
        'waves': {
            'summary': summarise(
                waves,
                ('site', 'equal_durations', 'max_planned'),
                ('seconds', 'bound_seconds', 'ratio'),
            ),
            'rows': waves,
        },
        'month': {
            'summary': summarise(
                month,
                ('site', 'racks'),
                (
                    'events',
                    'moves',
                    'greedy_moves',
                    'moves_to_greedy',
                    'lazy_moves',
                    'moves_to_lazy',
                    'uncovered_hours',
                    'greedy_uncovered_hours',
                    'lazy_uncovered_hours',
                ),
            ),
            'rows': month,
        },
    }


def main() -> None:
    """Write the results and print the summaries."""
    results = run()
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + '\n')
    for name, part in results.items():
        print(name)
        for row in part['summary']:
            print('  ', json.dumps(row))


if __name__ == '__main__':
    main()
