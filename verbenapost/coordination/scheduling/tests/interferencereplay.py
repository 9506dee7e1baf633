"""Replays of tasks that share workers, without a network.

The victims are observed twice a second, as workers report.
"""

import random

from verbenapost.coordination.scheduling.interference import Interference
from verbenapost.coordination.scheduling.jobs import (
    FULL_PROGRESS,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.tests.sample import make_entry
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import (
    ListedRun,
    RunEnd,
    RunEndKind,
    WorkerReport,
)
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import StepSpec, TaskKey

SIZE = Resources(500, 100)
#: Tail of a serving task that nothing slows down, and its target.
USUAL_MS = 60
TARGET_MS = 100
REPORT_SECONDS = 0.5
RUN_SECONDS = 0.4
SERVING = {'target': TARGET_MS / 1000, 'long_running': True}
#: Serving, best-effort and short tasks by the first letter of their image.
KINDS = {'s': SERVING, 'b': {'fills': True}, 't': {}}


class Replay:
    """Workers with tasks, and the reports that they would send.

    :ivar effects: ratio by which an image slows another one, by pair.
    :ivar worker_effects: ratio by which a worker slows all its tasks.
    :ivar spread: standard deviation of the logarithm by which a task is slower
        or faster than its image for good.
    """

    def __init__(self, *placements, seed=1):
        self.effects = {}
        self.worker_effects = {}
        self.spread = 0
        self._task_effects = {}
        self.now = 100.0
        self.interference = Interference()
        self.changes = []
        self._random = random.Random(seed)
        self._runs = 0
        self.workers = {}
        for number, images in enumerate(placements):
            worker = Worker(make_entry(f'w{number}'))
            self.workers[f'w{number}'] = worker
            for image in images.split():
                self.add(worker, image)

    def add(self, worker, kind, **changes):
        """Place a task; the first letter of its image tells its kind."""
        fields = {'image': kind} | KINDS[kind[0]] | changes
        step = StepSpec(1, SIZE, **fields)
        self._runs += 1
        task = Task(TaskKey(f'job{self._runs}', 0, 0, 0), step, run=1)
        task.state = TaskState.RUNNING
        task.worker = worker.entry.worker
        task.progress = FULL_PROGRESS
        task.started_at = task.confirmed_at = self.now - 10
        worker.book(task)
        return task

    def drop(self, image):
        """Remove the tasks of an image."""
        for worker in self.workers.values():
            for task in list(worker.tasks.values()):
                if task.step.image == image:
                    worker.release(task)

    def run(self, seconds, *, until_found=False):
        """Report all workers until a time has passed or a pair is found."""
        end = self.now + seconds
        while self.now < end and not (until_found and self.found):
            self.now += REPORT_SECONDS
            for worker in self.workers.values():
                self.report(worker)

    def report(self, worker):
        rows = [
            ListedRun(task.key, task.run, '', FULL_PROGRESS, self.load(task))
            for task in worker.tasks.values()
        ]
        ends = []
        for task in worker.tasks.values():
            if task.step.image.startswith('t'):
                seconds = RUN_SECONDS * self.slow_down(worker, task)
                task.started_at = self.now - seconds
                end = RunEnd(1, task.key, task.run, RunEndKind.DONE, '')
                ends.append(end)
        self.changes += self.interference.observe(
            worker, WorkerReport(0, rows, ends), ends, 1, self.now
        )

    def load(self, task):
        if not task.step.target:
            return 300
        return round(USUAL_MS * self.slow_down(self.workers[task.worker], task))

    def slow_down(self, worker, task):
        """Return how much slower a task is than it is alone."""
        ratio = self._random.lognormvariate(0, 0.1)
        chance = self._random.lognormvariate(0, self.spread)
        ratio *= self._task_effects.setdefault(task.key, chance)
        ratio *= self.worker_effects.get(worker.entry.worker, 1)
        for other in worker.tasks.values():
            if other is not task and other.pace:
                pair = task.step.image, other.step.image
                ratio *= self.effects.get(pair, 1)
        return ratio

    @property
    def found(self):
        pairs = self.interference.findings.pairs
        return {(key.victim, key.aggressor) for key in pairs}
