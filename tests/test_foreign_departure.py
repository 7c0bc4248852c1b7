#!/usr/bin/env python3
"""Tests a departure that another program reports for an executor that runs on."""
import asyncio
import tempfile
import unittest

from rebirth_cluster import Cluster, ClusterExecutor, wait_for
from standin_platform import HEARTBEAT_S


async def play():
    """Returns the state of a job that is submitted three heartbeats after the departure."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            await wait_for(cluster.submit())
            for executor in cluster.executors:
                await executor.tell("Deregister", executor.id, {})
            await asyncio.sleep(3 * HEARTBEAT_S)
            return await wait_for(cluster.submit())
        finally:
            await cluster.close()


class ForeignDeparture(unittest.TestCase):
    def test_executor_that_runs_on_is_used_again(self):
        """Guards against an executor that gets no task any more although its heartbeats go on."""
        self.assertEqual(asyncio.run(play()), "completed")


if __name__ == "__main__":
    unittest.main()
