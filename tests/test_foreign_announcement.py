#!/usr/bin/env python3
"""Tests heartbeats that another program writes while the executor runs a task."""
import asyncio
import tempfile
import time
import unittest

from rebirth_cluster import Cluster, ClusterExecutor, wait_for


def foreign_heartbeat(executor):
    """A sound heartbeat of an executor that doesn't exist, at the address of the present one."""
    return dict(executor.describe(), service="unnamed", sequence=1, born=int(time.time() * 1000))


async def play():
    """Returns the history and the job's state."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            job = asyncio.ensure_future(cluster.submit())
            await wait_for(cluster.history.has_run.wait())
            for executor in cluster.executors:
                await executor.tell("Heartbeat", "i-other", foreign_heartbeat(executor))
            return cluster.history, await wait_for(job)
        finally:
            await cluster.close()


class ForeignAnnouncement(unittest.TestCase):
    def test_running_task_does_not_start_elsewhere(self):
        """Guards against a second run when another writer's heartbeat names an instance at the
        address of the executor that runs the task."""
        history, state = asyncio.run(play())
        self.assertEqual(history.violations, [])
        self.assertEqual(sum(map(len, history.runs.values())), 1)
        self.assertEqual(state, "completed")


if __name__ == "__main__":
    unittest.main()
