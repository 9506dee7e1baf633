"""Tests of the replay and of its figures."""

import dataclasses

import pytest

from bench.policies import POLICIES, count_wrongly_refused
from bench.replay import ReplayOutcome
from bench.traces import SCENARIOS, Request, Scenario, Source, make_trace

SMALL = Scenario(
    'small',
    (
        Source('portal', 'visit', 2, 0.1, 2, 0.2, end=2),
        Source('batch', 'visit', 7, 0.1, 1, 2, 0.5, 1.5, flood=True),
    ),
    0.5,
    1.5,
)


def make_refused(number, arrived_at, deadline, run_time):
    return Request(
        number, arrived_at, 't', 'k', 1, deadline, run_time, 0, flood=True
    )


class TestTraces:
    def test_a_seed_gives_the_same_trace(self):
        scenario = SCENARIOS['burst']
        assert make_trace(scenario, 3) == make_trace(scenario, 3)

    def test_the_other_work_is_the_same_without_the_flood(self):
        with_flood = make_trace(SMALL, 3)
        without_flood = make_trace(SMALL, 3, flood=False)
        assert [row for row in with_flood if not row.flood] == without_flood


class TestReplay:
    @pytest.mark.parametrize('policy', sorted(POLICIES))
    def test_each_request_ends_at_most_once(self, policy):
        trace = make_trace(SMALL, 5)
        outcome = POLICIES[policy](trace).run()
        refused = [row.number for row in outcome.refused]
        assert len(refused) == len(set(refused))
        assert not set(refused) & set(outcome.latencies)
        assert outcome.latencies


class TestWrongRefusals:
    def test_one_free_slot_serves_one_request_after_the_other(self):
        outcome = ReplayOutcome(free_spans={(0, False): [(0, 1)]})
        rows = [make_refused(number, 0, 5, 0.4) for number in range(9)]
        assert count_wrongly_refused(rows, outcome, long=False) == 2

    def test_a_slot_that_is_free_too_late_serves_no_request(self):
        outcome = ReplayOutcome(free_spans={(0, False): [(4.8, 9)]})
        assert not count_wrongly_refused(
            [make_refused(1, 0, 5, 0.4)], outcome, long=False
        )

    def test_a_slot_kept_for_short_work_is_not_free_for_long_work(self):
        outcome = ReplayOutcome(free_spans={(0, False): [(0, 9)]})
        row = dataclasses.replace(make_refused(1, 0, 5, 0.4), kind='ledger')
        assert not count_wrongly_refused([row], outcome, long=True)
