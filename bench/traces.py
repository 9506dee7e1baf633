"""Seeded traces of arrivals at one service.

A trace is kept as its scenario and seed; the requests are made anew.
"""

import dataclasses
import random

ENTRIES = 6
TARGETS = 6
SLOTS = 8
CAPACITY = TARGETS * SLOTS


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a trace; times in seconds."""

    number: int
    at: float
    team: str
    kind: str
    urgency: int
    deadline: float
    run: float
    entry: int
    flood: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A stream of like requests.

    :param load: part of the service's capacity that it asks for.
    :param begin: seconds at which it starts.
    :param end: seconds at which it stops.
    """

    team: str
    kind: str
    urgency: int
    run: float
    deadline: float
    load: float
    begin: float = 0
    end: float = 12
    flood: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Sources of requests and the time in which they are judged."""

    name: str
    sources: tuple[Source, ...]
    begin: float
    end: float


def _make_others(end=16.0):
    return (
        Source('portal', 'visit', 2, 0.1, 2, 0.15, end=end),
        Source('handsets', 'visit', 1, 0.1, 2, 0.15, end=end),
        Source('depots', 'visit', 3, 0.1, 2, 0.1, end=end),
        Source('depots', 'weigh', 4, 0.05, 2, 0.1, end=end),
    )


def _make_flood(urgency):
    return Source('batch', 'visit', urgency, 0.1, 3, 10, 4, 10, flood=True)


def _make_bursts():
    burst = [
        dataclasses.replace(source, load=source.load * 2.5, begin=4, end=8)
        for source in _make_others()
    ]
    between = [
        dataclasses.replace(source, load=source.load / 40)
        for source in _make_others()
    ]
    return (*between, *burst)


SCENARIOS = {
    'burst': Scenario('burst', _make_bursts(), 4, 10),
    'flood_least': Scenario(
        'flood_least', (*_make_others(), _make_flood(7)), 4, 10
    ),
    'flood_most': Scenario(
        'flood_most', (*_make_others(), _make_flood(0)), 4, 10
    ),
    'ledger': Scenario(
        'ledger',
        (
            Source('crews', 'counter', 2, 0.02, 1, 0.15, end=30),
            Source('foremen', 'counter', 1, 0.02, 1, 0.1, end=30),
            Source('finance', 'ledger', 5, 1, 8, 0.2, end=30),
            Source('clerks', 'ledger', 5, 1, 8, 10, 6, 18, flood=True),
        ),
        6,
        18,
    ),
}


def make_trace(scenario, seed, *, flood=True):
    """Return the requests of a scenario in order of arrival.

    :param flood: leave out what floods when false; the rest is the same.
    """
    requests = []
    for index, source in enumerate(scenario.sources):
        if flood or not source.flood:
            requests.extend(_emit(source, index, seed))
    return sorted(requests, key=lambda request: request.at)


def _emit(source, index, seed):
    numbers = random.Random(f'{seed}/{index}')
    rate = source.load * CAPACITY / source.run
    sigma = 0.4
    at = source.begin + numbers.expovariate(rate)
    count = 0
    while at < source.end:
        run = source.run * numbers.lognormvariate(-(sigma**2) / 2, sigma)
        yield Request(
            number=index * 1_000_000 + count,
            at=at,
            team=source.team,
            kind=source.kind,
            urgency=source.urgency,
            deadline=at + source.deadline,
            run=run,
            entry=numbers.randrange(ENTRIES),
            flood=source.flood,
        )
        count += 1
        at += numbers.expovariate(rate)
