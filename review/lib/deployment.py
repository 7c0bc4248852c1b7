"""A small deployment of the project's programs, started with the commands of the deploy file, among
the project's own stand-ins of the platform."""
import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests"))

import standin_http  # noqa: E402
from record import Record  # noqa: E402
from standin_platform import Executor, Store  # noqa: E402
from template import render  # noqa: E402

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
READY_TIMEOUT_S = 15
STOP_TIMEOUT_S = 8
NETWORKS = 200
PORTS = {"frontend": 8161, "ready": 8167, "control-plane": 8166, "app": 8165, "platform": 8169}
INTERNAL_PORTS = [7720, 7735]
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST_NAME, SERVICE = "desk.example", "service"
RESEND_S = 1.3

# The bounds of the small sites.
BOUNDS = {"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6,
          "config-apply-ms": 2000, "evacuation-ms": 5000, "hold-max-ms": 1000, "stop-ms": 50,
          "cancel_ms": 3000, "remote-factor": 1.5, "resend-ms": 1300}


class CannotRun(Exception):
    """The case could not be played."""


class Machine:
    """A machine with one process of the system."""

    def __init__(self, deployment, role, name, zone, ip):
        self.deployment, self.role, self.name, self.zone, self.ip = \
            deployment, role, name, zone, ip
        self.process, self.link = None, None

    def address(self, service):
        return "%s:%d" % (self.ip, PORTS[service])

    def advertised_host(self):
        """Where other machines reach the process: its own address or that of a link before it."""
        return self.link.host if self.link else self.ip

    def fields(self):
        services = ["control-plane"] if self.role["on"] == "side" else \
            ["frontend", "ready", "control-plane"]
        return {"node-name": self.name, "zone": self.zone, "ip": self.ip,
                "machine-class": self.role["on"], "internal-ports": INTERNAL_PORTS,
                "listen-addresses": {name: self.address(name) for name in services},
                "seeds": self.deployment.seeds, "bounds": BOUNDS, "service": SERVICE,
                "platform": {"address": self.deployment.store_address}}

    async def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as template:
            text = render(template.read(), self.fields())
        if self.link:
            text = json.dumps(dict(json.loads(text), advertised_address="%s:%d" % (
                self.link.host, INTERNAL_PORTS[0])))
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = [path if word == "/etc/azurerock/local.toml" else word
                   for word in shlex.split(self.role["run"])]
        command[0] = os.path.join(ROOT, command[0])
        if not os.access(command[0], os.X_OK):
            raise CannotRun("no program %s; run the build of the deploy file" % self.role["run"])
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "AZUREROCK_BOOT": path})
        self.deployment.record.write("process-start", machine=self.name)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.deployment.record.write("signal", machine=self.name,
                                     signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self):
        if not self.is_running():
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except (TimeoutError, asyncio.TimeoutError):
            self.process.kill()
            await self.process.wait()


class Deployment:
    """@n_frontends machines that clients reach and @n_sides machines with an executor each."""

    def __init__(self, folder, record, n_frontends=3, n_sides=3, capacity=32000,
                 executor_class=Executor, link_class=None):
        """@link_class: a proxy for the path from the sidecars to the first frontend machine."""
        self.folder, self.record, self.executor_class = folder, record, executor_class
        self.link_class, self.links = link_class, []
        self.n_frontends, self.n_sides, self.capacity = n_frontends, n_sides, capacity
        self.store, self.executors, self.servers = Store(), [], []
        self.frontends, self.sides, self.seeds = [], [], []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"].values()
        self.roles = {role["on"]: role for role in roles}

    def host(self, number):
        return "127.%d.%d.%d" % (self.network, number // 250, number % 250 + 1)

    def claim_network(self):
        """Chooses a loopback network in which no process listens on the ports of the machines."""
        for _ in range(NETWORKS):
            self.network = random.randint(20, 250)
            try:
                for number in range(2 + self.n_frontends + self.n_sides):
                    for port in list(PORTS.values()) + INTERNAL_PORTS:
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((self.host(number), port))
                return
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def publish(self, version, routes):
        self.store.write("op/config", json.dumps(
            {"version": version, "routes": routes,
             "services": [{"name": SERVICE, "health-path": "/healthz",
                           "admission-control": True}]}).encode())
        self.record.write("publish", version=version, routes=len(routes))

    async def open(self, routes):
        self.claim_network()
        self.store_address = "%s:%d" % (self.host(0), PORTS["platform"])
        self.publish(1, routes)
        self.servers.append(await standin_http.serve(self.host(0), PORTS["platform"],
                                                     self.store.handle))
        for i in range(self.n_frontends):
            self.frontends.append(Machine(self, self.roles["frontend"], "frontend-%d" % i,
                                          ZONES[i % 3], self.host(1 + i)))
        await self.open_link()
        self.seeds = ["%s:%d" % (m.advertised_host(), PORTS["control-plane"])
                      for m in self.frontends[:3]]
        for i in range(self.n_sides):
            machine = Machine(self, self.roles["side"], "side-%d" % i, ZONES[i % 3],
                              self.host(1 + self.n_frontends + i))
            executor = self.executor_class(machine.name, machine.ip, PORTS["app"],
                                           machine.address("control-plane"), machine.zone,
                                           self.record, i + 1)
            executor.capacity = self.capacity
            self.sides.append(machine)
            self.executors.append(executor)
        for machine in self.frontends + self.sides:
            await machine.start()
        for executor in self.executors:
            executor.start()
            await executor.open()
        await self.wait_until_ready()

    async def open_link(self):
        if not self.link_class:
            return
        first = self.frontends[0]
        first.link = self.link_class(self.host(1 + self.n_frontends + self.n_sides),
                                     INTERNAL_PORTS[0], (first.ip, INTERNAL_PORTS[0]))
        await first.link.open()
        self.links.append(first.link)

    async def wait_until_ready(self):
        """Waits until each gateway is ready and each executor has had a hold."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < until_s:
            await asyncio.sleep(0.2)
            answers = [await self.ask(m, "ready", "GET", "/azurerock/readiness")
                       for m in self.frontends]
            if all(status == 200 for status, _ in answers) \
                    and all(executor.fence > 0 for executor in self.executors):
                await asyncio.sleep(1.5)
                self.record.write("ready")
                return
        raise CannotRun("the deployment isn't ready")

    async def ask(self, machine, service, method, path, headers=None, body=None, timeout=2.0):
        """Sends one request on a connection of its own; returns (status or None, body)."""
        client = standin_http.HttpClient(machine.ip, PORTS[service])
        try:
            status, _, text = await client.call(method, path, headers or {}, body, timeout)
            return status, text
        except (OSError, TimeoutError, asyncio.TimeoutError):
            return None, b""
        finally:
            client.close()

    def body(self, count, work_ms, cpu, **step):
        """A job of one step. The stand-in executor reads run time and need from the specification.
        """
        return {"specification": json.dumps({"ms": work_ms, "cpu": cpu}), "best-effort": True,
                "phases": [dict({"count": count, "cpu": cpu, "mem-mb": 64,
                                 "estimate-ms": work_ms}, **step)]}

    async def post(self, machine, prefix, job_id, body, deadline_ms):
        """Submits a job once; returns (status or None, state)."""
        self.record.write("post", job=job_id, to=machine.name, prefix=prefix)
        status, text = await self.ask(
            machine, "frontend", "POST", prefix + job_id,
            {"host": HOST_NAME, "content-type": "application/json",
             "x-deadline-ms": str(deadline_ms)}, body, deadline_ms / 1000)
        state = json.loads(text).get("state") if status == 200 and text else None
        self.record.write("answer", job=job_id, status=status, state=state)
        return status, state

    async def submit(self, prefix, job_id, body, deadline_ms, first=0, attempts=3):
        """Submits a job as a client of the platform does: after no response, a broken connection,
        502 or 504 it is sent again, to another node."""
        for i in range(attempts):
            machine = self.frontends[(first + i) % len(self.frontends)]
            status, state = await self.post(machine, prefix, job_id, body, deadline_ms)
            if status not in (None, 502, 504):
                return status, state
            await asyncio.sleep(RESEND_S)
        return None, None

    async def close(self):
        await asyncio.gather(*[machine.stop() for machine in self.frontends + self.sides])
        for server in self.servers:
            server.close()
        for link in self.links:
            link.close()
        for executor in self.executors:
            if executor.server:
                executor.server.close()


def route(name, prefix, priority=0, attempts=3):
    return {"name": name, "hostname": HOST_NAME, "prefix": prefix, "service": SERVICE,
            "route-kind": "non_idempotent", "priority": priority, "max-attempts": attempts,
            "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500}


def main(case_folder, play, **options):
    """Plays a case: @play(deployment, trouble) is a coroutine that reports broken rules to the
    record. @options are those of the deployment. Exits with the code of the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(case_folder, "record.txt"))

    async def run(folder):
        deployment = Deployment(folder, record, **options)
        try:
            await deployment.open([route("jobs", "/jobs/")])
            await asyncio.wait_for(play(deployment, trouble), 100)
            for machine in deployment.frontends + deployment.sides:
                if not machine.is_running():
                    record.fail("Fault", "%s has ended by itself" % machine.name)
        finally:
            await deployment.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)

    try:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run(folder))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        record.write("could-not-run")
        record.close()
        sys.exit(COULD_NOT_RUN)
    code = BROKEN if record.failures else HELD
    record.close()
    print("rule broken" if code else "rule held", flush=True)
    sys.exit(code)
