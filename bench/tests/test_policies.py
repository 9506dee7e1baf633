"""Tests of the replay and of its figures."""

import dataclasses

import pytest

from bench.policies import count_wrong
from bench.replay import POLICIES, Ends
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


def make_refused(number, at, deadline, run):
    return Request(number, at, 't', 'k', 1, deadline, run, 0, flood=True)


class TestTraces:
    def test_a_seed_gives_the_same_trace(self):
        scenario = SCENARIOS['burst']
        assert make_trace(scenario, 3) == make_trace(scenario, 3)

    def test_the_other_work_is_the_same_without_the_flood(self):
        both = make_trace(SMALL, 3)
        calm = make_trace(SMALL, 3, flood=False)
        assert [row for row in both if not row.flood] == calm


class TestReplay:
    @pytest.mark.parametrize('policy', sorted(POLICIES))
    def test_each_request_ends_at_most_once(self, policy):
        trace = make_trace(SMALL, 5)
        ends = POLICIES[policy](trace).run()
        refused = [row.number for row in ends.refused]
        assert len(refused) == len(set(refused))
        assert not set(refused) & set(ends.latency)
        assert ends.latency


class TestWrongRefusals:
    def test_one_free_slot_serves_one_request_after_the_other(self):
        ends = Ends(free={(0, False): [(0, 1)]})
        rows = [make_refused(number, 0, 5, 0.4) for number in range(9)]
        assert count_wrong(rows, ends, long=False) == 2

    def test_a_slot_that_is_free_too_late_counts_for_nobody(self):
        ends = Ends(free={(0, False): [(4.8, 9)]})
        assert not count_wrong([make_refused(1, 0, 5, 0.4)], ends, long=False)

    def test_a_slot_kept_for_short_work_is_not_free_for_long_work(self):
        ends = Ends(free={(0, False): [(0, 9)]})
        row = dataclasses.replace(make_refused(1, 0, 5, 0.4), kind='ledger')
        assert not count_wrong([row], ends, long=True)
