"""A small deployment for the cases of this review: three gateways and some sidecars as processes,
started with the commands of the deploy file, and the project's stand-ins of store and executors."""
import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "tests"))

import standin_http  # noqa: E402
from standin_platform import Executor, Store, StoreAccess  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["bayangol", "sukhbaatar", "chingeltei"]
HOST_NAME = "h.example"
PORTS = {"jobs": 8161, "ready": 8167, "registry": 8166, "app": 8165, "store": 8169, "peers": 7720,
         "metrics": 7735}
GRACE_S = 6
READY_TIMEOUT_S = 15

# Bounds of the small site files.
CONTACT_S, CANCEL_S, STOP_S, DRAIN_S, RESEND_S = 3.0, 3.0, 0.05, 2.0, 1.3


class CannotRun(Exception):
    """The case can't be played here; it says nothing about the rule."""


class Record:
    """What was sent, answered and run: lines with the seconds since the start of the script."""

    def __init__(self, folder):
        self.began_s = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.starts, self.ends, self.running = [], [], {}

    def now(self):
        return time.monotonic() - self.began_s

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def record_start(self, machine, zone, name, attempt, executor, is_late):
        at = self.now()
        self.write("run: %s attempt %d starts on %s in %s%s"
                   % (name, attempt, machine, zone, ", late" if is_late else ""))
        self.starts.append((at, name, machine, attempt, is_late))
        self.running[(name, machine, attempt)] = at

    def record_end(self, machine, name, attempt, how):
        self.write("run: %s attempt %d ends on %s as %s" % (name, attempt, machine, how))
        began = self.running.pop((name, machine, attempt), None)
        self.ends.append((began, self.now(), name, machine, attempt, how))

    def record_start_elsewhere(self, machine, executor_id):
        self.write("run: a start for %s is refused on %s" % (executor_id, machine))

    def record_deadly_crash(self, name):
        pass

    def spans(self):
        """Rows (began, ended, name, machine, attempt) of all runs; ended is infinite while one
        lasts."""
        ended = [row[:5] for row in self.ends if row[0] is not None]
        return ended + [(at, float("inf"), name, machine, attempt)
                        for (name, machine, attempt), at in self.running.items()]


class Node:
    """A gateway or sidecar process."""

    def __init__(self, deployment, program, host, settings):
        self.deployment, self.program, self.host = deployment, program, host
        self.path = os.path.join(deployment.folder, host + ".json")
        self.log = open(os.path.join(deployment.folder, host + ".log"), "ab")
        self.process = None
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            os.path.join("target", self.program), "--config", self.path, cwd=ROOT,
            stdout=self.log, stderr=self.log)

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number=signal.SIGTERM):
        if not self.process:
            return
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except (TimeoutError, asyncio.TimeoutError):
            self.send(signal.SIGKILL)
            await self.process.wait()
        self.log.close()


class Deployment:
    def __init__(self, record, n_gateways=3, n_sidecars=4):
        self.record, self.n_gateways, self.n_sidecars = record, n_gateways, n_sidecars
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.accesses, self.servers = Store(), {}, []
        self.gateways, self.sidecars, self.executors, self.network = [], [], [], None

    def host(self, index):
        return "127.%d.7.%d" % (self.network, index)

    def gateway_host(self, index):
        return self.host(10 + index)

    def sidecar_host(self, index):
        return self.host(100 + index)

    def address(self, host, port):
        return "%s:%d" % (host, PORTS[port])

    async def claim_network(self):
        for i in range(200):
            self.network = 20 + (os.getpid() + i) % 200
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((self.host(1), PORTS["store"]))
                    return
                except OSError:
                    continue
        raise CannotRun("no free loopback network")

    def publish(self, version, routes=("jobs",)):
        route = {"hostname": HOST_NAME, "service": "service", "priority": 0, "max-attempts": 3,
                 "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500}
        self.store.write("op/config", json.dumps(
            {"version": version, "services": [], "limits": {},
             "routes": [dict(route, name=name, prefix="/%s/" % name)
                        for name in routes]}).encode())

    async def open_store(self, name):
        access = self.accesses[name] = StoreAccess(self.store)
        port = PORTS["store"] + len(self.accesses)
        self.servers.append(await access.serve(self.host(1), port))
        return "%s:%d" % (self.host(1), port)

    async def add_gateway(self, index, seeds):
        host, name = self.gateway_host(index), "frontend-%d" % index
        self.gateways.append(Node(self, "azurerock-gateway", host, {
            "jobs_address": self.address(host, "jobs"),
            "ready_address": self.address(host, "ready"),
            "instance": name, "domain": ZONES[index % 3],
            "peer_address": self.address(host, "peers"),
            "metrics_address": self.address(host, "metrics"), "seed_port": PORTS["peers"],
            "memory_mb": 260, "descriptors_max": 4100, "grace_s": GRACE_S,
            "configuration_apply_ms": 2000, "remote_factor": 1.5, "tail_aware_moves": True,
            "share_demand": True, "fair_queue_shares": True, "seeds": seeds,
            "store_address": await self.open_store(name)}))

    async def add_sidecar(self, index, seeds, executor_class):
        host, name, zone = self.sidecar_host(index), "side-%d" % index, ZONES[index % 3]
        registry = self.address(host, "registry")
        self.sidecars.append(Node(self, "azurerock-sidecar", host, {
            "registry_address": registry, "instance": name, "domain": zone,
            "metrics_address": self.address(host, "metrics"), "seed_port": PORTS["peers"],
            "memory_mb": 128, "descriptors_max": 4096, "grace_s": GRACE_S, "stop_ms": 50,
            "lease_max_ms": 1000, "seeds": seeds, "store_address": await self.open_store(name)}))
        executor = executor_class("m%d" % index, host, PORTS["app"], registry, zone, self.record,
                                  index + 1)
        self.executors.append(executor)

    async def open(self, executor_class=Executor, seed_hosts=None):
        for program in ("azurerock-gateway", "azurerock-sidecar"):
            if not os.access(os.path.join(ROOT, "target", program), os.X_OK):
                raise CannotRun("target/%s isn't built" % program)
        await self.claim_network()
        self.publish(1)
        seeds = ["%s:8166" % host for host in
                 (seed_hosts or [self.gateway_host(i) for i in range(3)])]
        for i in range(self.n_gateways):
            await self.add_gateway(i, seeds)
        for i in range(self.n_sidecars):
            await self.add_sidecar(i, seeds, executor_class)
        for node in self.gateways + self.sidecars:
            await node.start()
        for executor in self.executors:
            executor.start()
            await executor.open()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        until_s = time.monotonic() + READY_TIMEOUT_S
        for node in self.gateways:
            while await self.ask_ready(node) != 200:
                if time.monotonic() > until_s:
                    raise CannotRun("%s isn't ready" % node.host)
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)  # until the gateways are connected to each other

    async def ask_ready(self, node):
        client = standin_http.HttpClient(node.host, PORTS["ready"])
        try:
            return (await client.call("GET", "/azurerock/readiness", {}, None, 0.5))[0]
        except (OSError, TimeoutError):
            return None
        finally:
            client.close()

    async def call(self, index, method, path, deadline_ms=1500, body=None, name=None):
        """Sends a request of a client to a gateway; returns the status, or None if the connection
        breaks or the client's deadline passes, and the body."""
        host = self.gateway_host(index)
        client = standin_http.HttpClient(host, PORTS["jobs"])
        what = name or "%s %s" % (method, path)
        self.record.write("sent: %s to frontend-%d" % (what, index))
        status, text = None, b""
        try:
            status, _, text = await client.call(
                method, path, {"host": HOST_NAME, "x-deadline-ms": "%d" % deadline_ms,
                               "content-type": "application/json"}, body, deadline_ms / 1000)
        except (OSError, TimeoutError) as error:
            text = type(error).__name__.encode()
        finally:
            client.close()
        self.record.write("answered: %s by frontend-%d: %s %s"
                          % (what, index, status, text.decode()))
        return status, text

    async def close(self):
        for executor in self.executors:
            executor.is_up = False
        await asyncio.gather(*[node.stop() for node in self.gateways + self.sidecars])
        for server in self.servers + [e.server for e in self.executors if e.server]:
            server.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job_body(n_tasks, ms, cpu=3100, **step):
    """A best-effort job of one step. The stand-in executor reads the work from the
    specification."""
    return {"specification": json.dumps({"ms": ms, "cpu": cpu}), "best-effort": True,
            "phases": [dict({"count": n_tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": ms},
                            **step)]}


def play(folder, case, **options):
    """Runs @case(deployment), which returns the list of breaks of the rule, and exits."""
    record = Record(folder)
    executor_class = options.pop("executor_class", Executor)

    async def run():
        deployment = Deployment(record, **options)
        try:
            await deployment.open(executor_class)
            return await case(deployment)
        finally:
            with contextlib.suppress(ProcessLookupError):
                await deployment.close()

    try:
        breaks = asyncio.run(run())
    except (CannotRun, OSError) as error:
        record.write("the case could not run: %s" % error)
        print("the case could not run: %s" % error)
        sys.exit(NOT_RUN)
    for text in breaks:
        record.write("broken: %s" % text)
        print("broken: %s" % text)
    if not breaks:
        record.write("the rule held")
        print("the rule held")
    sys.exit(BROKEN if breaks else HELD)
