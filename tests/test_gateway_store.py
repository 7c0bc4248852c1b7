#!/usr/bin/env python3
"""Tests a gateway that starts while the store does not answer."""
import asyncio
import json
import os
import signal
import tempfile
import time
import unittest

import standin_http
from process_testing import free_port, program_path
from standin_platform import Store

HOST = "127.0.0.1"
SILENT_S = 0.45
# The gateway begins another read every 200 ms until one is complete; the rest allows for a busy
# machine. The start of the process is not part of the measured time.
SERVED_LIMIT_S = 0.4


async def ask(port):
    client = standin_http.HttpClient(HOST, port)
    try:
        status, _, _ = await client.call("GET", "/jobs/", {"host": "h.example"}, None, 0.2)
        return status
    except (OSError, TimeoutError, asyncio.TimeoutError):
        return None
    finally:
        client.close()


async def time_until_served(folder):
    """Returns the seconds from the store's recovery until the gateway has its configuration."""
    store, ports = Store(), [free_port() for _ in range(4)]
    route = {"hostname": "h.example", "service": "service", "priority": 0, "max-attempts": 3,
             "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500,
             "name": "jobs", "prefix": "/jobs/"}
    store.write("op/config", json.dumps({"version": 1, "routes": [route],
                                         "services": []}).encode())
    store.mode = "silent"
    server = await standin_http.serve(HOST, ports[0], store.handle)
    settings = os.path.join(folder, "gateway.json")
    addresses = ["%s:%d" % (HOST, port) for port in ports]
    with open(settings, "w") as file:
        json.dump({"instance": "g0", "domain": "d0", "seeds": [], "store_address": addresses[0],
                   "jobs_address": addresses[1], "ready_address": addresses[2],
                   "peer_address": addresses[3], "advertised_address": addresses[3],
                   "seed_port": ports[3], "grace_s": 1}, file)
    process = await asyncio.create_subprocess_exec(
        program_path("azurerock-gateway"), "--config", settings, stdout=asyncio.subprocess.DEVNULL)
    try:
        while await ask(ports[1]) is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SILENT_S)
        store.mode = "ok"
        available_s = time.monotonic()
        while await ask(ports[1]) != 200 and time.monotonic() - available_s < 5:
            await asyncio.sleep(0.01)
        return time.monotonic() - available_s
    finally:
        process.send_signal(signal.SIGTERM)
        await process.wait()
        server.close()


class GatewayStore(unittest.TestCase):
    def test_store_that_returns_is_found_soon(self):
        """Guards against jobs refused for lack of a configuration after the store has recovered,
        because the calls that it did not answer are pending until they time out."""
        with tempfile.TemporaryDirectory() as folder:
            self.assertLess(asyncio.run(time_until_served(folder)), SERVED_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
