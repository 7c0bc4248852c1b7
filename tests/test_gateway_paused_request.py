#!/usr/bin/env python3
"""Tests a request that waits unread while its gateway is paused, when the caller's end of the
connection never arrives."""
import asyncio
import json
import signal
import tempfile
import unittest

from rebirth_cluster import HOST, Cluster, ClusterExecutor, wait_for

PAUSE_S = 1.2
DEADLINE_MS = 1000
WAIT_S = 0.5
BODY = json.dumps({
    "specification": json.dumps({"ms": 800, "cpu": 1000}), "best-effort": True,
    "phases": [{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 800}]})
REQUEST = ("POST /jobs/00000000000000b3 HTTP/1.1\r\nhost: h.example\r\nx-deadline-ms: %d\r\n"
           "content-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
           % (DEADLINE_MS, len(BODY), BODY))


async def play():
    """Returns the ids of the jobs that have run, and the status line of the late answer."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            await wait_for(cluster.submit())
            gateway = cluster.processes[0]
            gateway.send_signal(signal.SIGSTOP)
            reader, writer = await asyncio.open_connection(HOST, cluster.jobs_port)
            writer.write(REQUEST.encode())
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            gateway.send_signal(signal.SIGCONT)
            await asyncio.sleep(WAIT_S)
            status = await wait_for(reader.readline())
            writer.close()
            return set(cluster.history.runs), status
        finally:
            await cluster.close()


class GatewayPausedRequest(unittest.TestCase):
    def test_request_whose_deadline_has_passed_unread_does_not_run(self):
        """Guards against a run beside the one of the same job that the caller has sent elsewhere
        after its deadline."""
        runs, status = asyncio.run(play())
        self.assertEqual(runs, {"00000000000000a1"})
        self.assertIn(b" 503 ", status)


if __name__ == "__main__":
    unittest.main()
