#!/usr/bin/env python3
"""Runs store, 2 entries, 3 agents and 3 upstreams as processes on loopback and checks them end to
end: publication, jobs of 1 and 100 tasks, resubmission through the other entry, graceful stop.

Usage: smoke.py [--build DIR]
"""
import argparse
import base64
import concurrent.futures
import http.client
import json
import os
import random
import signal
import string
import subprocess
import sys
import tempfile
import time

from process_testing import free_port

OBJECTS = [
    {"kind": "domain", "name": "a", "region": "local", "in_service": True},
    {"kind": "domain", "name": "b", "region": "local", "in_service": True},
    {"kind": "upstream", "name": "workers", "domains": ["a", "b"], "slots": 8,
     "connections": 64, "in_service": True},
    {"kind": "service", "name": "demo", "upstreams": ["workers"], "policy": "short"},
    {"kind": "policy", "name": "short", "deadline_default_ms": 10000},
    {"kind": "team", "name": "staff", "quota_slots": 24, "weight": 1, "services": ["demo"],
     "max_queued_tasks": 5000},
]


def request(port, method, path, body=None, timeout=20):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        text = body if body is None or isinstance(body, str) else json.dumps(body)
        connection.request(method, path, text)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data[:1] in b"{[" and data else data
    finally:
        connection.close()


def new_id():
    token = "".join(random.choices(string.ascii_letters + string.digits, k=12))
    return "%013d-%s" % (time.time() * 1000, token)


class Fleet:
    def __init__(self, build, directory, n_entries=2, n_agents=3, slots=8,
                 log_level="debug", events=True):
        self.build, self.directory = build, directory
        self.processes = {}
        self.store = free_port()
        self.entries = [(free_port(), free_port()) for _ in range(n_entries)]
        self.upstreams = [free_port() for _ in range(n_agents)]
        self.agent_http = [free_port() for _ in range(n_agents)]
        self.slots, self.log_level, self.has_events = slots, log_level, events

    def start(self, name, program, settings, extra=()):
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w") as f:
            json.dump(settings, f)
        log = open(os.path.join(self.directory, name + ".log"), "ab")
        command = [os.path.join(self.build, program), "--config", path,
                   "--log-level", self.log_level]
        self.processes[name] = subprocess.Popen(command + list(extra), stdout=log, stderr=log)
        log.close()

    def events(self, name):
        if not self.has_events:
            return []
        return ["--event-log", os.path.join(self.directory, name + ".events")]

    def start_store(self):
        self.start("store", "azurerock-standin-store", {"listen": "127.0.0.1:%d" % self.store})

    def start_entry(self, i):
        rpc, port = self.entries[i]
        self.start("entry%d" % i, "azurerock-entry",
                   {"instance": "entry-%d" % i, "domain": "ab"[i % 2],
                    "rpc_address": "127.0.0.1:%d" % rpc, "http_address": "127.0.0.1:%d" % port,
                    "store": "127.0.0.1:%d" % self.store}, self.events("entry%d" % i))

    def start_upstream(self, i):
        self.start("upstream%d" % i, "azurerock-standin-upstream",
                   {"listen": "127.0.0.1:%d" % self.upstreams[i], "slots": self.slots})

    def start_agent(self, i):
        self.start("agent%d" % i, "azurerock-agent",
                   {"instance": "worker-%d" % i, "upstream": "workers", "domain": "ab"[i % 2],
                    "slots": self.slots, "upstream_address": "127.0.0.1:%d" % self.upstreams[i],
                    "http_address": "127.0.0.1:%d" % self.agent_http[i],
                    "store": "127.0.0.1:%d" % self.store}, self.events("agent%d" % i))

    def start_all(self):
        self.start_store()
        wait_for("store", lambda: request(self.store, "GET", "/v1/kv/x")[0] == 404)
        for i in range(len(self.entries)):
            self.start_entry(i)
        for i in range(len(self.upstreams)):
            self.start_upstream(i)
            self.start_agent(i)

    def publish(self, objects=OBJECTS):
        directory = os.path.join(self.directory, "objects")
        os.makedirs(directory, exist_ok=True)
        with open(os.path.join(directory, "objects.json"), "w") as f:
            json.dump(objects, f)
        return subprocess.run(
            [os.path.join(self.build, "azurerock-ctl"), "--store", "127.0.0.1:%d" % self.store,
             "--message", "smoke test", "publish", directory],
            capture_output=True, text=True, timeout=30)

    def is_ready(self):
        for _, port in self.entries:
            if request(port, "GET", "/healthz")[0] != 200:
                return False
            agents = request(port, "GET", "/v1/status")[1]["agents"]
            if sum(a["connected"] and a["in_service"] for a in agents) < len(self.upstreams):
                return False
            if sum(a["grants"] for a in agents) == 0:
                return False
        return True

    def is_owner_table_in_force(self):
        data = request(self.store, "GET", "/v1/kv/azurerock/owners")[1][0]["Value"]
        table = json.loads(base64.b64decode(data))
        return all(int(p["from_ms"]) < time.time() * 1000 for p in table["partitions"])

    def submit(self, entry, n_tasks, job_id=None, sleep_ms=1, **fields):
        job_id = job_id or new_id()
        body = {"id": job_id, "team": "staff", "service": "demo", "attempt": 1,
                "tasks": [{"payload": json.dumps({"sleep_ms": sleep_ms,
                                                  "echo": "%s/%d" % (job_id, i)})}
                          for i in range(n_tasks)]}
        body.update(fields)
        return request(self.entries[entry][1], "POST", "/v1/jobs", body)

    def starts(self):
        counts = {}
        for port in self.upstreams:
            for task, n in request(port, "GET", "/standin/stats")[1]["tasks"].items():
                counts[task] = counts.get(task, 0) + n
        return counts

    def stop(self, name, timeout=20):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout)

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


def wait_for(what, condition, timeout=15):
    end = time.time() + timeout
    while True:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        if time.time() > end:
            raise AssertionError("%s: condition not met within %d s" % (what, timeout))
        time.sleep(0.05)


def check(what, condition, details=None):
    if not condition:
        raise AssertionError("%s: %s" % (what, details))
    print("ok: " + what, flush=True)


def check_answer(fleet, entry, tasks, job_id):
    status, body = fleet.submit(entry, tasks, job_id)
    expected = ["%s/%d" % (job_id, i) for i in range(tasks)]
    check("job of %d tasks through entry %d" % (tasks, entry),
          status == 200 and body["outcome"] == "done" and body["results"] == expected,
          (status, str(body)[:300]))


# Guards against faults that show only when the programs run together as processes.
def check_jobs(fleet):
    ids = []
    for entry in range(len(fleet.entries)):
        for tasks in (1, 1, 1, 1, 100):
            ids.append(new_id())
            check_answer(fleet, entry, tasks, ids[-1])
    # Guards against a second run of a job that is resubmitted through another entry.
    for entry in range(len(fleet.entries)):
        check_answer(fleet, entry, 100, ids[4])
    counts = fleet.starts()
    check("every task started once", sorted(counts) and set(counts.values()) == {1}, counts)


# Guards against a second run of a job that is submitted through both entries concurrently.
def check_simultaneous(fleet):
    for _ in range(5):
        job_id = new_id()
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            answers = list(pool.map(lambda i: fleet.submit(i % len(fleet.entries), 20, job_id, 20),
                                    range(4)))
        check("same answer to all callers of one job",
              all(a[0] == 200 and a[1] == answers[0][1] for a in answers), str(answers)[:400])
    check("no task started twice", set(fleet.starts().values()) == {1})


# Guards against refusals that take 0.5 s or longer or lack the status and code of their cause.
def check_refusals(fleet):
    cases = [({"service": "none"}, 404, "unknown_service"), ({"team": "none"}, 404, "unknown_team"),
             ({"tasks": []}, 400, "invalid_request"), ({"colour": 1}, 400, "invalid_request"),
             ({"id": "bad"}, 400, "invalid_request"),
             ({"tasks": [{"payload": "x" * 70000}]}, 413, "payload_too_large")]
    for fields, status, code in cases:
        start = time.time()
        answer = fleet.submit(0, 1, **fields)
        seconds = time.time() - start
        check("refusal %s" % code, answer[0] == status and answer[1]["outcome"] == "not_run"
              and answer[1]["error"]["code"] == code and seconds < 0.5, answer)


# Guards against jobs that fail because one entry or one agent stops while they run.
def check_graceful_stop(fleet):
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        jobs = [pool.submit(fleet.submit, 0, 5, None, 50) for _ in range(20)]
        time.sleep(0.05)
        check("agent stops with exit code 0", fleet.stop("agent0") == 0)
        answers = [job.result() for job in jobs]
    check("jobs are answered while an agent stops", all(a[0] == 200 for a in answers),
          [a for a in answers if a[0] != 200][:3])
    check("entry stops with exit code 0", fleet.stop("entry1") == 0)
    answers = [fleet.submit(0, 3) for _ in range(30)]
    check("the other entry serves all new ids", all(a[0] == 200 for a in answers),
          [a for a in answers if a[0] != 200][:3])
    check("last entry stops with exit code 0", fleet.stop("entry0") == 0)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(options.build, directory)
        try:
            fleet.start_all()
            result = fleet.publish()
            check("publish", result.returncode == 0, result)
            wait_for("all entries ready and all agents connected", fleet.is_ready)
            check_jobs(fleet)
            check_simultaneous(fleet)
            check_refusals(fleet)
            # If an entry stops before its first ownership interval has begun, its partitions can
            # have no owner for up to 2 s.
            wait_for("all ownership intervals begun", fleet.is_owner_table_in_force)
            check_graceful_stop(fleet)
            for name in list(fleet.processes):
                check("%s stops with exit code 0" % name, fleet.stop(name) == 0)
        except AssertionError as error:
            print("FAILED: %s" % error)
            for name in sorted(os.listdir(directory)):
                if name.endswith(".log"):
                    with open(os.path.join(directory, name)) as f:
                        print("--- %s\n%s" % (name, "".join(f.readlines()[-15:])))
            return 1
        finally:
            fleet.kill_all()
    print("smoke test passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
