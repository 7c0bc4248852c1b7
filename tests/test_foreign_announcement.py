#!/usr/bin/env python3
"""Tests heartbeats that another program writes while the executor runs a task."""
import asyncio
import tempfile
import time
import unittest

from rebirth_cluster import Cluster, ClusterExecutor, wait_for
from standin_platform import HEARTBEAT_S


def foreign_heartbeat(executor):
    """A sound heartbeat of an executor that doesn't exist, at the address of the present one."""
    return dict(executor.describe(), service="unnamed", sequence=1, born=int(time.time() * 1000))


async def send_odd_heartbeats(executor):
    """Sends heartbeats that name the present executor and can't be its own. If one was believed, the
    executor would count as draining."""
    odd = [{"address": "127.0.0.1:99999"}, {"address": "127.0.0.1:1"}, {"sequence": 2 ** 62},
           {"clock-ms": 2 ** 62}, {"born": executor.born + 10 ** 9}, {"born": 2 ** 62},
           {"service": "unnamed"}, {"zone": "elsewhere"}, {"labels": ["z"]}, {"labels": [7]},
           {"capacity": {}}, {"capacity": {"cpu": 10 ** 30}}, {"slots": "8"}, {"version": 1},
           {"state": "resting"}, {"service": None}]
    for fields in odd:
        sound = dict(executor.describe(), state="draining", sequence=executor.sequence + 1000)
        await executor.tell("Heartbeat", executor.id, dict(sound, **fields))


async def play_odd_heartbeats():
    """Returns the state of a job that is submitted three heartbeats after odd ones."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            await wait_for(cluster.submit())
            for executor in cluster.executors:
                await send_odd_heartbeats(executor)
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

    def test_odd_heartbeats_do_not_lock_out_the_executor(self):
        """Guards against executors that get no task any more after an odd heartbeat under their id.
        """
        self.assertEqual(asyncio.run(play_odd_heartbeats()), "completed")


if __name__ == "__main__":
    unittest.main()
