"""Replays of the rise of a queue's rate against the forecast."""

import random

from verbenapost.coordination.scheduling.demand import DemandMeter
from verbenapost.coordination.scheduling.demandforecast import MAX_GROWTH

#: Core-seconds of a job.
WORK = 27
#: Seconds until a VM that is ordered now has joined.
LEAD = 2.5
#: Seconds of a rise, and jobs in a second at its end.
RISE = 4.5
PEAK = 60
STEP = 0.25


def replay(meter, rates, seed=1):
    """Record jobs at the rates of successive steps.

    :returns: for each step, its end and the present and the predicted rate.
    """
    rng = random.Random(seed)
    rows = []
    for number, rate in enumerate(rates):
        begin = number * STEP
        count = rate * STEP + rng.gauss(0, (rate * STEP) ** 0.5)
        for index in range(max(0, round(count))):
            at = begin + (index + rng.random()) * STEP / max(1, count)
            meter.record_job(f'{seed}-{number}-{index}', WORK, at)
        now = begin + STEP
        predicted = meter.predict_rate(now, LEAD)
        rows.append((now, meter.read_rate(now), predicted))
    return rows


def make_rise(steps=int(RISE / STEP)):
    return [PEAK * number / steps for number in range(1, steps + 1)]


def find_time(rows, column):
    """Return when a rate first reaches half of the peak's."""
    return next(row[0] for row in rows if row[column] >= PEAK * WORK / 2)


class TestRisingRate:
    """VMs that are ordered for the present rate join too late."""

    def test_vms_are_asked_for_earlier(self):
        """A pool sized for the present rate is short while the rate rises."""
        gains = []
        for seed in range(20):
            rows = replay(DemandMeter(), [2] * 8 + make_rise(), seed)
            gains.append(find_time(rows, 1) - find_time(rows, 2))
        assert min(gains) >= 0
        assert sum(gains) / len(gains) >= 0.75

    def test_an_unknown_rise_is_bounded(self):
        """VMs that move for a rise that ends are lost to other pools."""
        for seed in range(20):
            rows = replay(DemandMeter(), [2] * 8 + make_rise(), seed)
            highest = max(row[2] for row in rows)
            assert highest <= MAX_GROWTH * 1.5 * PEAK * WORK

    def test_a_lower_rate_is_not_predicted(self):
        rows = replay(DemandMeter(), [2] * 8 + make_rise() + [2] * 20)
        assert all(predicted >= present for _, present, predicted in rows)


class TestSteadyRate:
    """VMs must not move for chance."""

    def test_chance_asks_for_few_vms(self):
        """Noise would otherwise move VMs all the time."""
        present = predicted = 0
        for seed in range(20):
            for row in replay(DemandMeter(), [PEAK] * 80, seed)[12:]:
                present += row[1]
                predicted += row[2]
        assert predicted <= present * 1.15


class TestFallingRate:
    """A pool must not lose VMs that its callers still need."""

    def test_it_is_not_extrapolated(self):
        rows = replay(DemandMeter(), [PEAK] * 12 + make_rise()[::-1])
        falling = rows[18:]
        assert all(row[2] <= row[1] * 1.05 for row in falling)
