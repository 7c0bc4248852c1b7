#!/usr/bin/env python3
"""Tests a start request without an answer that is carried out after the upstream has started again
under the same id."""
import asyncio
import json
import tempfile
import unittest

import standin_http
from rebirth_cluster import Cluster, ClusterExecutor, wait_for

RESTART_S = 0.005  # shorter than the sidecar's request time-out, after which it sends a stop


class LateExecutor(ClusterExecutor):
    """Neither carries out nor answers the first start request."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.has_answered_hold = asyncio.Event()

    def start(self, fence=0, keeps_id=False):
        super().start(fence, keeps_id)
        self.has_answered_hold.clear()

    def start_as_other_kind(self):
        """Starts under the same id without the label that the task requires."""
        self.labels = ["b", "r1"]
        self.start(keeps_id=True)

    async def handle(self, method, target, headers, body):
        if target.endswith("/run-start") and not self.first_start.done():
            self.first_start.set_result((self, json.loads(body)))
            raise standin_http.NoAnswer
        answer = await super().handle(method, target, headers, body)
        if target.endswith("/hold") and answer[0] == 200:
            self.has_answered_hold.set()
        return answer


async def restart_while_task_is_tracked(executor, history):
    await asyncio.sleep(RESTART_S)
    executor.start_as_other_kind()
    await wait_for(history.has_run.wait())


async def restart_after_leases(executor, history):
    await wait_for(history.has_run.wait())
    executor.start_as_other_kind()
    await wait_for(executor.has_answered_hold.wait())


async def play(restart):
    """Has the task run elsewhere, carries out the late start meanwhile, and returns the history,
    the number of runs at that time and the job's state."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, LateExecutor)
        await cluster.open()
        try:
            job = asyncio.ensure_future(cluster.submit())
            executor, call = await wait_for(cluster.first_start)
            executor.crash()
            await restart(executor, cluster.history)
            n_running = sum(map(len, cluster.history.running.values()))
            await executor.run_order("run_start", call)
            return cluster.history, n_running, await wait_for(job)
        finally:
            await cluster.close()


class UpstreamRebirth(unittest.TestCase):
    def check(self, restart):
        history, n_running, state = asyncio.run(play(restart))
        self.assertEqual(n_running, 1)
        self.assertEqual(history.violations, [])
        self.assertEqual(state, "completed")

    def test_late_start_does_not_run_beside_moved_task(self):
        """Guards against a second run when the restart made the sidecar report the task as lost."""
        self.check(restart_while_task_is_tracked)

    def test_late_start_does_not_run_after_leases_expired(self):
        """Guards against a second run when the task had moved before the restart."""
        self.check(restart_after_leases)


if __name__ == "__main__":
    unittest.main()
