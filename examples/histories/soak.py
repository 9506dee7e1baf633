"""Soak test: runs a site under all faults and prints the rule violations.

``python -m examples.histories.soak --seed=1 --minutes=5`` exits with 0 when
all rules held and with 1 when one was violated.
"""

import asyncio
import collections
import random
import sys
import tempfile
from pathlib import Path

import fire

from examples.histories import (  # noqa: F401  fill the registry
    fleetrules,
    requestrules,
)
from examples.histories.nemesis import FAULTS
from examples.histories.records import History, Violation
from examples.histories.registry import RULES, find_violations
from examples.histories.scenarios import Scenario, run_scenario
from examples.sites import SITES

#: Seconds per minute.
SECONDS_PER_MINUTE = 60

#: Shortest and longest outage of the store in seconds.
OUTAGE_SECONDS = (1.0, 60.0)

#: Upper bound of a drawn seed.
SEED_BOUND = 1_000_000

#: Largest number of printed violations of one rule.
MAX_PRINTED_VIOLATIONS = 5


def format_counts(history: History) -> list[str]:
    """Return the numbers of records in a history, one text per kind."""
    outcomes = collections.Counter(
        answer.outcome or str(answer.status) for answer in history.answered
    )
    kinds = collections.Counter(
        f'{answer.kind} ({answer.outcome})'
        for answer in history.answered
        if answer.kind
    )
    injected_faults = collections.Counter(
        injected.kind for injected in history.injected_faults
    )
    changes = collections.Counter(change.outcome for change in history.changes)
    return [
        f'sent {len(history.sent)}, cut {len(history.disconnects)}',
        f'runs {len(history.runs)}',
        f'answers: {_join(outcomes)}',
        f'failures: {_join(kinds)}',
        f'faults: {_join(injected_faults)}',
        f'changes: {_join(changes)}; looks {len(history.configs)}',
        f'states of VM records: {len(history.vms)}',
    ]


def format_violations(found: list[Violation]) -> list[str]:
    """Return one row for each rule, followed by its first violations."""
    rows = []
    for rule in RULES:
        details = [row.detail for row in found if row.rule == rule]
        rows.append(f'{rule:14}{len(details):8} violations')
        rows += [f'    {detail}' for detail in details[:MAX_PRINTED_VIOLATIONS]]
    return rows


def main(
    seed: int | None = None,
    minutes: float = 1.0,
    site: str = 'caledon',
    faults: str = '',
    logs: str = '',
) -> None:
    """Run a site under all faults and check its history.

    :param seed: seed of all chances; drawn and printed when not given.
    :param minutes: how long requests are sent.
    :param site: ``caledon`` or ``hai_phong``.
    :param faults: names of faults, joined by commas; all when empty.
    :param logs: folder that keeps the logs of the processes.
    """
    if site not in SITES:
        sys.exit(f'site: there is no {site}; take one of {", ".join(SITES)}')
    if seed is None:
        seed = random.SystemRandom().randrange(SEED_BOUND)
    names = faults if isinstance(faults, str) else ','.join(faults)
    kinds = tuple(names.split(',')) if names else tuple(FAULTS)
    sys.stdout.write(f'seed {seed}, {minutes} minutes, {site}\n')
    sys.stdout.flush()
    scenario = Scenario(
        seed=seed,
        seconds=minutes * SECONDS_PER_MINUTE,
        kinds=kinds,
        site=site,
        outage_seconds=OUTAGE_SECONDS,
    )
    with tempfile.TemporaryDirectory(prefix='verbenapost-') as folder:
        log_folder = Path(logs or folder)
        log_folder.mkdir(parents=True, exist_ok=True)
        history = asyncio.run(run_scenario(scenario, log_folder))
    found = find_violations(history)
    lines = [*format_counts(history), *format_violations(found)]
    sys.stdout.write('\n'.join([*lines, '']))
    sys.exit(1 if found else 0)


def _join(counts: collections.Counter[str]) -> str:
    return ', '.join(f'{name} {count}' for name, count in counts.most_common())


if __name__ == '__main__':
    fire.Fire(main)
