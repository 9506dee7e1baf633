"""Compares four policies for slots on the same traces.

Run as ``python -m bench.policies``; the figures go to
``bench/results/policies.json`` as well.
"""

import bisect
import itertools
import json
import pathlib
import statistics
import sys
from concurrent import futures

from bench.replay import HOP, POLICIES
from bench.traces import CAPACITY, SCENARIOS, make_trace

SEEDS = (11, 12, 13, 14, 15)
#: Shortest time of a free slot that is looked at, in seconds.
SHORTEST_SPAN = 0.004

#: Replays that run at one time.
PROCESSES = 2

RESULTS = pathlib.Path(__file__).parent / 'results' / 'policies.json'


def compute_quantile(numbers, part):
    """Return a quantile of a list, 0 for an empty one."""
    ordered = sorted(numbers)
    return ordered[int(part * (len(ordered) - 1))] if ordered else 0


def count_wrong(refused, ends, long):
    """Return how many refused requests could have run in free slots.

    Each span in which one slot was free is filled with refused requests,
    one after the other, the earliest deadline first.
    """
    spans = sorted(
        span
        for key, spans in ends.free.items()
        if key[1] is long
        for span in spans
        if span[1] - span[0] > SHORTEST_SPAN
    )
    arrivals = sorted(refused, key=lambda row: row.at)
    times = [row.at for row in arrivals]
    longest = max((row.deadline - row.at for row in refused), default=0)
    taken = set()
    for begin, end in spans:
        first = bisect.bisect_left(times, begin - longest)
        now = begin
        for row in arrivals[first : bisect.bisect_left(times, end)]:
            start = max(now, row.at + HOP)
            last = min(row.deadline, end)
            fits = start + row.run + 2 * HOP <= last
            if fits and row.number not in taken:
                taken.add(row.number)
                now = start + row.run
    return len(taken)


def judge(scenario, trace, ends, calm):
    """Return the figures of one replay."""
    window = [row for row in trace if scenario.begin <= row.at < scenario.end]
    others = [row.number for row in window if not row.flood]
    served = [ends.latency[row] for row in others if row in ends.latency]
    alone = [calm.latency[row] for row in others if row in calm.latency]
    long_kinds = {'ledger'} if scenario.name == 'ledger' else set()
    wrong = 0
    for long in (True, False):
        rows = [row for row in ends.refused if (row.kind in long_kinds) is long]
        wrong += count_wrong(rows, ends, long)
    figures = {
        'others_goodput': len(served) / max(len(alone), 1),
        'others_answered': len(served) / max(len(others), 1),
        'others_p99_ms': 1000 * compute_quantile(served, 0.99),
        'p99_ratio': compute_quantile(served, 0.99)
        / max(compute_quantile(alone, 0.99), 1e-9),
        'wrongly_refused_percent': 100 * wrong / len(trace),
        'refused_percent': 100 * len(ends.refused) / len(trace),
    }
    floods = [row for row in scenario.sources if row.flood]
    if floods:
        figures.update(judge_flood(scenario, floods[0], window, ends))
        counters = [
            row.number
            for row in window
            if row.kind == 'counter' and row.number in calm.latency
        ]
        if counters:
            figures.update(judge_counters(counters, ends, calm))
    return figures


def judge_flood(scenario, flood, window, ends):
    """Compare the flood's useful run time with its two shares."""
    used = sum(
        row.run
        for row in window
        if row.flood
        and row.at + ends.latency.get(row.number, scenario.end) <= flood.end
    )
    span = flood.end - flood.begin
    weight = 1 / len({(row.team, row.kind) for row in scenario.sources})
    load = sum(row.load for row in scenario.sources if not row.flood)
    return {
        'flood_of_fair_share': used / (span * CAPACITY * weight),
        'flood_of_left_over': used / (span * CAPACITY * (1 - load)),
    }


def judge_counters(numbers, ends, calm):
    """Return what short work keeps while long work floods."""
    served = [ends.latency[row] for row in numbers if row in ends.latency]
    alone = [calm.latency[row] for row in numbers]
    return {
        'counter_goodput': len(served) / len(alone),
        'counter_p99_ratio': compute_quantile(served, 0.99)
        / compute_quantile(alone, 0.99),
    }


def replay(scenario, policy, seed):
    """Return the figures of one policy on one trace."""
    trace = make_trace(scenario, seed)
    calm_trace = make_trace(scenario, seed, flood=False)
    calm = POLICIES[policy](calm_trace).run()
    return judge(scenario, trace, POLICIES[policy](trace).run(), calm)


def summarise(rows):
    """Return median, lowest and highest of each figure."""
    return {
        name: {
            'median': round(statistics.median(row[name] for row in rows), 4),
            'low': round(min(row[name] for row in rows), 4),
            'high': round(max(row[name] for row in rows), 4),
        }
        for name in rows[0]
    }


def print_summary(scenario, policy, summary):
    """Print one block of the table."""
    print(f'{scenario} / {policy}')
    for name, figure in summary.items():
        spread = f'{figure["low"]:.4g} to {figure["high"]:.4g}'
        print(f'  {name:26}{figure["median"]:>10.4g}  ({spread})', flush=True)


def replay_all(names, seeds):
    """Return the summary of a scenario's name and a policy's name."""
    scenario, policy = names
    rows = [replay(SCENARIOS[scenario], policy, seed) for seed in seeds]
    return summarise(rows)


def main(scenarios=(), policies=(), seeds=SEEDS):
    """Replay every scenario under every policy, two at a time."""
    table = {}
    pairs = list(
        itertools.product(scenarios or SCENARIOS, policies or POLICIES),
    )
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        summaries = pool.map(replay_all, pairs, itertools.repeat(seeds))
        for (scenario, policy), summary in zip(pairs, summaries, strict=True):
            print_summary(scenario, policy, summary)
            table.setdefault(scenario, {})[policy] = summary
    return table


if __name__ == '__main__':
    chosen = [name for name in sys.argv[1:] if name in SCENARIOS]
    named = [name for name in sys.argv[1:] if name in POLICIES]
    figures = main(chosen, named)
    if not sys.argv[1:]:
        RESULTS.parent.mkdir(exist_ok=True)
        document = {'seeds': SEEDS, 'figures': figures}
        RESULTS.write_text(json.dumps(document, indent=1) + '\n')
