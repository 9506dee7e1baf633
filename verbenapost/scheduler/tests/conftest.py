"""Fixtures of the scenarios in virtual time."""

import random

import pytest

from standins.fleet.world import World
from standins.virtualtime import run_virtual
from verbenapost.daemon import timers


@pytest.fixture
def play(monkeypatch):
    """Return a function that runs a scenario with virtual clocks."""

    def run(scenario, **options):
        async def start(now):
            monkeypatch.setattr(timers, '_CLOCK_ID', 0)
            monkeypatch.setattr(
                timers.time, 'clock_gettime', lambda _clock: now() + 1000
            )
            monkeypatch.setattr(timers.time, 'time', lambda: now() + 5000)
            random.seed(options.get('seed', 0))
            world = World(now, **options)
            try:
                return await scenario(world)
            finally:
                await world.close()

        return run_virtual(start)

    return run
