#!/usr/bin/env python3
"""Tests heartbeats that another program writes while the executor runs a task."""
import asyncio
import tempfile
import unittest

from foreign_heartbeats import send_foreign_heartbeats, unknown_instance
from rebirth_cluster import Cluster, ClusterExecutor, wait_for
from standin_platform import HEARTBEAT_S


async def play_odd_heartbeats():
    """Returns the state of a job that is submitted three heartbeats after odd ones."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            await wait_for(cluster.submit())
            for executor in cluster.executors:
                await send_foreign_heartbeats(executor)
            await asyncio.sleep(3 * HEARTBEAT_S)
            return await wait_for(cluster.submit())
        finally:
            await cluster.close()


async def play():
    """Returns the history and the job's state."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            job = asyncio.ensure_future(cluster.submit())
            await wait_for(cluster.history.has_run.wait())
            for executor in cluster.executors:
                await executor.tell("Heartbeat", "i-other", unknown_instance(executor))
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

    def test_odd_heartbeats_do_not_lock_out_the_executor(self):
        """Guards against executors that get no task any more after an odd heartbeat under their id.
        """
        self.assertEqual(asyncio.run(play_odd_heartbeats()), "completed")


if __name__ == "__main__":
    unittest.main()
