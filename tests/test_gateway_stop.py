#!/usr/bin/env python3
"""Tests what a caller receives from a gateway that reaches the end of its grace period."""
import asyncio
import json
import os
import signal
import tempfile
import unittest

import standin_http
from process_testing import free_port, program_path
from standin_platform import Store

HOST = "127.0.0.1"
GRACE_S = 1
JOB = json.dumps({"specification": "", "best-effort": True,
                  "phases": [{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 100}]})
REQUEST = ("POST /jobs/%016x HTTP/1.1\r\nhost: h.example\r\ncontent-length: %d\r\n\r\n%s"
           % (1, len(JOB), JOB)).encode()


async def wait_for_configuration(port):
    status = None
    while status != 200:
        client = standin_http.HttpClient(HOST, port)
        try:
            status, _, _ = await client.call("GET", "/jobs/", {"host": "h.example"}, None, 0.5)
        except (OSError, TimeoutError, asyncio.TimeoutError):
            await asyncio.sleep(0.01)
        finally:
            client.close()


async def send_at_end_of_grace(process, port):
    """Sends a request while the process is frozen, so that it finds the request together with the
    end of its grace period. Returns all that it answers."""
    reader, writer = await asyncio.open_connection(HOST, port)
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S * 0.6)
    process.send_signal(signal.SIGSTOP)
    writer.write(REQUEST)
    await asyncio.sleep(GRACE_S * 0.4)
    process.send_signal(signal.SIGCONT)
    try:
        return await asyncio.wait_for(reader.read(), 5)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


async def run(folder):
    store, ports = Store(), [free_port() for _ in range(4)]
    route = {"hostname": "h.example", "service": "service", "priority": 0, "max-attempts": 3,
             "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500,
             "name": "jobs", "prefix": "/jobs/"}
    store.write("op/config", json.dumps({"version": 1, "routes": [route],
                                         "services": []}).encode())
    server = await standin_http.serve(HOST, ports[0], store.handle)
    addresses = ["%s:%d" % (HOST, port) for port in ports]
    settings = os.path.join(folder, "gateway.json")
    with open(settings, "w") as file:
        json.dump({"instance": "g0", "domain": "d0", "seeds": [], "store_address": addresses[0],
                   "jobs_address": addresses[1], "ready_address": addresses[2],
                   "peer_address": addresses[3], "advertised_address": addresses[3],
                   "seed_port": ports[3], "grace_s": GRACE_S}, file)
    process = await asyncio.create_subprocess_exec(
        program_path("azurerock-gateway"), "--config", settings)
    try:
        await asyncio.wait_for(wait_for_configuration(ports[1]), 10)
        answer = await send_at_end_of_grace(process, ports[1])
        await asyncio.wait_for(process.wait(), 5)
        return answer
    finally:
        if process.returncode is None:
            process.kill()
        server.close()


class GatewayStop(unittest.TestCase):
    def test_request_at_end_of_grace_is_answered(self):
        """Guards against a process that reads a request, ends and leaves it unanswered."""
        with tempfile.TemporaryDirectory() as folder:
            answer = asyncio.run(run(folder))
        self.assertEqual(answer.split(b" ")[1:2], [b"503"], answer)


if __name__ == "__main__":
    unittest.main()
