#!/usr/bin/env python3
"""Tests requests that wait unread while their gateway is paused."""
import asyncio
import json
import signal
import tempfile
import unittest

from rebirth_cluster import HOST, Cluster, ClusterExecutor, wait_for

PAUSE_S = 0.2
LONG_PAUSE_S = 1.2
SHORT_DEADLINE_MS = 1000
WAIT_S = 0.5
BODY = json.dumps({
    "specification": json.dumps({"ms": 800, "cpu": 1000}), "best-effort": True,
    "phases": [{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 800}]})
REQUEST = ("POST /jobs/00000000000000b2 HTTP/1.1\r\nhost: h.example\r\nx-deadline-ms: %d\r\n"
           "content-type: application/json\r\ncontent-length: %d\r\n\r\n%s")


async def submit(port, deadline_ms):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write((REQUEST % (deadline_ms, len(BODY), BODY)).encode())
    await writer.drain()
    return reader, writer


async def submit_and_leave(port):
    _, writer = await submit(port, 5000)
    writer.close()
    await writer.wait_closed()


async def submit_and_wait(port):
    """The caller's end of the connection stays open, as if the link to it was cut."""
    return await submit(port, SHORT_DEADLINE_MS)


async def play(submit_request, pause_s):
    """Returns the ids of the jobs that have run, and what @submit_request returned."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, ClusterExecutor)
        await cluster.open()
        try:
            await wait_for(cluster.submit())
            gateway = cluster.processes[0]
            gateway.send_signal(signal.SIGSTOP)
            request = await submit_request(cluster.jobs_port)
            await asyncio.sleep(pause_s)
            gateway.send_signal(signal.SIGCONT)
            await asyncio.sleep(WAIT_S)
            return set(cluster.history.runs), request
        finally:
            await cluster.close()


async def play_and_read_status():
    runs, (reader, writer) = await play(submit_and_wait, LONG_PAUSE_S)
    status = await wait_for(reader.readline())
    writer.close()
    return runs, status


class GatewayPause(unittest.TestCase):
    def test_job_of_a_caller_that_has_gone_does_not_run(self):
        """Guards against a run beside the one of the same job that the caller has sent elsewhere."""
        runs, _ = asyncio.run(play(submit_and_leave, PAUSE_S))
        self.assertEqual(runs, {"00000000000000a1"})

    def test_request_whose_deadline_has_passed_unread_does_not_run(self):
        """Guards against the same after the caller's deadline, when its end of the connection never
        arrives."""
        runs, status = asyncio.run(play_and_read_status())
        self.assertEqual(runs, {"00000000000000a1"})
        self.assertIn(b" 503 ", status)


if __name__ == "__main__":
    unittest.main()
