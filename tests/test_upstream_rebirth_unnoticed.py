#!/usr/bin/env python3
"""Tests a start request that a restarted upstream accepts before its sidecar notices the restart:
the task ran twice, since the sidecar reported it as lost."""
import asyncio
import json
import tempfile
import time
import unittest

import standin_http
from rebirth_cluster import Cluster, ClusterExecutor, wait_for

ANNOUNCE_DELAY_S = 1.2


class SilentlyRestartedExecutor(ClusterExecutor):
    """Restarts under its id when the first start request arrives, without closing connections, as
    after a loss of power, and answers that request as the new incarnation. Its first heartbeat is
    late."""

    async def try_heartbeat(self):
        if self.incarnation > 1 and time.monotonic() - self.start_time_s < ANNOUNCE_DELAY_S:
            await asyncio.sleep(ANNOUNCE_DELAY_S)
        await super().try_heartbeat()

    async def handle(self, method, target, headers, body):
        if target.endswith("/run-start") and not self.first_start.done():
            self.start(keeps_id=True)
            self.first_start.set_result((self, json.loads(body)))
        incarnation_before = self.incarnation
        try:
            return await super().handle(method, target, headers, body)
        except standin_http.ResetConnection:
            if self.incarnation == incarnation_before:
                raise
            raise standin_http.NoAnswer from None

    def wake_holds(self):
        """Leaves the holds of the former incarnation without an answer."""


async def play():
    """Returns the state of the job and the history."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, SilentlyRestartedExecutor)
        await cluster.open()
        try:
            return await wait_for(cluster.submit()), cluster.history
        finally:
            await cluster.close()


class UnnoticedRebirth(unittest.TestCase):
    def test_start_accepted_before_the_restart_is_noticed_does_not_run_twice(self):
        state, history = asyncio.run(play())
        self.assertEqual(history.violations, [])
        self.assertEqual(state, "completed")
        self.assertGreaterEqual(len(history.runs["00000000000000a1"]), 2)


if __name__ == "__main__":
    unittest.main()
