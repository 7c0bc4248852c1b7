"""A gateway and two sidecars with stand-in executors, for tests of restarts under the same id."""
import asyncio
import json
import os
import signal
import time

import standin_http
from process_testing import free_port, program_path
from soak_history import History
from standin_platform import Executor, Store

HOST = "127.0.0.1"
STEP_TIMEOUT_S = 8
JOB_DEADLINE_S = 5.0
TASK_MS = 800
FORMER_CLOCK_MS = 60000  # a lease end on this clock is far ahead of that of a new incarnation
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


class ClusterExecutor(Executor):
    """Shares @first_start, a future, with the other executors; a subclass sets its result to itself
    and the body of the first start request that reaches any of them."""

    def __init__(self, name, ports, history, first_start):
        super().__init__(name, HOST, ports[0], "%s:%d" % (HOST, ports[1]), "d0", history, 1)
        self.first_start = first_start


class Cluster:
    """One gateway and two sidecars, each with an executor of @executor_class."""

    def __init__(self, folder, executor_class):
        self.folder, self.executor_class = folder, executor_class
        self.processes, self.servers, self.executors = [], [], []
        self.store = Store()
        self.history = RunHistory(self.store)
        self.first_start = asyncio.get_running_loop().create_future()
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
            executor = self.executor_class("m%d" % i, ports[4 + 2 * i:6 + 2 * i], self.history,
                                           self.first_start)
            await self.run("azurerock-sidecar", dict(
                common, instance="s%d" % i, seeds=[addresses[3]],
                registry_address=executor.registry))
            self.executors.append(executor)
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
