"""Simulated callers and operators of a history run."""
import http.client
import itertools
import json
import os
import random
import socket
import threading
import time

from history_fleet import DOMAINS, N_ENTRIES, OBJECTS
from smoke import new_id, request

CALL_TIMEOUT_S = 8
ATTEMPTS = 4
call_numbers = itertools.count(1)


class Callers:
    """Threads that submit jobs through the serving entries, as a load balancer would."""

    def __init__(self, fleet, seed, stop):
        self.fleet, self.stop = fleet, stop
        self.stopping = set()
        self.extra_threads = []
        self.threads = [threading.Thread(target=self.run, args=(random.Random(seed * 1000 + i),))
                        for i in range(20)]
        for thread in self.threads:
            thread.start()

    def join(self):
        for thread in self.threads + self.extra_threads:
            thread.join(60)

    def choose_entry(self, rng, excluded=None):
        names = ["entry-%d" % i for i in range(N_ENTRIES)]
        serving = [n for n in names if n not in self.stopping and self.fleet.is_serving(n)]
        return rng.choice([n for n in serving if n != excluded] or serving or names)

    def send_request(self, entry, method, path, body):
        """Returns outcome, status and body; the outcome is "refused" if the connection failed,
        "timeout" or "lost" if no valid answer came."""
        connection = http.client.HTTPConnection("127.0.0.1", self.fleet.http[entry],
                                                timeout=CALL_TIMEOUT_S)
        try:
            try:
                connection.connect()
            except OSError:
                return "refused", 0, {}
            connection.request(method, path, json.dumps(body) if body else None)
            response = connection.getresponse()
            answer = json.loads(response.read())
            return answer["outcome"], response.status, answer
        except socket.timeout:
            return "timeout", 0, {}
        except (OSError, http.client.HTTPException, ValueError):
            return "lost", 0, {}
        finally:
            connection.close()

    def call(self, entry, job, attempt):
        number = next(call_numbers)
        self.fleet.log.write("call", call=number, job=job["id"], entry=entry, attempt=attempt,
                             tasks=len(job["sleeps"]), purchase=len(job["sleeps"]) == 1)
        body = {"id": job["id"], "team": "staff", "service": "demo", "attempt": attempt,
                "tasks": [{"payload": json.dumps({"sleep_ms": ms, "echo": "%s/%d" % (
                    job["id"], i)})} for i, ms in enumerate(job["sleeps"])]}
        outcome, status, answer = self.send_request(entry, "POST", "/v1/jobs", body)
        self.fleet.log.write("response", call=number, job=job["id"], entry=entry,
                             outcome=outcome, status=status, id=answer.get("id"),
                             code=answer.get("error", {}).get("code"),
                             results=answer.get("results"))
        return outcome

    def cancel_later(self, rng, entry, job):
        delay = rng.uniform(0.005, 0.1)

        def cancel():
            time.sleep(delay)
            self.fleet.log.write("cancel", job=job["id"], entry=entry)
            self.send_request(entry, "DELETE", "/v1/jobs/" + job["id"], None)
        self.extra_threads.append(threading.Thread(target=cancel))
        self.extra_threads[-1].start()

    def run_job(self, rng):
        n = rng.choice((1, 1, 1, 1, rng.randint(2, 10), rng.randint(10, 100)))
        job = {"id": new_id(), "sleeps": [rng.randint(5, 200) for _ in range(n)]}
        entry = self.choose_entry(rng)
        if rng.random() < 0.05:
            self.cancel_later(rng, self.choose_entry(rng), job)
        # "attempt": 1 states that there is no other submission, so two at once both carry 2.
        first_attempt = 1
        if rng.random() < 0.1:
            first_attempt = 2
            second_thread = threading.Thread(target=self.call,
                                             args=(self.choose_entry(rng, entry), job, 2))
            self.extra_threads.append(second_thread)
            second_thread.start()
        for attempt in range(first_attempt, ATTEMPTS + 1):
            outcome = self.call(entry, job, attempt)
            entry = self.choose_entry(rng, entry)
            if outcome in ("done", "failed"):
                break
            time.sleep(0.2)
        if rng.random() < 0.2:
            self.call(entry, job, attempt + 1)

    def run(self, rng):
        while not self.stop.is_set():
            self.run_job(rng)
            time.sleep(rng.uniform(0, 0.05))


class Operators:
    """Two operators who withdraw and restore domains, each from a directory of its own, at times
    concurrently."""

    def __init__(self, fleet, seed, stop):
        self.fleet, self.stop = fleet, stop
        self.directories = []
        for name in ("first", "second"):
            directory = os.path.join(fleet.directory, name)
            os.makedirs(directory)
            self.directories.append(directory)
            self.write(directory, OBJECTS)
        self.thread = threading.Thread(target=self.run, args=(random.Random(seed + 77),))

    @staticmethod
    def write(directory, objects):
        with open(os.path.join(directory, "objects.json"), "w", encoding="utf-8") as file:
            json.dump(objects, file)

    def publish(self, operator, withdrawn, quota):
        objects = json.loads(json.dumps(OBJECTS))
        for item in objects:
            if item["kind"] == "domain":
                item["in_service"] = item["name"] not in withdrawn
            if item["kind"] == "team":
                item["quota_slots"] = quota
        directory = self.directories[operator]
        self.write(directory, objects)
        result = self.fleet.run_ctl(os.path.basename(directory), "publish", directory)
        self.fleet.log.write("operation", operator=operator, withdrawn=sorted(withdrawn),
                             code=result.returncode)
        return result.returncode

    def run(self, rng):
        while not self.stop.wait(rng.uniform(0.5, 3)):
            threads = []
            for operator in rng.sample((0, 1), rng.choice((1, 1, 2))):
                withdrawn = set(rng.sample(DOMAINS, rng.choice((0, 1, 1, 2))))
                threads.append(threading.Thread(
                    target=self.publish, args=(operator, withdrawn, rng.randint(30, 40))))
                threads[-1].start()
            for thread in threads:
                thread.join()
