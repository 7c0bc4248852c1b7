#!/usr/bin/env python3
"""Tests a job whose caller has gone while the gateway was paused."""
import asyncio
import json
import signal
import tempfile
import unittest

from rebirth_cluster import HOST, Cluster, ClusterExecutor, wait_for

PAUSE_S = 0.2
WAIT_S = 0.5
BODY = json.dumps({
    "specification": json.dumps({"ms": 800, "cpu": 1000}), "best-effort": True,
    "phases": [{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 800}]})
REQUEST = ("POST /jobs/00000000000000b2 HTTP/1.1\r\nhost: h.example\r\nx-deadline-ms: 5000\r\n"
           "content-type: application/json\r\ncontent-length: %d\r\n\r\n%s" % (len(BODY), BODY))


async def submit_and_leave(port):
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(REQUEST.encode())
    await writer.drain()
    writer.close()
    await writer.wait_closed()


async def play():
    """Returns the ids of the jobs that have run."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            await wait_for(cluster.submit())
            gateway = cluster.processes[0]
            gateway.send_signal(signal.SIGSTOP)
            await submit_and_leave(cluster.jobs_port)
            await asyncio.sleep(PAUSE_S)
            gateway.send_signal(signal.SIGCONT)
            await asyncio.sleep(WAIT_S)
            return set(cluster.history.runs)
        finally:
            await cluster.close()


class GatewayPause(unittest.TestCase):
    def test_job_of_a_caller_that_has_gone_does_not_run(self):
        """Guards against a run beside the one of the same job that the caller has sent elsewhere."""
        self.assertEqual(asyncio.run(play()), {"00000000000000a1"})


if __name__ == "__main__":
    unittest.main()
