#!/usr/bin/env python3
"""Tests a gateway whose open connections to the store go silent while new ones work."""
import asyncio
import json
import os
import signal
import tempfile
import time
import unittest

import standin_http
from process_testing import free_port, program_path
from soak_proxy import Proxy
from standin_platform import Store

HOST = "127.0.0.1"
# Time after a disturbance from which on a change has to be in force as usual.
KNOWN_LIMIT_S = 3.0
GIVE_UP_S = 12.0


def publish(store, version):
    route = {"hostname": "h.example", "service": "service", "priority": 0, "max-attempts": 3,
             "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500}
    routes = [dict(route, name="r%d" % i, prefix="/r%d/" % i) for i in range(1, version + 1)]
    store.write("op/config", json.dumps(
        {"version": version, "routes": routes, "services": []}).encode())


async def ask(port, route):
    client = standin_http.HttpClient(HOST, port)
    try:
        return (await client.call("GET", "/r%d/" % route, {"host": "h.example"}, None, 0.5))[0]
    except (OSError, TimeoutError):
        return None
    finally:
        client.close()


async def time_until_known(port, route):
    begin_s = time.monotonic()
    while await ask(port, route) != 200 and time.monotonic() - begin_s < GIVE_UP_S:
        await asyncio.sleep(0.02)
    return time.monotonic() - begin_s


async def time_until_known_after_silence(folder):
    """Returns the seconds until a change is in force that is made just after all connections that
    the gateway has to the store have gone silent."""
    store, ports = Store(), [free_port() for _ in range(5)]
    publish(store, 1)
    server = await standin_http.serve(HOST, ports[0], store.handle)
    proxy = Proxy(HOST, ports[1], (HOST, ports[0]))
    await proxy.open()
    path = os.path.join(folder, "gateway.json")
    addresses = ["%s:%d" % (HOST, port) for port in ports]
    with open(path, "w") as file:
        json.dump({"instance": "g0", "domain": "d0", "seeds": [], "store_address": addresses[1],
                   "jobs_address": addresses[2], "ready_address": addresses[3],
                   "peer_address": addresses[4], "advertised_address": addresses[4],
                   "seed_port": ports[4], "grace_s": 1}, file)
    process = await asyncio.create_subprocess_exec(
        program_path("azurerock-gateway"), "--config", path, stdout=asyncio.subprocess.DEVNULL)
    try:
        await time_until_known(ports[2], 1)
        await asyncio.sleep(0.5)
        proxy.mute_open()
        publish(store, 2)
        return await time_until_known(ports[2], 2)
    finally:
        process.send_signal(signal.SIGTERM)
        await process.wait()
        server.close()
        await proxy.close()


class GatewayStoreMute(unittest.TestCase):
    def test_change_is_known_soon_after_all_connections_to_the_store_go_silent(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertLess(asyncio.run(time_until_known_after_silence(folder)), KNOWN_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
