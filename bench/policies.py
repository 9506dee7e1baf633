"""Comparison of four policies of slot allocation on the same traces.

``python -m bench.policies`` prints the figures and writes them to
``bench/results/policies.json``.
"""

import bisect
import itertools
import json
import pathlib
import statistics
import sys
from concurrent import futures

from bench.replay import MESSAGE_LATENCY
from bench.replay_choices import PowerOfTwo
from bench.replay_grants import (
    BatchedGrants,
    SingleGrants,
    StaticShareQueues,
)
from bench.traces import CAPACITY, SCENARIOS, make_trace

POLICIES = {
    'power_of_two': PowerOfTwo,
    'static_shares': StaticShareQueues,
    'ask_grant': SingleGrants,
    'batched_grants': BatchedGrants,
}

SEEDS = (11, 12, 13, 14, 15)

#: Shortest span of a free slot that is counted, in seconds.
MIN_FREE_SECONDS = 0.004

#: Number of replays that run at the same time.
PROCESSES = 2

RESULTS = pathlib.Path(__file__).parent / 'results' / 'policies.json'


def compute_quantile(values, fraction):
    """Return a quantile of some values, 0 if there are none.

    :param fraction: fraction of the values below the quantile.
    """
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0


def count_wrongly_refused(refused, outcome, long):
    """Return how many refused requests could have run in free slots.

    Each span in which one slot was free is filled with refused requests, one
    after the other, in order of arrival.

    :param refused: requests that were refused.
    :param outcome: outcome of the replay, with the spans of the free slots.
    :param long: whether the requests are long, which decides the slots that
        they may use.
    """
    spans = sorted(
        span
        for key, spans in outcome.free_spans.items()
        if key[1] is long
        for span in spans
        if span[1] - span[0] > MIN_FREE_SECONDS
    )
    arrivals = sorted(refused, key=lambda row: row.arrived_at)
    times = [row.arrived_at for row in arrivals]
    longest = max((row.deadline - row.arrived_at for row in refused), default=0)
    placed = set()
    for begin, end in spans:
        first = bisect.bisect_left(times, begin - longest)
        now = begin
        for row in arrivals[first : bisect.bisect_left(times, end)]:
            start = max(now, row.arrived_at + MESSAGE_LATENCY)
            last = min(row.deadline, end)
            fits = start + row.run_time + 2 * MESSAGE_LATENCY <= last
            if fits and row.number not in placed:
                placed.add(row.number)
                now = start + row.run_time
    return len(placed)


def compute_figures(scenario, trace, outcome, baseline):
    """Return the figures of one replay.

    :param scenario: scenario of the trace.
    :param trace: requests that were replayed.
    :param outcome: outcome of the replay.
    :param baseline: outcome of the same trace without its flood.
    """
    window = [
        row for row in trace if scenario.begin <= row.arrived_at < scenario.end
    ]
    others = [row.number for row in window if not row.flood]
    served_latencies = [
        outcome.latencies[row] for row in others if row in outcome.latencies
    ]
    baseline_latencies = [
        baseline.latencies[row] for row in others if row in baseline.latencies
    ]
    long_kinds = {'ledger'} if scenario.name == 'ledger' else set()
    wrongly_refused = 0
    for long in (True, False):
        rows = [
            row for row in outcome.refused if (row.kind in long_kinds) is long
        ]
        wrongly_refused += count_wrongly_refused(rows, outcome, long)
    figures = {
        'others_goodput': len(served_latencies)
        / max(len(baseline_latencies), 1),
        'others_answered': len(served_latencies) / max(len(others), 1),
        'others_p99_ms': 1000 * compute_quantile(served_latencies, 0.99),
        'p99_ratio': compute_quantile(served_latencies, 0.99)
        / max(compute_quantile(baseline_latencies, 0.99), 1e-9),
        'wrongly_refused_percent': 100 * wrongly_refused / len(trace),
        'refused_percent': 100 * len(outcome.refused) / len(trace),
    }
    floods = [row for row in scenario.sources if row.flood]
    if floods:
        figures.update(
            compute_flood_figures(scenario, floods[0], window, outcome)
        )
        counters = [
            row.number
            for row in window
            if row.kind == 'counter' and row.number in baseline.latencies
        ]
        if counters:
            figures.update(compute_counter_figures(counters, outcome, baseline))
    return figures


def compute_flood_figures(scenario, flood, window, outcome):
    """Return the useful run time of the flood relative to two shares.

    One is the fair share, the weight of the flood in the whole capacity. The
    other is the capacity that the load of all other sources leaves over.

    :param scenario: scenario of the trace.
    :param flood: source of the flood.
    :param window: requests that arrive in the measured time.
    :param outcome: outcome of the replay.
    """
    used = sum(
        row.run_time
        for row in window
        if row.flood
        and row.arrived_at + outcome.latencies.get(row.number, scenario.end)
        <= flood.end
    )
    span = flood.end - flood.begin
    weight = 1 / len({(row.team, row.kind) for row in scenario.sources})
    load = sum(row.load for row in scenario.sources if not row.flood)
    return {
        'flood_of_fair_share': used / (span * CAPACITY * weight),
        'flood_of_left_over': used / (span * CAPACITY * (1 - load)),
    }


def compute_counter_figures(numbers, outcome, baseline):
    """Return goodput and latency of short requests in a flood of long ones.

    :param numbers: short requests that the baseline answers in time.
    :param outcome: outcome of the replay.
    :param baseline: outcome of the same trace without its flood.
    """
    served_latencies = [
        outcome.latencies[row] for row in numbers if row in outcome.latencies
    ]
    baseline_latencies = [baseline.latencies[row] for row in numbers]
    return {
        'counter_goodput': len(served_latencies) / len(baseline_latencies),
        'counter_p99_ratio': compute_quantile(served_latencies, 0.99)
        / compute_quantile(baseline_latencies, 0.99),
    }


def replay(scenario, policy, seed):
    """Return the figures of one policy on one trace."""
    trace = make_trace(scenario, seed)
    baseline_trace = make_trace(scenario, seed, flood=False)
    baseline = POLICIES[policy](baseline_trace).run()
    return compute_figures(
        scenario, trace, POLICIES[policy](trace).run(), baseline
    )


def summarise(rows):
    """Return median, minimum and maximum of each figure."""
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
    """Return the summary of one policy over all traces of a scenario.

    :param names: names of the scenario and of the policy.
    :param seeds: seeds of the traces.
    """
    scenario, policy = names
    rows = [replay(SCENARIOS[scenario], policy, seed) for seed in seeds]
    return summarise(rows)


def main(scenarios=(), policies=(), seeds=SEEDS):
    """Replay scenarios under policies and return the summaries.

    ``PROCESSES`` replays run at the same time.

    :param scenarios: names of scenarios, all if empty.
    :param policies: names of policies, all if empty.
    :param seeds: seeds of the traces.
    """
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
    scenario_names = [name for name in sys.argv[1:] if name in SCENARIOS]
    policy_names = [name for name in sys.argv[1:] if name in POLICIES]
    figures = main(scenario_names, policy_names)
    if not sys.argv[1:]:
        RESULTS.parent.mkdir(exist_ok=True)
        document = {'seeds': SEEDS, 'figures': figures}
        RESULTS.write_text(json.dumps(document, indent=1) + '\n')
