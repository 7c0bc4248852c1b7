#!/usr/bin/env python3
"""Tests that gateways find each other although the store doesn't answer when they start."""
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
SILENT_S = 1.5
# Sidecars and gateways retry about every second; the rest allows for a busy machine.
FOUND_LIMIT_S = 6.0


async def start_gateway(folder, name, store_port):
    peer = "%s:%d" % (HOST, free_port())
    path = os.path.join(folder, name + ".json")
    with open(path, "w") as file:
        json.dump({"instance": name, "domain": "d0", "seeds": [], "grace_s": 1,
                   "store_address": "%s:%d" % (HOST, store_port),
                   "jobs_address": "%s:%d" % (HOST, free_port()),
                   "ready_address": "%s:%d" % (HOST, free_port()),
                   "peer_address": peer, "advertised_address": peer,
                   "seed_port": free_port()}, file)
    with open(os.path.join(folder, name + ".log"), "w") as log:
        return await asyncio.create_subprocess_exec(
            program_path("azurerock-gateway"), "--config", path, stdout=log, stderr=log)


async def time_until_found(folder, silent_s):
    """Returns the seconds from the return of the store until two gateways without seeds, which
    started at once, have a session with each other; at most FOUND_LIMIT_S."""
    store, port = Store(), free_port()
    store.mode = "silent" if silent_s > 0 else "ok"
    server = await standin_http.serve(HOST, port, store.handle)
    processes = [await start_gateway(folder, "g%d" % i, port) for i in range(2)]
    try:
        await asyncio.sleep(silent_s)
        store.mode = "ok"
        begin_s = time.monotonic()
        while time.monotonic() - begin_s < FOUND_LIMIT_S:
            with open(os.path.join(folder, "g0.log")) as log:
                if "event=session-opened peer=g1" in log.read():
                    break
            await asyncio.sleep(0.02)
        return time.monotonic() - begin_s
    finally:
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            await process.wait()
        server.close()


class GatewayMembers(unittest.TestCase):
    def check(self, silent_s):
        with tempfile.TemporaryDirectory() as folder:
            self.assertLess(asyncio.run(time_until_found(folder, silent_s)), FOUND_LIMIT_S)

    def test_gateways_that_start_at_once_find_each_other(self):
        self.check(0)

    def test_gateways_that_start_without_the_store_find_each_other(self):
        self.check(SILENT_S)


if __name__ == "__main__":
    unittest.main()
