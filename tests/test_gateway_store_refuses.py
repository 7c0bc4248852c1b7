#!/usr/bin/env python3
"""Tests gateways that the store doesn't serve while it serves other processes."""
import asyncio
import json
import os
import signal
import tempfile
import time
import unittest

import standin_http
from process_testing import free_port, program_path
from standin_platform import Store, StoreAccess

HOST = "127.0.0.1"
# A configuration has to be in force within 2 s from its acknowledgement.
APPLY_LIMIT_S = 2.0
OUTAGE_S = 4.0
START_LIMIT_S = 5.0


class Cluster:
    """Two gateways and one sidecar; the gateways have their own access to the store."""

    def __init__(self, folder):
        self.folder, self.store, self.processes, self.servers = folder, Store(), [], []
        self.access = StoreAccess(self.store)
        self.sidecar_access = StoreAccess(self.store)
        self.store_ports = {"gateways": free_port(), "sidecars": free_port()}
        self.jobs_ports = [free_port(), free_port()]
        self.peer_ports = [free_port(), free_port()]

    def publish(self, version):
        route = {"hostname": "h.example", "service": "service", "priority": 0, "max-attempts": 3,
                 "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500}
        routes = [dict(route, name="r%d" % i, prefix="/r%d/" % i) for i in range(1, version + 1)]
        self.store.write("op/config", json.dumps(
            {"version": version, "routes": routes, "services": []}).encode())

    async def start_process(self, program, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(dict(settings, instance=name, domain="d0", grace_s=1), file)
        with open(os.path.join(self.folder, name + ".log"), "w") as log:
            self.processes.append(await asyncio.create_subprocess_exec(
                program_path(program), "--config", path, stdout=log, stderr=log))

    async def start(self):
        self.servers = [
            await standin_http.serve(HOST, self.store_ports["gateways"], self.access.handle),
            await standin_http.serve(HOST, self.store_ports["sidecars"],
                                        self.sidecar_access.handle)]
        for i in range(2):
            peer = "%s:%d" % (HOST, self.peer_ports[i])
            await self.start_process("azurerock-gateway", "g%d" % i, {
                "store_address": "%s:%d" % (HOST, self.store_ports["gateways"]),
                "jobs_address": "%s:%d" % (HOST, self.jobs_ports[i]),
                "ready_address": "%s:%d" % (HOST, free_port()),
                "peer_address": peer, "advertised_address": peer, "seeds": [],
                "seed_port": free_port()})
        await self.start_process("azurerock-sidecar", "s0", {
            "store_address": "%s:%d" % (HOST, self.store_ports["sidecars"]),
            "registry_address": "%s:%d" % (HOST, free_port()), "seeds": [HOST + ":1"],
            "seed_port": self.peer_ports[0]})

    async def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            await process.wait()
        for server in self.servers:
            server.close()

    async def ask(self, gateway, route):
        """Returns the status of a request to a route, None if there was no answer."""
        client = standin_http.HttpClient(HOST, self.jobs_ports[gateway])
        try:
            return (await client.call("GET", "/r%d/" % route, {"host": "h.example"}, None, 0.5))[0]
        except (OSError, TimeoutError):
            return None
        finally:
            client.close()

    async def time_until_known(self, route, limit_s, gateways=(0, 1)):
        """Returns the seconds until @gateways know a route, at most @limit_s."""
        begin_s = time.monotonic()
        while time.monotonic() - begin_s < limit_s:
            if all([await self.ask(i, route) == 200 for i in gateways]):
                break
            await asyncio.sleep(0.02)
        return time.monotonic() - begin_s

    async def wait_for_sessions(self):
        """Waits until the sidecar has a session with each gateway."""
        until = time.monotonic() + START_LIMIT_S
        path = os.path.join(self.folder, "s0.log")
        while time.monotonic() < until:
            with open(path) as log:
                if log.read().count("event=session-opened") >= 2:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError("the sidecar has no session with each gateway")


async def time_until_in_force(folder, mode):
    """Returns the seconds until a change is in force that is made while the store serves no
    gateway."""
    cluster = Cluster(folder)
    cluster.publish(1)
    await cluster.start()
    try:
        await cluster.time_until_known(1, START_LIMIT_S)
        await cluster.wait_for_sessions()
        cluster.access.mode = mode
        await asyncio.sleep(0.5)
        cluster.publish(2)
        return await cluster.time_until_known(2, OUTAGE_S)
    finally:
        await cluster.stop()


async def time_until_known_after_start(folder):
    """Returns the seconds until a gateway has a configuration that starts while the store refuses
    it."""
    cluster = Cluster(folder)
    cluster.publish(1)
    cluster.access.mode = "busy"
    await cluster.start()
    try:
        return await cluster.time_until_known(1, START_LIMIT_S, (0,))
    finally:
        await cluster.stop()


async def ask_during_and_after_outage(folder):
    """Returns the answers to requests to a route and to a missing one, each first while nobody has
    reached the store for longer than APPLY_LIMIT_S and then after its return."""
    cluster = Cluster(folder)
    cluster.publish(1)
    await cluster.start()
    try:
        await cluster.time_until_known(1, START_LIMIT_S)
        cluster.access.mode = cluster.sidecar_access.mode = "busy"
        await asyncio.sleep(APPLY_LIMIT_S + 0.5)
        during = [await cluster.ask(0, 1), await cluster.ask(0, 2)]
        cluster.access.mode = cluster.sidecar_access.mode = "ok"
        await asyncio.sleep(0.5)
        return during, [await cluster.ask(0, 1), await cluster.ask(0, 2)]
    finally:
        await cluster.stop()


class GatewayStoreRefuses(unittest.TestCase):
    def check(self, mode):
        with tempfile.TemporaryDirectory() as folder:
            self.assertLess(asyncio.run(time_until_in_force(folder, mode)), APPLY_LIMIT_S)

    def test_change_comes_into_force_while_the_store_ignores_all_gateways(self):
        self.check("silent")

    def test_change_comes_into_force_while_the_store_refuses_all_gateways(self):
        self.check("busy")

    def test_gateway_that_starts_while_the_store_refuses_it_gets_the_configuration(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertLess(asyncio.run(time_until_known_after_start(folder)), START_LIMIT_S)

    def test_route_counts_as_missing_only_on_recent_evidence(self):
        with tempfile.TemporaryDirectory() as folder:
            during, after = asyncio.run(ask_during_and_after_outage(folder))
            self.assertEqual(during, [200, 503])
            self.assertEqual(after, [200, 404])


if __name__ == "__main__":
    unittest.main()
