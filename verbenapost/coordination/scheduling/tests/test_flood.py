"""Replay of a flood: one tenant sends five times its usual load.

The pool has a fixed number of VMs that can run 400 tasks of one second at a
time. What the other tenants see must be nearly the same with the flood.
"""

import heapq
import itertools
import random

import pytest

from verbenapost.coordination.scheduling.admission import (
    JobDemand,
    estimate_wait,
)
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.planning import StartPlanner
from verbenapost.coordination.scheduling.tenantadmission import (
    PoolWait,
    TenantAdmission,
    TenantJob,
)
from verbenapost.coordination.scheduling.tests.sample import (
    ROUTE,
    end_run,
    make_entry,
    make_pool_state,
)
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import JobSpec, StepSpec

WORKERS = 40
CAPACITY = Resources(16000, 64000)
TASK = Resources(1500, 4000)
WIDTH = 4
TENANTS = 8

#: Jobs in a second of each tenant, four tasks each, at which the pool is full
#: without the flood, and nearly full.
FULL_RATE = 13.0
NEARLY_FULL_RATE = 12.0
FLOOD = 5.0
SECONDS = 40.0
WARM_UP = 5.0
ROUND = 0.02

#: Retries of a refused caller.
RETRIES = 4


def make_arrivals(seed, rate, flood):
    """Return the times of all jobs; those of the other tenants never change."""
    arrivals = []
    for tenant in range(TENANTS):
        rng = random.Random(f'{seed} {tenant}')
        own_rate = rate * (flood if tenant == 0 else 1)
        at = 0.0
        for number in itertools.count():
            at += rng.expovariate(own_rate)
            if at > SECONDS:
                break
            job = f'{tenant:04x}{number:012x}'
            arrivals.append((at, job, tenant, RETRIES))
    return arrivals


class Replay:
    """One pool under a load, in virtual time."""

    def __init__(self, seed, rate, flood=1.0):
        self.rate = rate
        self.events = make_arrivals(seed, rate, flood)
        heapq.heapify(self.events)
        self.pool_state = make_pool_state(
            *(
                make_entry(f'w{number}', capacity=CAPACITY)
                for number in range(WORKERS)
            )
        )
        self.admission = TenantAdmission()
        self.submitted_at = {}
        self.first_start = {}
        self.given_up = set()
        self.run_ends = []

    def run(self):
        for number in range(round(SECONDS / ROUND)):
            now = number * ROUND
            while self.run_ends and self.run_ends[0][0] <= now:
                _, _, start = heapq.heappop(self.run_ends)
                end_run(self.pool_state, start, now=now)
            while self.events and self.events[0][0] <= now:
                self.submit(*heapq.heappop(self.events))
            self.start(now)
        return self

    def submit(self, now, job, tenant, retries):
        self.submitted_at.setdefault(job, now)
        terms = TenantTerms(f't{tenant}', self.rate)
        moment = Moment(now, now)
        decision = self.admission.decide(
            self.pool_state,
            TenantJob(job, terms, JobDemand(ROUTE), WIDTH * TASK.cpu / 1000),
            PoolWait(estimate_wait(self.pool_state, 0, moment)),
            moment,
        )
        if decision.reason is None:
            spec = JobSpec(
                job, 'plan', 'x', (StepSpec(WIDTH, TASK),), tenant=terms
            )
            self.pool_state.add_job(Job(spec, now), ROUTE)
        elif retries:
            again = now + decision.outcome.retry_after
            heapq.heappush(self.events, (again, job, tenant, retries - 1))
        else:
            self.given_up.add(job)

    def start(self, now):
        for start in StartPlanner(self.pool_state, Moment(now, now)).plan():
            self.pool_state.note_started(start.task, start.run, now)
            self.first_start.setdefault(start.task.key.job, now)
            seconds = random.Random(str(start.task.key)).uniform(0.5, 1.5)
            heapq.heappush(self.run_ends, (now + seconds, id(start), start))

    def measure(self):
        """Return the 99th percentile of the others' waits, and their losses."""
        waits = sorted(
            started - self.submitted_at[job]
            for job, started in self.first_start.items()
            if int(job[:4], 16) and self.submitted_at[job] > WARM_UP
        )
        lost = sum(1 for job in self.given_up if int(job[:4], 16))
        return waits[len(waits) * 99 // 100], lost, len(waits)


@pytest.mark.parametrize(
    ('seed', 'rate'),
    [(0, FULL_RATE), (1, FULL_RATE), (0, NEARLY_FULL_RATE)],
)
class TestFlood:
    """Guards against a tenant whose flood delays the jobs of the others."""

    def test_the_others_hardly_notice(self, seed, rate):
        usual = Replay(seed, rate).run().measure()
        flooded = Replay(seed, rate, FLOOD).run().measure()
        assert flooded[0] <= usual[0] * 1.1
        # Whether a retry finds capacity is a matter of chance.
        assert flooded[1] <= usual[1] + flooded[2] // 100
