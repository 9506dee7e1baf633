"""Random traces of arrivals at one service.

Scenario and seed identify a trace; its requests are generated again for each
use and are not stored.
"""

import dataclasses
import random

#: Entries, targets of the service, and slots of a target.
ENTRIES = 6
TARGETS = 6
SLOTS = 8

#: Slots of all targets.
CAPACITY = TARGETS * SLOTS


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a trace; times in seconds since the start of the trace.

    :param number: identity within the trace.
    :param arrived_at: time of the arrival at the entry.
    :param team: team of the caller.
    :param kind: kind of work.
    :param urgency: urgency of the request, 0 the most urgent.
    :param deadline: time at which the caller stops waiting.
    :param run_time: seconds that a target works on the request.
    :param entry: index of the entry.
    :param flood: whether the request is part of a flood.
    """

    number: int
    arrived_at: float
    team: str
    kind: str
    urgency: int
    deadline: float
    run_time: float
    entry: int
    flood: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A stream of similar requests.

    :param team: team of the callers.
    :param kind: kind of work.
    :param urgency: urgency of the requests, 0 the most urgent.
    :param run_time: mean run time, in seconds.
    :param deadline: seconds from the arrival until the caller stops waiting.
    :param load: fraction of the service's capacity that the stream requires.
    :param begin: start of the stream, in seconds.
    :param end: end of the stream, in seconds.
    :param flood: whether the stream is a flood.
    """

    team: str
    kind: str
    urgency: int
    run_time: float
    deadline: float
    load: float
    begin: float = 0
    end: float = 12
    flood: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Sources of requests and the measured time.

    :param name: name of the scenario.
    :param sources: streams of requests.
    :param begin: start of the measured time, in seconds.
    :param end: end of the measured time, in seconds.
    """

    name: str
    sources: tuple[Source, ...]
    begin: float
    end: float


def _make_steady_sources(end=16.0):
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
        for source in _make_steady_sources()
    ]
    quiet = [
        dataclasses.replace(source, load=source.load / 40)
        for source in _make_steady_sources()
    ]
    return (*quiet, *burst)


SCENARIOS = {
    'burst': Scenario('burst', _make_bursts(), 4, 10),
    'flood_least': Scenario(
        'flood_least', (*_make_steady_sources(), _make_flood(7)), 4, 10
    ),
    'flood_most': Scenario(
        'flood_most', (*_make_steady_sources(), _make_flood(0)), 4, 10
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

    :param scenario: scenario of the trace.
    :param seed: seed of the trace.
    :param flood: whether the flood is included; the other requests are the
        same without it.
    """
    requests = []
    for index, source in enumerate(scenario.sources):
        if flood or not source.flood:
            requests.extend(_generate_requests(source, index, seed))
    return sorted(requests, key=lambda request: request.arrived_at)


def _generate_requests(source, index, seed):
    rng = random.Random(f'{seed}/{index}')
    rate = source.load * CAPACITY / source.run_time
    sigma = 0.4
    arrived_at = source.begin + rng.expovariate(rate)
    count = 0
    while arrived_at < source.end:
        run_time = source.run_time * rng.lognormvariate(-(sigma**2) / 2, sigma)
        yield Request(
            number=index * 1_000_000 + count,
            arrived_at=arrived_at,
            team=source.team,
            kind=source.kind,
            urgency=source.urgency,
            deadline=arrived_at + source.deadline,
            run_time=run_time,
            entry=rng.randrange(ENTRIES),
            flood=source.flood,
        )
        count += 1
        arrived_at += rng.expovariate(rate)
