"""Crashes of one worker, as counted against the tasks that it ran."""

from verbenapost.coordination.scheduling.crashes import CrashVerdict, note_crash
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.state.workloads import CallerJobState


class WorkerCrashes:
    """Counts the crashes of a worker and ends the jobs that cause them.

    :param worker: the worker, as listed in the state of its pool.
    :param pool_state: state of the worker's pool.
    :param ports: dependencies of the worker's link.
    """

    def __init__(
        self, worker: Worker, pool_state: PoolState, ports: LinkPorts
    ) -> None:
        self._worker = worker
        self._pool_state = pool_state
        self._ports = ports

    def note(self) -> CrashVerdict:
        """Count an end without an order against the runs on the worker."""
        worker = self._worker
        # A worker that was about to leave may have ended for that reason.
        if worker.leaving or worker.entry.draining:
            return CrashVerdict()
        return note_crash(self._pool_state, worker)

    def judge(self, verdict: CrashVerdict) -> None:
        """Log the suspects of a crash and end the job that has caused it.

        :param verdict: what the crash tells.
        """
        for task in verdict.suspects:
            self._ports.log.info(
                'worker crashed under a run',
                job=task.key.job,
                task=task.key.position,
                run=task.run,
                worker=self._worker.entry.worker,
                crashes=len(task.crashed_runs),
            )
        if verdict.culprits:
            self._give_up(verdict)

    def _give_up(self, verdict: CrashVerdict) -> None:
        """End the job of a task that crashes its workers."""
        name = verdict.culprits[0].key.job
        self._ports.log.warning(
            'job given up',
            job=name,
            reason='its task crashes the workers on which it starts',
            tasks=[task.key.position for task in verdict.culprits],
            worker=self._worker.entry.worker,
        )
        commands = self._pool_state.end_job(
            self._pool_state.jobs[name], CallerJobState.FAILED
        )
        self._ports.recorder.mark_dirty(self._pool_state.pop_dirty_jobs())
        self._ports.send(self._pool_state, commands)
