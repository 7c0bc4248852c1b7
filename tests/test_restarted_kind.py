#!/usr/bin/env python3
"""Tests jobs that require a label after their executors have started again under the same ids."""
import asyncio
import tempfile
import unittest

from rebirth_cluster import Cluster, ClusterExecutor, wait_for

HEARTBEAT_DELAY_S = 0.6  # longer than an idle hold, whose answer shows the restart first


async def play():
    """Returns the states of a job before and of one after the restart."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            before = await wait_for(cluster.submit())
            for executor in cluster.executors:
                executor.start(keeps_id=True, heartbeat_delay_s=HEARTBEAT_DELAY_S)
            await asyncio.sleep(HEARTBEAT_DELAY_S)
            return before, await wait_for(cluster.submit())
        finally:
            await cluster.close()


class RestartedKind(unittest.TestCase):
    def test_job_for_a_label_is_served_after_the_restart(self):
        """Guards against jobs answered as failed because the labels were announced later than an
        answer had shown the restart."""
        self.assertEqual(asyncio.run(play()), ("completed", "completed"))


if __name__ == "__main__":
    unittest.main()
