"""A small deployment: gateways and sidecars as processes with the commands and the templates of the
deploy file, and stand-ins for everything else, on loopback addresses and the real clock."""
import asyncio
import errno
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests"))

import standin_http  # noqa: E402
from platform_stand_in import Executor, Store  # noqa: E402
from template import render  # noqa: E402

PORTS = {"frontend": 8161, "ready": 8167, "control-plane": 8166, "peers": 7720, "store": 8169,
         "app": 8165}
ZONES = ["a", "b", "c"]
SERVICE = "service"
HOST_NAME = "h.example"
BOUNDS = {"contact-ms": 3000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000,
          "hold-max-ms": 1000, "stop-ms": 50, "cancel_ms": 3000, "evacuation-ms": 5000,
          "remote-factor": 1.5, "resend-ms": 1300}
LIMITS = {"gateway": {"memory-mb": 260, "file-descriptors": 4100},
          "sidecar": {"memory-mb": 128, "file-descriptors": 4096}}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2  # run.sh turns 10 into 1


def is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            return False
    return True


def choose_ports(host):
    """Moves all ports so that no process listens on one of them, on @host or on all addresses."""
    for offset in range(0, 2000, 50):
        if all(is_free(host, port + offset) for port in PORTS.values()):
            PORTS.update({name: port + offset for name, port in PORTS.items()})
            return
    raise CannotRun("no free ports")


class CannotRun(Exception):
    """The case could not be played."""


class Link:
    """A loopback proxy in front of a gateway's address for other nodes. The first message of a
    connection names the node that opened it, so that single nodes can be cut off: @cut holds the
    names of nodes whose bytes pass in neither direction, @mute those whose bytes don't reach the
    gateway, while its bytes reach them. The bytes wait and pass later, as those of a partitioned
    TCP connection do."""

    def __init__(self, host, port, target):
        self.host, self.port, self.target = host, port, target
        self.cut, self.mute = set(), set()
        self.server, self.writers = None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.on_connection, self.host, self.port)

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def on_connection(self, reader, writer):
        target_writer = None
        self.writers.add(writer)
        try:
            hello = await reader.read(65536)
            node = self.find_node(hello)
            await self.wait(node, False)
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.writers.add(target_writer)
            target_writer.write(hello)
            await self.forward(node, reader, writer, target_reader, target_writer)
        except OSError:
            pass
        finally:
            for end in (writer, target_writer):
                if end:
                    self.writers.discard(end)
                    end.transport.abort()

    async def forward(self, node, reader, writer, target_reader, target_writer):
        ways = [asyncio.ensure_future(self.pass_on(node, reader, target_writer, False)),
                asyncio.ensure_future(self.pass_on(node, target_reader, writer, True))]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()

    def find_node(self, hello):
        names = [name for name in Deployment.node_names if name.encode() in hello]
        return max(names, key=len) if names else ""

    async def wait(self, node, is_to_node):
        while node in self.cut or (node in self.mute and not is_to_node):
            await asyncio.sleep(0.005)

    async def pass_on(self, node, reader, writer, is_to_node):
        while data := await reader.read(65536):
            await self.wait(node, is_to_node)
            writer.write(data)
            await writer.drain()
        await self.wait(node, is_to_node)


class Node:
    """A process of the project."""

    def __init__(self, name, command, path, log):
        self.name, self.command, self.path, self.log = name, command, path, log
        self.process = None

    async def start(self):
        words = [self.path if word == "/etc/azurerock/local.toml" else word
                 for word in self.command.split()]
        if not os.access(os.path.join(ROOT, words[0]), os.X_OK):
            raise CannotRun("%s is not built" % words[0])
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=log,
                                                                stderr=log)

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Deployment:
    """@gateway_zones, @sidecar_zones: zone of each gateway and sidecar."""
    node_names = []

    def __init__(self, gateway_zones, sidecar_zones, record, executor_class=Executor):
        self.gateway_zones, self.sidecar_zones, self.record = gateway_zones, sidecar_zones, record
        self.executor_class = executor_class
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.gateways, self.sidecars, self.executors, self.links = [], [], [], []
        self.store, self.store_server, self.network = Store(), None, 0
        self.started_s = time.monotonic()
        Deployment.node_names = ["front-%d" % i for i in range(len(gateway_zones))] \
            + ["side-%d" % i for i in range(len(sidecar_zones))]

    def host(self, group, index):
        return "127.%d.%d.%d" % (self.network, group, 10 + index)

    async def claim_network(self):
        self.network = 20 + os.getpid() % 200
        choose_ports(self.host(9, 0))  # no node has this address
        for i in range(200):
            self.network = 20 + (os.getpid() + i) % 200
            try:
                self.store_server = await standin_http.serve(self.host(1, 0), PORTS["store"],
                                                             self.store.handle)
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
        raise CannotRun("no free loopback network")

    def settings(self, role, name, zone, host):
        return {"node-name": name, "role": role, "zone": zone, "ip": host,
                "internal-ports": [PORTS["peers"], PORTS["peers"] + 15],
                "seeds": ["%s:%d" % (self.host(2, i), PORTS["control-plane"])
                          for i in range(min(3, len(self.gateway_zones)))],
                "listen-addresses": {key: "%s:%d" % (host, PORTS[key])
                                     for key in ("frontend", "ready", "control-plane")},
                "limits": LIMITS[role], "bounds": BOUNDS,
                "platform": {"address": "%s:%d" % (self.host(1, 0), PORTS["store"])}}

    def add_node(self, role, name, zone, host, more):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            deploy = tomllib.load(file)["roles"][role]
        with open(os.path.join(ROOT, deploy["template"])) as file:
            text = render(file.read(), self.settings(role, name, zone, host))
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(dict(json.loads(text), **more), file)
        return Node(name, deploy["run"], path, os.path.join(self.folder, name + ".log"))

    def publish_routes(self, version, routes, guards_capacity=True):
        """Writes a configuration; @routes: what differs from the usual fields of each route."""
        usual = {"name": "jobs", "hostname": HOST_NAME, "prefix": "/jobs/",
                 "route-kind": "non_idempotent", "timeout-ms": 12000,
                 "target-completion-ms": 60, "priority": 0, "service": SERVICE,
                 "max-attempts": 3, "slack-factor": 1.6}
        self.store.write("op/config", json.dumps(
            {"version": version, "routes": [dict(usual, **route) for route in routes],
             "services": [{"name": SERVICE, "admission-control": guards_capacity,
                           "standby": False}]}).encode())

    async def open(self, set_up=None):
        """@set_up(executors) is called before these start."""
        await self.claim_network()
        self.publish_routes(3, [{}])
        for i, zone in enumerate(self.gateway_zones):
            link = Link(self.host(2, i), PORTS["peers"], (self.host(3, i), PORTS["peers"]))
            await link.open()
            self.links.append(link)
            self.gateways.append(self.add_node("gateway", "front-%d" % i, zone, self.host(3, i), {
                "advertised_address": "%s:%d" % (self.host(2, i), PORTS["peers"])}))
        for i, zone in enumerate(self.sidecar_zones):
            host = self.host(4, i)
            self.sidecars.append(self.add_node("sidecar", "side-%d" % i, zone, host, {}))
            self.executors.append(self.executor_class("m%d" % i, host, PORTS["app"], "%s:%d" % (
                host, PORTS["control-plane"]), zone, SERVICE, self.record))
        if set_up:
            set_up(self.executors)
        for node in self.gateways + self.sidecars:
            await node.start()
        for executor in self.executors:
            await executor.start()

    async def wait_until_ready(self, within_s=10):
        until_s = time.monotonic() + within_s
        for i in range(len(self.gateways)):
            while await self.ask(i, "ready", "GET", "/azurerock/readiness", None, 0.5) != 200:
                if time.monotonic() > until_s:
                    raise CannotRun("gateway %d isn't ready" % i)
                await asyncio.sleep(0.05)

    async def ask(self, gateway, port, method, path, body, timeout_s, headers=None):
        """Returns the status, or None without a response."""
        client = standin_http.HttpClient(self.host(3, gateway), PORTS[port])
        try:
            return (await client.call(method, path, dict(headers or {}, host=HOST_NAME), body,
                                      timeout_s))[0]
        except (OSError, TimeoutError, asyncio.TimeoutError):
            return None
        finally:
            client.close()

    async def close(self):
        for node in self.gateways + self.sidecars:
            await node.kill()
        for link in self.links:
            link.close()
        for executor in self.executors:
            if executor.is_up:
                executor.crash()
        if self.store_server:
            self.store_server.close()


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, folder):
        self.path, self.began_s, self.rows = os.path.join(folder, "record.txt"), time.monotonic(), []

    def __call__(self, what, **fields):
        self.rows.append(dict(fields, what=what, at_s=time.monotonic() - self.began_s))

    def find(self, what, **fields):
        return [row for row in self.rows if row["what"] == what
                and all(row.get(key) == value for key, value in fields.items())]

    def write(self, verdict):
        with open(self.path, "w") as file:
            for row in self.rows:
                fields = " ".join("%s=%s" % (key, value) for key, value in row.items()
                                  if key not in ("what", "at_s"))
                file.write("%8.3f %s %s\n" % (row["at_s"], row["what"], fields))
            file.write("verdict: %s\n" % verdict)


def play(folder, case):
    """Runs @case(record, is_disturbed), which returns a list of breaches, and exits."""
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    try:
        breaches = asyncio.run(asyncio.wait_for(case(record, is_disturbed), 110))
    except Exception as error:  # whatever it is, it says nothing about the rule
        record.write("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(EXIT_NOT_RUN)
    verdict = "; ".join(breaches) if breaches else "the rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(EXIT_BROKEN if breaches else EXIT_HELD)
