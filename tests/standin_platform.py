"""Stand-ins for the platform's metadata store and executors, with faults that tests set."""
import asyncio
import base64
import contextlib
import json
import random
import time
import urllib.parse

import standin_http

LEASE_CHECK_S = 0.02
HEARTBEAT_S = 1.5
LATE_ORDER_S = (0.3, 12)
CAPACITY_CPU = 16000


class Store:
    """The metadata store. @mode: "ok", "busy" (503), "silent" (no response), "reset" or "slow";
    @lost_share: share of the writes that are applied and not answered; @last_disturbed_s: time of
    the last fault, infinite while one lasts."""

    def __init__(self):
        self.items, self.history, self.revision, self.compacted_revision = {}, [], 1, 1
        self.changed = asyncio.Event()
        self.mode, self.lost_share, self.calls, self.next_lease = "ok", 0.0, 0, 100
        self.last_disturbed_s = 0.0
        self.random = random.Random(1)

    def write(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            event = {"key": key, "value": base64.b64encode(value).decode(),
                     "revision": self.revision, "created": self.revision, "lease-id": 0}
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.history, self.compacted_revision = [], self.revision

    async def handle(self, method, target, _headers, body):
        self.calls += 1
        if self.mode == "busy":
            return 503, None
        if self.mode == "silent":
            raise standin_http.NoAnswer
        if self.mode == "reset":
            raise standin_http.ResetConnection
        if self.mode == "slow":
            await asyncio.sleep(0.24)
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        name = url.path.split("/")[2]
        answer = await getattr(self, "call_" + name.replace("-", "_"))(query, body)
        if method == "POST" and self.random.random() < self.lost_share:
            raise standin_http.NoAnswer
        return answer

    async def call_kv_key(self, query, _body):
        item = self.items.get(query["key"])
        return (200, dict(item, at=self.revision)) if item else (404, None)

    async def call_kv_range(self, query, _body):
        rows = [self.items[k] for k in sorted(self.items)
                if k.startswith(query["prefix"]) and k > query.get("after", "")]
        return 200, {"items": rows[:500], "has-more": len(rows) > 500, "at": self.revision}

    async def call_kv_watch(self, query, _body):
        after, until = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.compacted_revision:
                return 410, None
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except (TimeoutError, asyncio.TimeoutError):
                pass

    async def call_kv_lease(self, _query, body):
        self.next_lease += 1
        return 200, {"lease-id": self.next_lease, "ttl-ms": json.loads(body)["ttl-ms"]}

    async def call_kv_keep(self, _query, _body):
        return 200, {"ttl-ms": 15000}

    async def call_kv_txn(self, _query, body):
        for row in json.loads(body)["write"]:
            self.write(row["key"], base64.b64decode(row["value"]))
        return 200, {"revision": self.revision}


class StoreAccess:
    """Access of one or more processes to a store; @mode: "ok", or how the store treats just these:
    "busy" (503), "silent" (no response) or "reset". A change applies to calls in progress too.
    @changed_s: time of the last change; @writers, @muted: see standin_http.serve()."""

    def __init__(self, store):
        self.store, self.mode, self.changed_s = store, "ok", 0.0
        self.writers, self.muted = set(), set()

    async def serve(self, host, port):
        return await standin_http.serve(host, port, self.handle, self.writers, self.muted)

    def is_ok_since(self, time_s):
        return self.mode == "ok" and self.changed_s <= time_s

    def mute_open(self):
        """The connections that are open get no more responses and stay open; new ones work."""
        self.muted |= self.writers
        self.changed_s = time.monotonic()

    def set_mode(self, mode):
        self.mode, self.changed_s = mode, time.monotonic()

    async def handle(self, method, target, headers, body):
        answer = await self.store.handle(method, target, headers, body)
        if self.mode == "silent":
            raise standin_http.NoAnswer
        if self.mode == "reset":
            raise standin_http.ResetConnection
        return (503, None) if self.mode == "busy" else answer


class Executor:
    """An executor. @is_unresponsive: runs and answers no orders and sends no heartbeats;
    @drops_answers: runs orders and answers none; @unanswered_share: share of the calls that are
    neither run nor answered; @failing_share: share of the tasks that fail; @delayed_share: share of
    the orders that are not answered and run seconds later, even by a later incarnation if it has
    the same id; @speed: of the tasks, 0 for no progress; @stop_delay_s: time after which stops are
    carried out, for which @acknowledges_stops says whether they are answered at once or not at all;
    @guards_capacity: refuses starts over the capacity. If the specification of a job has
    "crash-ms", the first task of each step crashes the executor after that time."""

    def __init__(self, name, host, port, registry, zone, history, seed):
        self.machine, self.host, self.port = name, host, port
        self.registry, self.zone, self.history = registry, zone, history
        self.random = random.Random(seed)
        self.is_unresponsive, self.unanswered_share, self.failing_share, self.speed = \
            False, 0.0, 0.0, 1.0
        self.drops_answers, self.delayed_share = False, 0.0
        self.stop_delay_s, self.acknowledges_stops = 0.0, True
        self.stop_requested = asyncio.Event()
        self.capacity, self.capacity_shrunk_s, self.guards_capacity = CAPACITY_CPU, 0.0, True
        self.sidecar, self.last_disturbed_s = None, 0.0
        self.is_up, self.is_draining, self.draining_acknowledged_s = False, False, None
        self.incarnation, self.labels = 0, ["a", "r1"]
        self.task_ended, self.task_started = asyncio.Event(), asyncio.Event()
        self.is_open, self.server, self.writers = False, None, set()
        self.listening = asyncio.Lock()

    def start(self, fence=0, keeps_id=False, heartbeat_delay_s=0.0):
        """Starts an incarnation, after a crash if one is up, and sends its first heartbeat."""
        if self.is_up:
            self.crash()
        self.incarnation += 1
        self.last_disturbed_s = time.monotonic() + heartbeat_delay_s
        self.first_heartbeat_s = self.last_disturbed_s
        if not keeps_id:
            self.id = "i-%s-%d" % (self.machine, self.incarnation)
        self.born = int(time.time() * 1000)
        self.start_time_s = time.monotonic()
        self.sequence, self.fence, self.lease_end = 0, fence, 0
        self.tasks, self.ended_tasks, self.n_ended, self.stopped_attempts = {}, [], 0, {}
        self.is_up, self.is_draining, self.draining_acknowledged_s = True, False, None
        asyncio.ensure_future(self.begin_heartbeats())

    async def begin_heartbeats(self):
        if self.is_open:
            await self.listen()
        await self.try_heartbeat()

    def crash(self, closes_port=False):
        """Ends the incarnation; with @closes_port, connections are reset and new ones refused, as
        at the end of a process, otherwise reset at the next request."""
        self.is_up = False
        for name in list(self.tasks):
            self.history.record_end(self.machine, name, self.tasks[name]["attempt"], "crash")
        self.tasks = {}
        self.wake_holds()
        if closes_port and self.server:
            self.server.close()
            self.server = None
            for writer in list(self.writers):
                writer.transport.abort()

    def clock(self):
        return int((time.monotonic() - self.start_time_s) * 1000)

    async def listen(self):
        async with self.listening:
            if self.is_up and not self.server:
                self.server = await standin_http.serve(self.host, self.port, self.handle,
                                                       self.writers)

    async def open(self):
        self.is_open = True
        await self.listen()
        asyncio.ensure_future(self.run_tasks())
        asyncio.ensure_future(self.send_heartbeats())

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.try_heartbeat()

    async def try_heartbeat(self):
        if self.is_up and not self.is_unresponsive \
                and time.monotonic() >= self.first_heartbeat_s:
            try:
                await self.send_heartbeat()
            except (OSError, TimeoutError):
                pass

    def describe(self):
        self.sequence += 1
        return {"service": "service", "address": "%s:%d" % (self.host, self.port),
                "zone": self.zone, "version": "v1", "slots": 8, "sequence": self.sequence,
                "state": "draining" if self.is_draining else "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.capacity, "mem-mb": 32768, "gpu": 0},
                "labels": self.labels, "clock-ms": self.clock(), "born": self.born}

    async def tell(self, what, executor_id, body):
        """Sends a call about @executor_id to the sidecar and returns the status."""
        host, port = self.registry.split(":")
        client = standin_http.HttpClient(host, int(port))
        try:
            return (await client.call("POST", "/azurerock/Executors.%s/%s" % (what, executor_id),
                                      {}, body, 1.0))[0]
        finally:
            client.close()

    async def send_heartbeat(self):
        was_draining, incarnation_before = self.is_draining, self.incarnation
        status = await self.tell("Heartbeat", self.id, self.describe())
        # The executor may have restarted before the answer arrived.
        if status == 200 and was_draining and incarnation_before == self.incarnation \
                and self.draining_acknowledged_s is None:
            self.draining_acknowledged_s = time.monotonic()

    def set_capacity(self, cpu):
        if cpu < self.capacity:
            self.capacity_shrunk_s = time.monotonic()
        self.capacity = cpu

    def used_cpu(self):
        """Of the tasks that were ordered in time; the sidecar may not know of the other ones."""
        return sum(task["cpu"] for task in self.tasks.values() if not task["is_late"])

    def crash_soon(self, name, delay_s):
        """Without a delay, the start is not answered."""
        if delay_s == 0:
            self.crash_because_of(name, self.incarnation)
        else:
            asyncio.get_running_loop().call_later(delay_s, self.crash_because_of, name,
                                                  self.incarnation)

    def crash_because_of(self, name, incarnation):
        if self.incarnation != incarnation or name not in self.tasks:
            return
        self.history.record_deadly_crash(name)
        self.crash(closes_port=True)
        asyncio.ensure_future(self.restart_later(incarnation))

    async def restart_later(self, incarnation):
        await asyncio.sleep(self.random.uniform(0.5, 3))
        if self.incarnation == incarnation:
            self.start(keeps_id=self.random.random() < 0.5,
                       heartbeat_delay_s=self.random.choice([0, 0, 2]))

    def end(self, name, how):
        task = self.tasks.pop(name)
        self.n_ended += 1
        self.ended_tasks.append([self.n_ended, name, task["attempt"], how, ""])
        self.stopped_attempts[name] = max(self.stopped_attempts.get(name, 0), task["attempt"])
        self.history.record_end(self.machine, name, task["attempt"], how)
        self.wake_holds()

    def wake_holds(self):
        self.task_ended.set()
        self.task_ended = asyncio.Event()

    def expire_tasks(self):
        if self.tasks and self.clock() > self.lease_end:
            for name in list(self.tasks):
                self.end(name, "lapsed")

    async def run_tasks(self):
        last = time.monotonic()
        while True:
            if not self.tasks:
                self.task_started.clear()
                await self.task_started.wait()
                last = time.monotonic()
            await asyncio.sleep(0.005)
            now = time.monotonic()
            self.expire_tasks()
            for name, task in list(self.tasks.items()):
                task["done"] += (now - last) * 1000 * self.speed
                if task["done"] >= task["work"]:
                    self.end(name, "failed" if task["fails"] else "done")
            last = now

    async def handle(self, method, target, headers, body):
        if not self.is_up:
            raise standin_http.ResetConnection
        if self.is_unresponsive or self.random.random() < self.unanswered_share:
            raise standin_http.NoAnswer
        expected_id = headers.get("x-expected-instance", self.id)
        if expected_id != self.id:
            if target.endswith("/run-start"):
                self.history.record_start_elsewhere(self.machine, expected_id)
            return 421, None
        call = json.loads(body)
        name = target.rsplit("/", 1)[1].replace("-", "_")
        if name != "hold" and self.random.random() < self.delayed_share:
            asyncio.ensure_future(self.run_order_late(name, call, self.id))
            raise standin_http.NoAnswer
        incarnation_before = self.incarnation
        answer = await self.run_order(name, call)
        if not self.is_up or self.incarnation != incarnation_before:
            raise standin_http.ResetConnection
        if self.drops_answers:
            raise standin_http.NoAnswer
        return answer

    async def run_order(self, name, call):
        if call.get("fencing-token", 0) < self.fence:
            return self.reject("fence")
        self.fence = call.get("fencing-token", 0)
        return await getattr(self, name)(call)

    async def run_order_late(self, name, call, expected_id):
        await asyncio.sleep(self.random.uniform(*LATE_ORDER_S))
        if self.is_up and self.id == expected_id:
            with contextlib.suppress(standin_http.NoAnswer):
                await self.run_order(name, dict(call, is_late=True))

    def reject(self, reason):
        return 409, {"clock-ms": self.clock(), "born": self.born, "reason": reason}

    def renew_lease(self, call):
        limit = self.clock() + 1000
        self.lease_end = max(self.lease_end, min(call.get("deadline-ms", 0), limit))

    async def run_start(self, call):
        name, attempt = call["task"], call["attempt"]
        if call["deadline-ms"] <= self.clock():
            return self.reject("late")
        self.renew_lease(call)
        task = self.tasks.get(name)
        if task and task["attempt"] == attempt:
            return 200, {"clock-ms": self.clock(), "born": self.born}
        if attempt <= self.stopped_attempts.get(name, 0) or task:
            return self.reject("old")
        work = json.loads(call["specification"])
        if self.guards_capacity \
                and sum(t["cpu"] for t in self.tasks.values()) + work["cpu"] > self.capacity:
            return self.reject("room")
        is_late = call.get("is_late", False)
        self.tasks[name] = {"attempt": attempt, "done": 0.0, "work": work["ms"],
                            "cpu": work["cpu"], "fails": self.random.random() < self.failing_share,
                            "is_late": is_late}
        self.task_started.set()
        self.history.record_start(self.machine, self.zone, name, attempt, self, is_late)
        if "crash-ms" in work and name.endswith(".0"):
            self.crash_soon(name, work["crash-ms"] / 1000)
        return 200, {"clock-ms": self.clock(), "born": self.born}

    def forbid_attempts(self, name, attempt):
        self.stopped_attempts[name] = max(self.stopped_attempts.get(name, 0), attempt)

    def stop_task(self, name, attempt):
        self.forbid_attempts(name, attempt)
        if name in self.tasks and self.tasks[name]["attempt"] <= attempt:
            self.end(name, "stopped")

    async def stop_task_late(self, name, attempt):
        incarnation_before = self.incarnation
        await asyncio.sleep(self.stop_delay_s)
        if self.is_up and self.incarnation == incarnation_before:
            self.stop_task(name, attempt)

    async def run_stop(self, call):
        name, attempt = call["task"], call["attempt"]
        self.stop_requested.set()
        if self.stop_delay_s == 0:
            self.stop_task(name, attempt)
        else:
            asyncio.ensure_future(self.stop_task_late(name, attempt))
            if not self.acknowledges_stops:
                raise standin_http.NoAnswer
            self.forbid_attempts(name, attempt)
        return 200, {"clock-ms": self.clock(), "born": self.born}

    async def hold(self, call):
        self.renew_lease(call)
        self.ended_tasks = [row for row in self.ended_tasks if row[0] > call["last-seen"]]
        if not self.ended_tasks and call.get("wait-ms", 0) > 0:
            try:
                await asyncio.wait_for(self.task_ended.wait(), call["wait-ms"] / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass
        active = [[n, t["attempt"], "", int(100 * min(t["done"] / t["work"], 0.99)), 0]
                  for n, t in self.tasks.items()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "active": active,
                     "finished": self.ended_tasks[:500]}
