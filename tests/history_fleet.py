"""Processes of a history run and the event log of its driver."""
import json
import os
import subprocess
import threading
import time

from history_relay import Network
from smoke import free_port, request

DOMAINS = "abc"
N_ENTRIES, N_AGENTS, SLOTS = 3, 5, 8
OBJECTS = [{"kind": "domain", "name": name, "region": "local", "in_service": True}
           for name in DOMAINS] + [
    {"kind": "upstream", "name": "workers", "domains": list(DOMAINS), "slots": SLOTS,
     "connections": 64, "in_service": True},
    {"kind": "service", "name": "demo", "upstreams": ["workers"], "policy": "short"},
    {"kind": "policy", "name": "short", "deadline_default_ms": 5000},
    {"kind": "team", "name": "staff", "quota_slots": 40, "weight": 1, "services": ["demo"],
     "max_queued_tasks": 5000}]


def boot_us():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class EventLog:
    def __init__(self, path):
        self.file = open(path, "a", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, event, **fields):
        with self.lock:
            self.file.write(json.dumps(dict(fields, event=event, mono_us=boot_us())) + "\n")
            self.file.flush()


class Fleet:
    def __init__(self, build, directory):
        self.build, self.directory = build, directory
        self.log = EventLog(os.path.join(directory, "driver.events"))
        self.network = Network()
        self.processes = {}
        self.lock = threading.RLock()
        self.ready_pids = set()
        self.store_port = free_port()
        self.http = {}
        self.rpc_relay, self.store_relay = {}, {}
        for i in range(N_ENTRIES):
            name = "entry-%d" % i
            self.store_relay[name] = self.network.add(name, self.store_port)
        self.upstreams = ["127.0.0.1:%d" % free_port() for _ in range(N_AGENTS)]

    def start(self, name, program, settings, role):
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        command = [os.path.join(self.build, program), "--config", path]
        if role in ("entry", "agent"):
            command += ["--event-log", os.path.join(self.directory, name + ".events")]
        with self.lock, open(os.path.join(self.directory, name + ".log"), "ab") as log:
            self.log.write("spawn", instance=name, role=role)
            process = subprocess.Popen(command, stdout=log, stderr=log)
            self.processes[name] = process
        threading.Thread(target=self.log_exit, args=(name, process), daemon=True).start()

    def log_exit(self, name, process):
        code = process.wait()
        self.log.write("exit", instance=name, code=code)

    def start_store(self):
        self.start("store", "azurerock-standin-store", {"listen": "127.0.0.1:%d" % self.store_port},
                   "store")

    def start_entry(self, i, same_ports=False):
        """Starts an entry; with new ports it has a new relay, and the old one fails to connect."""
        name = "entry-%d" % i
        if not same_ports or name not in self.http:
            port = free_port()
            self.rpc_relay[name] = (self.network.add(name, port), port)
            self.http[name] = free_port()
        advertised, port = self.rpc_relay[name]
        self.start(name, "azurerock-entry", {
            "instance": name, "domain": DOMAINS[i % 3],
            "rpc_address": "127.0.0.1:%d" % advertised,
            "rpc_listen_address": "127.0.0.1:%d" % port,
            "http_address": "127.0.0.1:%d" % self.http[name],
            "store": "127.0.0.1:%d" % self.store_relay[name]}, "entry")

    def start_agent(self, i):
        self.start("worker-%d" % i, "azurerock-agent", {
            "instance": "worker-%d" % i, "upstream": "workers", "domain": DOMAINS[i % 3],
            "slots": SLOTS, "upstream_address": self.upstreams[i],
            "store": "127.0.0.1:%d" % self.store_port}, "agent")

    def start_instance(self, name, same_ports):
        number = int(name.split("-")[1])
        if name.startswith("entry"):
            self.start_entry(number, same_ports)
        else:
            self.start_agent(number)

    def start_all(self):
        self.start_store()
        time.sleep(0.2)
        for i in range(N_ENTRIES):
            self.start_entry(i)
        for i in range(N_AGENTS):
            self.start("upstream-%d" % i, "azurerock-standin-upstream",
                       {"listen": self.upstreams[i], "slots": SLOTS}, "upstream")
            self.start_agent(i)

    def signal(self, name, number):
        """Sends a signal to the process if it has not exited."""
        with self.lock:
            process = self.processes.get(name)
            if process and process.poll() is None:
                process.send_signal(number)
                return True
        return False

    def is_serving(self, name):
        """Whether a load balancer would use the entry: it runs and has passed a health check."""
        with self.lock:
            process = self.processes.get(name)
        if not process or process.poll() is not None:
            return False
        if process.pid not in self.ready_pids:
            try:
                if request(self.http[name], "GET", "/healthz", timeout=1)[0] != 200:
                    return False
            except OSError:
                return False
            self.ready_pids.add(process.pid)
        return True

    def wait(self, name, timeout):
        try:
            return self.processes[name].wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def set_store_faults(self, **faults):
        request(self.store_port, "PUT", "/standin/faults", faults)

    def is_ready(self):
        for port in self.http.values():
            status = request(port, "GET", "/v1/status")[1]
            agents = sum(a["connected"] and a["in_service"] for a in status["agents"])
            if request(port, "GET", "/healthz")[0] != 200 or agents < N_AGENTS:
                return False
        return True

    def run_ctl(self, operator, *arguments):
        return subprocess.run(
            [os.path.join(self.build, "azurerock-ctl"), "--store", "127.0.0.1:%d" % self.store_port,
             "--event-log", os.path.join(self.directory, operator + "-ctl.events"), *arguments],
            capture_output=True, text=True, timeout=40, check=False)

    def log_start_counts(self):
        """Logs the upstreams' own counts of starts; the agents must have exited."""
        for address in self.upstreams:
            port = int(address.split(":")[1])
            self.log.write("counts", upstream=address,
                           tasks=request(port, "GET", "/standin/stats")[1]["tasks"])

    def log_publications(self):
        import base64
        rows = request(self.store_port, "GET", "/v1/kv/azurerock/history/?recurse")[1]
        records = [json.loads(base64.b64decode(row["Value"])) for row in rows]
        self.log.write("history",
                       publications=[[r["revision"], r["publish_id"]] for r in records])

    def kill_all(self):
        with self.lock:
            for process in self.processes.values():
                if process.poll() is None:
                    process.kill()
