#!/usr/bin/env python3
"""Tests a start request without an answer that is carried out after the upstream has started again
under the same id."""
import asyncio
import json
import os
import signal
import tempfile
import time
import unittest

import standin_http
from process_testing import free_port, program_path
from soak import History
from standin_platform import Executor, Store

HOST = "127.0.0.1"
STEP_TIMEOUT_S = 8
JOB_DEADLINE_S = 5.0
TASK_MS = 800
FORMER_CLOCK_MS = 60000  # the lease end of the late start is far ahead of the new clock
RESTART_S = 0.005  # shorter than the sidecar's request time-out, after which it sends a stop
ROUTE = {"hostname": "h.example", "service": "service", "priority": 0, "max-attempts": 3,
         "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500, "name": "jobs",
         "prefix": "/jobs/"}


class RunHistory(History):
    def __init__(self, store):
        super().__init__(store)
        self.has_run = asyncio.Event()

    def record_start(self, *arguments):
        super().record_start(*arguments)
        self.has_run.set()


class LateExecutor(Executor):
    """Shares @withheld, a future, with the other executors. The first start request that reaches
    any of them is not answered but becomes the result, with its executor."""

    def __init__(self, name, ports, history, withheld):
        super().__init__(name, HOST, ports[0], "%s:%d" % (HOST, ports[1]), "d0", history, 1)
        self.withheld, self.has_answered_hold = withheld, asyncio.Event()

    def start(self, fence=0, keeps_id=False):
        super().start(fence, keeps_id)
        self.has_answered_hold.clear()

    def start_as_other_kind(self):
        """Starts under the same id without the label that the task requires."""
        self.labels = ["b", "r1"]
        self.start(keeps_id=True)

    async def handle(self, method, target, headers, body):
        if target.endswith("/run-start") and not self.withheld.done():
            self.withheld.set_result((self, json.loads(body)))
            raise standin_http.NoAnswer
        answer = await super().handle(method, target, headers, body)
        if target.endswith("/hold") and answer[0] == 200:
            self.has_answered_hold.set()
        return answer


class Cluster:
    """One gateway and two sidecars, each with an executor."""

    def __init__(self, folder):
        self.folder, self.processes, self.servers = folder, [], []
        self.store = Store()
        self.history = RunHistory(self.store)
        self.withheld = asyncio.get_running_loop().create_future()
        self.store.write("op/config", json.dumps({"version": 1, "routes": [ROUTE],
                                                  "services": []}).encode())

    async def run(self, program, settings):
        path = os.path.join(self.folder, settings["instance"] + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.processes.append(await asyncio.create_subprocess_exec(
            program_path(program), "--config", path, stdout=asyncio.subprocess.DEVNULL))

    async def open(self):
        ports = [free_port() for _ in range(8)]
        addresses = ["%s:%d" % (HOST, port) for port in ports]
        self.jobs_port = ports[1]
        self.servers.append(await standin_http.serve(HOST, ports[0], self.store.handle))
        common = {"store_address": addresses[0], "domain": "d0", "seed_port": ports[3],
                  "grace_s": 1}
        await self.run("azurerock-gateway", dict(
            common, instance="g0", seeds=[], jobs_address=addresses[1],
            ready_address=addresses[2], peer_address=addresses[3],
            advertised_address=addresses[3]))
        for i in range(2):
            executor = LateExecutor("m%d" % i, ports[4 + 2 * i:6 + 2 * i], self.history,
                                    self.withheld)
            await self.run("azurerock-sidecar", dict(
                common, instance="s%d" % i, seeds=[addresses[3]],
                registry_address=executor.registry))
            executor.start()
            executor.start_time_s -= FORMER_CLOCK_MS / 1000
            await executor.open()
            self.servers.append(executor.server)

    async def close(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            await process.wait()
        for server in self.servers:
            server.close()

    async def submit(self):
        """Returns the state of a job with one task; a refusal means that nothing is open yet."""
        work = {"ms": TASK_MS, "cpu": 1000}
        body = {"specification": json.dumps(work), "best-effort": True,
                "phases": [{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": TASK_MS,
                            "requirements": "a"}]}
        until_s = time.monotonic() + STEP_TIMEOUT_S
        while time.monotonic() < until_s:
            client = standin_http.HttpClient(HOST, self.jobs_port)
            try:
                status, _, text = await client.call(
                    "POST", "/jobs/00000000000000a1",
                    {"host": "h.example", "x-deadline-ms": "%d" % (JOB_DEADLINE_S * 1000)}, body,
                    JOB_DEADLINE_S)
                if status != 503:
                    return json.loads(text)["state"]
            except ConnectionRefusedError:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.1)
        return None


async def wait_for(awaitable):
    return await asyncio.wait_for(awaitable, STEP_TIMEOUT_S)


async def restart_while_task_is_tracked(executor, history):
    await asyncio.sleep(RESTART_S)
    executor.start_as_other_kind()
    await wait_for(history.has_run.wait())


async def restart_after_leases(executor, history):
    await wait_for(history.has_run.wait())
    executor.start_as_other_kind()
    await wait_for(executor.has_answered_hold.wait())


async def play(restart):
    """Has the task run elsewhere, carries out the late start meanwhile, and returns the history,
    the number of runs at that time and the job's state."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder)
        await cluster.open()
        try:
            job = asyncio.ensure_future(cluster.submit())
            executor, call = await wait_for(cluster.withheld)
            executor.crash()
            await restart(executor, cluster.history)
            n_running = sum(map(len, cluster.history.running.values()))
            await executor.run_order("run_start", call)
            return cluster.history, n_running, await wait_for(job)
        finally:
            await cluster.close()


class UpstreamRebirth(unittest.TestCase):
    def check(self, restart):
        history, n_running, state = asyncio.run(play(restart))
        self.assertEqual(n_running, 1)
        self.assertEqual(history.violations, [])
        self.assertEqual(state, "completed")

    def test_late_start_does_not_run_beside_moved_task(self):
        """Guards against a second run when the restart made the sidecar report the task as lost."""
        self.check(restart_while_task_is_tracked)

    def test_late_start_does_not_run_after_leases_expired(self):
        """Guards against a second run when the task had moved before the restart."""
        self.check(restart_after_leases)


if __name__ == "__main__":
    unittest.main()
