"""Starts a fleet on loopback: stand-in store, entries, agents and stand-in upstreams."""
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import time

DOMAINS = "abc"

# A new owner answers "outcome unknown" to ids from before 4 s after its table was confirmed.
HANDOVER_S = 4.5


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def address(port):
    return "127.0.0.1:%d" % port


def request(port, method, path, body=None, timeout=10):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def objects(in_service):
    domains = [{"kind": "domain", "name": d, "region": "local", "in_service": d in in_service}
               for d in DOMAINS]
    return domains + [
        {"kind": "upstream", "name": "workers", "domains": list(DOMAINS), "slots": 8,
         "connections": 64, "in_service": True},
        {"kind": "service", "name": "sleep", "upstreams": ["workers"], "policy": "bench"},
        {"kind": "policy", "name": "bench", "deadline_default_ms": 60000, "deadline_max_ms": 120000,
         "max_tasks_per_job": 4096, "max_queued_tasks": 100000, "task_timeout_ms": 30000},
        # More than the slots of the fleet, so that the quota limits nothing.
        {"kind": "team", "name": "load", "quota_slots": 1000, "weight": 1, "services": ["sleep"],
         "max_queued_tasks": 100000},
    ]


class Fleet:
    """A fleet in 3 domains, by default of the size of examples/theatre: 3 entries, 11 agents of 8
    slots."""

    def __init__(self, build, directory, n_entries=3, n_agents=11, slots=8):
        self.build, self.directory, self.slots = build, directory, slots
        self.n_entries, self.n_agents = n_entries, n_agents
        self.store = free_port()
        self.entry_http = [free_port() for _ in range(n_entries)]
        self.entry_rpc = [free_port() for _ in range(n_entries)]
        self.upstreams = [free_port() for _ in range(n_agents)]
        self.agent_http = [free_port() for _ in range(n_agents)]
        self.processes = {}

    def path(self, name):
        return os.path.join(self.directory, name)

    def spawn(self, name, program, arguments):
        with open(self.path(name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.build, program)] + arguments, stdout=log, stderr=log)

    def start(self, name, program, settings, events=False):
        with open(self.path(name + ".json"), "w") as f:
            json.dump(settings, f)
        arguments = ["--config", self.path(name + ".json"), "--log-level", "warning"]
        if events:
            arguments += ["--event-log", self.path(name + ".events")]
        self.spawn(name, program, arguments)

    def agents_of(self, domain):
        return [i for i in range(self.n_agents) if DOMAINS[i % len(DOMAINS)] == domain]

    def start_all(self, events=True):
        self.start("store", "azurerock-standin-store", {"listen": address(self.store)})
        self.wait("store", lambda: request(self.store, "GET", "/v1/kv/x")[0] == 404)
        for i in range(self.n_entries):
            self.start("entry%d" % i, "azurerock-entry",
                       {"instance": "entry-%d" % i, "domain": DOMAINS[i % len(DOMAINS)],
                        "rpc_address": address(self.entry_rpc[i]),
                        "http_address": address(self.entry_http[i]),
                        "store": address(self.store)})
        for i in range(self.n_agents):
            self.start("upstream%d" % i, "azurerock-standin-upstream",
                       {"listen": address(self.upstreams[i]), "slots": self.slots,
                        "tracked_tasks": 0})
            self.start("agent%d" % i, "azurerock-agent",
                       {"instance": "worker-%d" % i, "upstream": "workers",
                        "domain": DOMAINS[i % len(DOMAINS)], "slots": self.slots,
                        "upstream_address": address(self.upstreams[i]),
                        "http_address": address(self.agent_http[i]),
                        "store": address(self.store)}, events)

    def wait(self, what, condition, timeout=15):
        end = time.monotonic() + timeout
        while True:
            try:
                if condition():
                    return
            except (OSError, ValueError, KeyError, http.client.HTTPException):
                pass
            if time.monotonic() > end:
                raise RuntimeError("%s: condition not met within %d s" % (what, timeout))
            time.sleep(0.02)

    def publish(self, in_service=DOMAINS):
        """Publishes and returns the time of acceptance (CLOCK_BOOTTIME) in microseconds."""
        directory = self.path("objects")
        os.makedirs(directory, exist_ok=True)
        with open(os.path.join(directory, "objects.json"), "w") as f:
            json.dump(objects(in_service), f)
        result = subprocess.run(
            [os.path.join(self.build, "azurerock-ctl"), "--store", address(self.store),
             "--message", "benchmark", "publish", directory],
            capture_output=True, text=True, timeout=30)
        if result.returncode != 0:
            raise RuntimeError("publish: %s%s" % (result.stdout, result.stderr))
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000

    def is_ready(self):
        for port in self.entry_http:
            if request(port, "GET", "/healthz")[0] != 200:
                return False
            agents = json.loads(request(port, "GET", "/v1/status")[1])["agents"]
            if sum(a["connected"] and a["in_service"] for a in agents) < self.n_agents:
                return False
        return True

    def owned_partitions(self):
        """Returns the number of partitions of each entry, or None while entries hold different
        versions of the owner table or have not confirmed it."""
        states = [json.loads(request(port, "GET", "/v1/status")[1]) for port in self.entry_http]
        versions = {(s["table_version"], s["confirmed_table_version"]) for s in states}
        if len(versions) != 1 or len(set(versions.pop())) != 1:
            return None
        return [member["partitions"] for member in states[0]["roster"]]

    def wait_for_owners(self):
        """Waits until all entries own partitions; until then the first one runs every job."""
        self.wait("all entries ready and all agents connected", self.is_ready)
        try:
            self.wait("all entries own partitions",
                      lambda: len([n for n in self.owned_partitions() or [] if n])
                      == self.n_entries)
        except RuntimeError as error:
            states = [request(port, "GET", "/v1/status")[1].decode() for port in self.entry_http]
            raise RuntimeError("%s\n%s" % (error, "\n".join(states))) from error
        time.sleep(HANDOVER_S)

    def load_command(self, output, options):
        command = [os.path.join(self.build, "azurerock-load"), "--output", output,
                   "--slots", str(self.slots * self.n_agents), "--log-level", "warning"]
        for port in self.entry_http:
            command += ["--entry", address(port)]
        for port in self.entry_http + self.agent_http:
            command += ["--metrics", address(port)]
        return command + options

    def load(self, *options):
        """Runs azurerock-load to its end and returns its report."""
        return self.finish_load(self.begin_load(*options))

    def begin_load(self, *options):
        output = self.path("load-%08x.json" % random.getrandbits(32))
        return output, subprocess.Popen(self.load_command(output, list(options)),
                                        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def finish_load(self, load_run, timeout=600):
        output, process = load_run
        text = process.communicate(timeout=timeout)[0]
        if not os.path.exists(output):
            raise RuntimeError("azurerock-load: " + text)
        with open(output) as f:
            report = json.load(f)
        report["exit_code"] = process.returncode
        return report

    def set_faults(self, upstream, faults):
        status, body = request(self.upstreams[upstream], "PUT", "/standin/faults",
                               json.dumps(faults))
        if status != 200:
            raise RuntimeError("faults: %s" % body)

    def cpu_seconds(self, prefix):
        """Returns the processor time of all processes whose name starts with @prefix."""
        ticks = 0
        for name, process in self.processes.items():
            if name.startswith(prefix):
                with open("/proc/%d/stat" % process.pid) as f:
                    fields = f.read().rsplit(")", 1)[1].split()
                ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_mb(self, prefix):
        """Returns the largest resident memory of the processes whose name starts with @prefix."""
        largest = 0
        for name, process in self.processes.items():
            if name.startswith(prefix):
                with open("/proc/%d/status" % process.pid) as f:
                    kb = [int(line.split()[1]) for line in f if line.startswith("VmRSS")]
                largest = max(largest, kb[0] / 1024)
        return largest

    def events(self):
        """Returns the events of all agents by time, each with the index of its agent."""
        events = []
        for i in range(self.n_agents):
            path = self.path("agent%d.events" % i)
            if os.path.exists(path):
                with open(path) as f:
                    for line in f:
                        event = json.loads(line)
                        event["agent"] = i
                        events.append(event)
        return sorted(events, key=lambda event: event["mono_us"])

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 3
        for process in self.processes.values():
            try:
                process.wait(max(end - time.monotonic(), 0.01))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes = {}
