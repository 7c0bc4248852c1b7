"""Runs gateways and sidecars as processes against stand-ins of the platform, injects faults drawn
from a seed, and checks the guarantees that callers and executors can observe."""
import argparse
import asyncio
import errno
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

import standin_http
from soak_faults import LINK_FAULTS, ONLY_BY_NAME, PLANNED, PORTS, REFUSALS, Faults
from soak_history import History
from soak_proxy import Proxy
from standin_platform import Executor, Store, StoreAccess

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NETWORKS = 254
RESUBMIT_DELAY_S = 1.3
CONFIG_LIMIT_S = 2.0
UNDISTURBED_S = 3.0  # the checks of STOP and CONFIG apply this long after the last disturbance
RECOVERY_LIMIT_S = 10.0
SERIES = [1, 1, 1, 2, 3]  # times that a fault is injected in succession
STALL_CHECK_S = 0.05
GRACE_S = 5


class Node:
    """A gateway or sidecar process."""

    def __init__(self, soak, program, host, settings):
        self.soak, self.program, self.host = soak, program, host
        self.path = os.path.join(soak.folder, host + ".json")
        self.log = open(os.path.join(soak.folder, host + ".log"), "ab")
        self.process, self.is_exit_expected, self.active_fault = None, False, False
        self.last_disturbed_s = 0.0  # time of the last start or signal
        self.store_access = settings.pop("store_access")
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        self.is_exit_expected, self.last_disturbed_s = False, time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(self.soak.build, self.program), "--config", self.path,
            stdout=self.log, stderr=self.log)
        asyncio.ensure_future(self.wait(self.process))

    async def wait(self, process):
        code = await process.wait()
        if not self.is_exit_expected:
            self.soak.history.report_violation("EXIT", "%s on %s exited unexpectedly, code %s"
                                               % (self.program, self.host, code))

    def send(self, number):
        self.last_disturbed_s = time.monotonic()
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number, timeout=GRACE_S + 1):
        self.is_exit_expected = True
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), timeout)
        except (TimeoutError, asyncio.TimeoutError):
            if number == signal.SIGTERM:
                self.soak.history.report_violation("STOP", "%s did not exit within its grace time"
                                                   % self.host)
            self.send(signal.SIGKILL)
            await self.process.wait()


class Soak(Faults):
    def __init__(self, options):
        self.options, self.build = options, os.path.join(ROOT, options.build)
        # The load has random numbers of its own, so that it doesn't change the plan of faults.
        self.random = random.Random(options.seed)
        self.load_random = random.Random("load %d" % options.seed)
        self.store = Store()
        self.history = History(self.store)
        self.folder = options.keep or tempfile.mkdtemp(prefix="soak-")
        os.makedirs(self.folder, exist_ok=True)
        self.gateways, self.sidecars, self.executors, self.proxies = [], [], [], []
        self.counts = {"completed": 0, "failed": 0, "not_run": 0, "unanswered": 0}
        self.job_outcomes, self.jobs, self.stopping, self.version = [], 0, False, 0
        self.n_unplanned, self.due_crashes_ms, self.leaving_share = 0, [], 0.0
        self.network, self.store_server, self.longest_stall = None, None, (0.0, "")
        self.store_servers, self.n_accesses = [], 0
        self.n_other_faults, self.other_faults_until_s = 0, 0.0

    def host(self, index):
        return "127.%d.%d.%d" % (self.network, 1 + index // 250, 1 + index % 250)

    async def claim_network(self):
        """Serves the store in a loopback network in which no other run serves one; runs that start
        at the same time differ in their first choice."""
        for i in range(NETWORKS):
            self.network = 1 + (os.getpid() + i) % NETWORKS
            try:
                self.store_server = await standin_http.serve(self.host(1), PORTS["store"],
                                                             self.store.handle)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                continue
            if self.are_node_addresses_free():
                return
            self.store_server.close()
        raise OSError(errno.EADDRINUSE, "no free loopback network")

    def are_node_addresses_free(self):
        """Whether no process of a run that was killed listens on the address of a node."""
        for i in range(self.options.gateways + self.options.sidecars):
            is_gateway = i < self.options.gateways
            host = self.gateway_host(i) if is_gateway else \
                self.sidecar_host(i - self.options.gateways)
            with socket.socket() as probe:
                # Closed connections of a former run don't count.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((host, PORTS["jobs" if is_gateway else "registry"]))
                except OSError:
                    return False
        return True

    def gateway_host(self, index):
        return self.host(100 + index)

    def sidecar_host(self, index):
        return self.host(250 + index)

    def publish(self, probe):
        """Writes the next configuration; its route /probe-N/ shows that it is in force."""
        self.version += self.random.randint(1, 4)
        route = {"hostname": "h.example", "service": "service", "priority": 0, "max-attempts": 3,
                 "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500}
        routes = [dict(route, name="jobs", prefix="/jobs/"),
                  dict(route, name="probe", prefix="/probe-%d/" % probe)]
        self.store.write("op/config", json.dumps(
            {"version": self.version, "routes": routes, "services": []}).encode())
        self.probe, self.published_s = probe, time.monotonic()

    async def open_store(self):
        """Opens the access of one process to the store and returns settings of the process."""
        access = StoreAccess(self.store)
        self.n_accesses += 1
        port = PORTS["store"] + self.n_accesses
        self.store_servers.append(await access.serve(self.host(1), port))
        return {"store_address": "%s:%d" % (self.host(1), port), "store_access": access}

    def close_store(self):
        for server in [self.store_server, *self.store_servers]:
            server.close()

    async def build_cluster(self):
        await self.claim_network()
        self.publish(1)
        n = self.options.gateways
        advertised_hosts = [self.gateway_host(i) if self.options.direct else self.host(10 + i)
                            for i in range(n)]
        seeds = ["%s:1" % host for host in advertised_hosts[:3]]
        for i in range(n):
            real, advertised = self.gateway_host(i), advertised_hosts[i]
            self.gateways.append(Node(self, "azurerock-gateway", real, {
                "instance": "g%d" % i, "domain": "d%d" % (i % 3), "seeds": seeds,
                "jobs_address": "%s:%d" % (real, PORTS["jobs"]),
                "ready_address": "%s:%d" % (real, PORTS["ready"]),
                "peer_address": "%s:%d" % (real, PORTS["peers"]),
                "advertised_address": "%s:%d" % (advertised, PORTS["peers"]),
                "seed_port": PORTS["peers"], "grace_s": GRACE_S, **await self.open_store()}))
            if self.options.direct:
                continue
            proxy = Proxy(advertised, PORTS["peers"], (real, PORTS["peers"]))
            await proxy.open()
            self.proxies.append(proxy)
        for i in range(self.options.sidecars):
            host = self.sidecar_host(i)
            registry = "%s:%d" % (host, PORTS["registry"])
            self.sidecars.append(Node(self, "azurerock-sidecar", host, {
                "instance": "s%d" % i, "domain": "d%d" % (i % 3), "seeds": seeds,
                "registry_address": registry, "seed_port": PORTS["peers"],
                "grace_s": GRACE_S, **await self.open_store()}))
            executor = Executor("m%d" % i, host, PORTS["app"], registry, "d%d" % (i % 3),
                                self.history, self.options.seed * 1000 + i)
            executor.sidecar, executor.guards_capacity = self.sidecars[-1], i % 3 == 0
            # The clock of an earlier sidecar, from which the fence came, may have been ahead.
            executor.start(fence=int(time.time() * 1000) + self.random.choice([0, 0, 60000]))
            await executor.open()
            self.executors.append(executor)
            self.history.executors.append(executor)
        for node in self.gateways + self.sidecars:
            await node.start()

    async def submit(self, job_id, deadline, is_long, crash_ms):
        """Submits one job until it has a final answer, as a client of the platform does. Tasks of
        long jobs run longer than RESUBMIT_DELAY_S. @crash_ms: None, or time after which its first
        task crashes the upstream."""
        tasks = self.load_random.randint(1, 4)
        work = {"ms": 2500 if is_long else self.load_random.choice([30, 60, 120, 400]),
                "cpu": 500 if is_long else self.load_random.choice([1000, 2000])}
        if crash_ms is not None:
            work.update({"ms": 400, "crash-ms": crash_ms})
        body = {"specification": json.dumps(work), "best-effort": True,
                "phases": [{"count": tasks, "cpu": work["cpu"], "mem-mb": 64,
                            "estimate-ms": int(work["ms"] * self.load_random.uniform(0.6, 1.6))}]}
        until = time.monotonic() + deadline
        may_have_run = False
        while (left := until - time.monotonic()) > 0.05:
            gateway = self.load_random.choice(self.gateways)
            client = standin_http.HttpClient(gateway.host, PORTS["jobs"])
            sent_s = time.monotonic()
            try:
                status, _, text = await client.call(
                    "POST", "/jobs/" + job_id,
                    {"host": "h.example", "x-deadline-ms": "%d" % (left * 1000)}, body,
                    self.choose_wait_s(left))
            except (OSError, TimeoutError) as error:
                may_have_run = True
                # A reset within 10 ms is a connection that was never established.
                if isinstance(error, ConnectionResetError) and time.monotonic() - sent_s > 0.01:
                    self.check_cut(gateway, job_id, sent_s)
                await asyncio.sleep(RESUBMIT_DELAY_S)
                continue
            finally:
                client.close()
            if status in (200, 503):
                self.history.answered_s[job_id] = time.monotonic()
            if status == 200:
                return self.check_answer(job_id, tasks, json.loads(text)["state"])
            if status == 503:
                return self.check_not_run(job_id, may_have_run)
            may_have_run = True
            await asyncio.sleep(RESUBMIT_DELAY_S)
        return "unanswered"

    def choose_wait_s(self, left_s):
        """Returns the time after which the caller's connection breaks."""
        if self.leaving_share > 0 and self.load_random.random() < self.leaving_share:
            return min(left_s, self.load_random.uniform(0.1, 1.5))
        return left_s

    def check_cut(self, gateway, job_id, sent_s):
        """A request may be cut off only during an unplanned fault or up to UNDISTURBED_S after."""
        if sent_s > self.history.unplanned_until_s + UNDISTURBED_S:
            self.history.report_violation("STOP", "%s cut off the request of job %s with no "
                                          "unplanned fault" % (gateway.host, job_id))

    def check_answer(self, job_id, tasks, state):
        missing = [i for i in range(tasks) if "%s.0.0.%d" % (job_id, i) not in self.history.done]
        if state == "completed" and missing:
            self.history.report_violation("WHOLE", "%s completed without tasks %s"
                                          % (job_id, missing))
        return state

    def check_not_run(self, job_id, may_have_run):
        if not may_have_run and job_id in self.history.runs:
            self.history.report_violation("NOT_RUN", "%s was answered as not run but has run"
                                          % job_id)
        return "not_run"

    async def load(self):
        while not self.stopping:
            self.jobs += 1
            asyncio.ensure_future(self.one_job("%016x" % (self.options.seed << 32 | self.jobs)))
            await asyncio.sleep(self.load_random.expovariate(self.options.rate))

    async def one_job(self, job_id):
        is_long = self.load_random.random() < self.options.long_share
        crash_ms = self.due_crashes_ms.pop() if self.due_crashes_ms else None
        has_time = is_long or crash_ms is not None
        deadline = 9.0 if has_time else self.load_random.choice([1.5, 2.5, 4.0])
        outcome = await self.submit(job_id, deadline, is_long, crash_ms)
        self.counts[outcome] += 1
        if crash_ms is not None:
            return
        self.job_outcomes.append((time.monotonic(), outcome == "completed"))

    async def check_configuration(self):
        """Requests from each gateway a route that only the newest version has."""
        seen_probes = {}
        while not self.stopping:
            await asyncio.sleep(0.2)
            for gateway in self.gateways:
                probe, sent_s = self.probe, time.monotonic()
                is_undisturbed = sent_s - max(gateway.last_disturbed_s,
                                              self.store.last_disturbed_s) > UNDISTURBED_S
                is_due = sent_s - self.published_s > CONFIG_LIMIT_S and is_undisturbed \
                    and not gateway.active_fault and self.can_learn(gateway, sent_s)
                status = await self.ask_probe(gateway, probe)
                if status in (404, 503) and is_due and probe == self.probe:
                    self.history.report_violation("CONFIG", "%s has not adopted version %d"
                                                  % (gateway.host, self.version))
                if status == 404 and seen_probes.get(gateway.process) == probe \
                        and probe == self.probe:
                    self.history.report_violation("CONFIG", "%s went back from route /probe-%d/"
                                                  % (gateway.host, probe))
                if status == 200:
                    seen_probes[gateway.process] = probe

    def can_learn(self, gateway, now_s):
        """Whether the store has served the gateway for a while, or some sidecars and nothing but the
        store disturbs the sessions with these."""
        before_s = now_s - UNDISTURBED_S
        if gateway.store_access.is_ok_since(before_s):
            return True
        return any(node.store_access.is_ok_since(before_s) for node in self.sidecars) \
            and now_s - self.other_faults_until_s > UNDISTURBED_S

    async def ask_probe(self, gateway, probe):
        client = standin_http.HttpClient(gateway.host, PORTS["jobs"])
        try:
            status, _, _ = await client.call("GET", "/probe-%d/" % probe,
                                             {"host": "h.example"}, None, 0.5)
            return status
        except (OSError, TimeoutError):
            return None
        finally:
            client.close()

    async def measure_stalls(self):
        """Measures how long the stand-ins, which share this process, stood still at most. They and
        the proxies between processes are then as silent as after a fault."""
        while not self.stopping:
            sent_s = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            stall_s = time.monotonic() - sent_s - STALL_CHECK_S
            self.longest_stall = max(self.longest_stall, (stall_s, time.strftime("%H:%M:%S")))

    async def inject_fault(self):
        names = self.options.faults.split(",") if self.options.faults else \
            sorted({k[6:] for k in dir(self) if k.startswith("fault_")} - ONLY_BY_NAME
                   - (set() if self.proxies else LINK_FAULTS))
        name = self.random.choice([n for n in names if n in PLANNED or not self.options.planned])
        print("%.1f s: %s" % (time.monotonic() - self.start_time_s, name), flush=True)
        if name not in PLANNED:
            self.history.unplanned_until_s = float("inf")
            self.n_unplanned += 1
        if name not in REFUSALS | {"configuration", "withdraw"}:
            self.other_faults_until_s = float("inf")
            self.n_other_faults += 1
        for _ in range(self.random.choice(SERIES)):
            await getattr(self, "fault_" + name)()
        if name not in PLANNED:
            self.n_unplanned -= 1
            if self.n_unplanned == 0:
                self.history.unplanned_until_s = time.monotonic()
        if name not in REFUSALS | {"configuration", "withdraw"}:
            self.n_other_faults -= 1
            if self.n_other_faults == 0:
                self.other_faults_until_s = time.monotonic()

    async def inject_faults(self):
        running = set()
        while time.monotonic() - self.start_time_s < self.options.seconds:
            running = {task for task in running if not task.done()}
            if len(running) < self.options.overlap:
                running.add(asyncio.ensure_future(self.inject_fault()))
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        if running:
            await asyncio.wait(running)

    async def run(self):
        self.start_time_s = time.monotonic()
        await self.build_cluster()
        await asyncio.sleep(2.5)
        tasks = [asyncio.ensure_future(self.load()),
                 asyncio.ensure_future(self.check_configuration()),
                 asyncio.ensure_future(self.measure_stalls())]
        await self.inject_faults()
        await asyncio.sleep(RECOVERY_LIMIT_S)
        now = time.monotonic()
        last = [served for at, served in self.job_outcomes if now - at < 3]
        if not last or sum(last) < 0.9 * len(last):
            self.history.report_violation("RECOVER", "%d of %d jobs served after the faults"
                                 % (sum(last), len(last)))
        self.stopping = True
        await asyncio.sleep(9.5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*[node.stop(signal.SIGTERM) for node in self.gateways + self.sidecars])
        n_given_up = self.history.check_given_up_jobs(self.folder)
        print("seed %d: %d jobs, %s, %d runs, %d crashes by tasks, %d jobs given up for crashes, "
              "longest stall of the stand-ins %.2f s (%s), %d violations, logs in %s"
              % (self.options.seed, self.jobs, self.counts,
                 sum(map(len, self.history.runs.values())),
                 sum(self.history.deadly_crashes.values()), n_given_up,
                 *self.longest_stall, len(self.history.violations), self.folder))
        return 1 if self.history.violations else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25, help="time in which faults may begin")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--sidecars", type=int, default=5)
    parser.add_argument("--rate", type=float, default=40, help="jobs per second")
    parser.add_argument("--long-share", type=float, default=0.05, help="share of long jobs")
    parser.add_argument("--direct", action="store_true", help="connect gateways and sidecars "
                        "without proxies, which can't keep up with some hundred processes")
    parser.add_argument("--overlap", type=int, default=3, help="most faults at a time")
    parser.add_argument("--faults", help="names of the faults to inject, joined by commas")
    parser.add_argument("--planned", action="store_true",
                        help="only planned operations; the default if the seed is a multiple of 4")
    parser.add_argument("--build", default="build")
    parser.add_argument("--keep", help="folder for settings and logs")
    options = parser.parse_args()
    options.planned |= options.seed % 4 == 0
    sys.exit(asyncio.run(Soak(options).run()))


if __name__ == "__main__":
    main()
