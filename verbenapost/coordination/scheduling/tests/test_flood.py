"""Replay of a flood: one tenant sends five times its usual load.

The pool has a fixed number of VMs and is full without the flood: its usual load
is 4% above what 400 tasks of one second can do. What the others see must be
nearly the same with the flood.
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

#: Jobs in a second of each tenant; the run time of a task is 1 s on average.
RATE = 13.0
FLOOD = 5.0
SECONDS = 40.0
WARM_UP = 5.0
ROUND = 0.02

#: Retries of a refused caller.
RETRIES = 4


def make_arrivals(seed, flood):
    """Return the times of all jobs; those of the other tenants never change."""
    arrivals = []
    for tenant in range(TENANTS):
        rng = random.Random(f'{seed} {tenant}')
        rate = RATE * (flood if tenant == 0 else 1)
        at = 0.0
        for number in itertools.count():
            at += rng.expovariate(rate)
            if at > SECONDS:
                break
            job = f'{tenant:04x}{number:012x}'
            arrivals.append((at, job, tenant, RETRIES))
    return arrivals


class Replay:
    """One pool under a load, in virtual time."""

    def __init__(self, seed, flood):
        self.events = make_arrivals(seed, flood)
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
        terms = TenantTerms(f't{tenant}', RATE)
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


@pytest.mark.parametrize('seed', [0, 1])
def test_the_waits_of_others_change_by_a_tenth_at_most(seed):
    usual = Replay(seed, 1).run().measure()
    flooded = Replay(seed, FLOOD).run().measure()
    assert flooded[0] <= usual[0] * 1.1
    assert flooded[1] <= usual[1] + flooded[2] // 100
