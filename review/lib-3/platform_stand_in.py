"""Stand-ins of the platform's store and of executors, as the users' pages describe them."""
import asyncio
import base64
import json
import time
import urllib.parse

import standin_http

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
LISTED_ENDS_MAX = 500
WAIT_MAX_MS = 2000


def descriptor(writer):
    return writer.get_extra_info("socket").fileno()


class Store:
    """The metadata store: items, history, leases that end, and transactions with conditions."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.leases, self.last_lease = {}, 100
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            event = {"key": key, "value": base64.b64encode(value).decode(),
                     "revision": self.revision, "created": created, "lease-id": lease}
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_leases(self):
        now = time.monotonic()
        for lease in [k for k, (_, end_s) in self.leases.items() if end_s < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease-id"] == lease]:
            self.write(key, None)

    async def handle(self, method, target, _headers, body):
        self.end_leases()
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        parts = url.path.split("/")
        call = getattr(self, "call_" + parts[2].replace("-", "_"), None)
        if not call:
            return 404, None
        return await call(query, json.loads(body) if body else {}, parts[3:])

    async def call_kv_key(self, query, _body, _rest):
        item = self.items.get(query["key"])
        return (200, dict(item, at=self.revision)) if item else (404, None)

    async def call_kv_range(self, query, _body, _rest):
        rows = [self.items[k] for k in sorted(self.items)
                if k.startswith(query["prefix"]) and k > query.get("after", "")]
        return 200, {"items": rows[:500], "has-more": len(rows) > 500, "at": self.revision}

    async def call_kv_watch(self, query, _body, _rest):
        after, until = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except (TimeoutError, asyncio.TimeoutError):
                pass

    async def call_kv_lease(self, _query, body, _rest):
        self.last_lease += 1
        self.leases[self.last_lease] = (body["ttl-ms"], time.monotonic() + body["ttl-ms"] / 1000)
        return 200, {"lease-id": self.last_lease, "ttl-ms": body["ttl-ms"]}

    async def call_kv_keep(self, _query, _body, rest):
        lease = int(rest[0])
        if lease not in self.leases:
            return 404, None
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"ttl-ms": ttl_ms}

    async def call_kv_lease_end(self, _query, _body, rest):
        self.end_lease(int(rest[0]))
        return 200, None

    async def call_kv_txn(self, _query, body, _rest):
        for row in body.get("expect", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in body["expect"]
                                       if r["key"] in self.items]}
        for row in body.get("write", []):
            if row.get("lease-id", 0) and row["lease-id"] not in self.leases:
                return 404, None
        for row in body.get("write", []):
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease-id", 0))
        for key in body.get("remove", []):
            self.write(key, None)
        return 200, {"revision": self.revision}


class Executor:
    """An executor of one service. The specification of a task states its run time "ms" and its
    "cpu". @record(what, **fields) is called for each start and end."""

    def __init__(self, machine, host, port, registry, zone, service, record):
        self.machine, self.host, self.port, self.registry = machine, host, port, registry
        self.zone, self.service, self.record = zone, service, record
        self.labels, self.capacity_cpu, self.guards_capacity = ["a", "r1"], 16000, True
        self.incarnation, self.is_up, self.is_draining = 0, False, False
        self.server, self.writers, self.loops = None, set(), []
        self.ended = asyncio.Event()

    async def start(self, keeps_id=False):
        """Starts an incarnation, which knows nothing of a former one."""
        self.incarnation += 1
        if not keeps_id:
            self.id = "i-%s-%d" % (self.machine, self.incarnation)
        self.born, self.started_s = int(time.time() * 1000), time.monotonic()
        self.sequence = self.fence = self.lease_end_ms = self.n_ended = 0
        self.tasks, self.ends, self.barred = {}, [], {}
        self.is_up = True
        self.server = await standin_http.serve(self.host, self.port, self.handle, self.writers)
        self.loops = [asyncio.ensure_future(self.run_tasks()),
                      asyncio.ensure_future(self.send_heartbeats())]

    def crash(self):
        """Ends the incarnation as the end of its process does: its sockets are closed in the order
        of their descriptors, so that of the connections."""
        self.is_up = False
        for loop in self.loops:
            loop.cancel()
        self.server.close()
        for writer in sorted(self.writers, key=descriptor):
            writer.transport.abort()
        for name in list(self.tasks):
            self.record("end", task=name, attempt=self.tasks[name]["attempt"], how="crash",
                        machine=self.machine, id=self.id)
        self.tasks = {}

    def clock_ms(self):
        return int((time.monotonic() - self.started_s) * 1000)

    def describe(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % (self.host, self.port),
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.is_draining else "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.capacity_cpu, "mem-mb": 32768, "gpu": 0},
                "labels": self.labels, "clock-ms": self.clock_ms(), "sequence": self.sequence,
                "born": self.born}

    async def tell(self, what, body):
        host, port = self.registry.split(":")
        client = standin_http.HttpClient(host, int(port))
        try:
            return (await client.call("POST", "/azurerock/Executors.%s/%s" % (what, self.id),
                                      {"content-type": "application/json"}, body, 1.0))[0]
        finally:
            client.close()

    async def send_heartbeats(self):
        while True:
            try:
                is_taken = await self.tell("Heartbeat", self.describe()) // 100 == 2
            except (OSError, TimeoutError, asyncio.TimeoutError):
                is_taken = False
            await asyncio.sleep(HEARTBEAT_S if is_taken else 0.2)

    def end(self, name, how):
        task = self.tasks.pop(name)
        self.n_ended += 1
        self.ends.append([self.n_ended, name, task["attempt"], how, ""])
        self.bar(name, task["attempt"])
        self.record("end", task=name, attempt=task["attempt"], how=how, machine=self.machine,
                    id=self.id)
        self.ended.set()
        self.ended = asyncio.Event()

    def bar(self, name, attempt):
        self.barred[name] = max(self.barred.get(name, 0), attempt)

    async def run_tasks(self):
        while True:
            await asyncio.sleep(0.005)
            if self.tasks and self.clock_ms() > self.lease_end_ms:
                for name in list(self.tasks):
                    self.end(name, "lapsed")
            now = time.monotonic()
            for name in [n for n, t in self.tasks.items() if now >= t["end_s"]]:
                self.end(name, "done")

    def answer(self, **fields):
        return dict(fields, **{"clock-ms": self.clock_ms(), "born": self.born})

    def renew(self, call):
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_end_ms = max(self.lease_end_ms, min(call.get("deadline-ms", 0), limit_ms))

    async def handle(self, _method, target, headers, body):
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, None
        name = target.rsplit("/", 1)[1].replace("-", "_")
        if name not in ("run_start", "run_stop", "hold"):
            return 404, None
        call = json.loads(body)
        if call.get("fencing-token", 0) < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = call.get("fencing-token", 0)
        return await getattr(self, name)(call)

    async def run_start(self, call):
        name, attempt = call["task"], call["attempt"]
        if call["deadline-ms"] <= self.clock_ms():
            return 409, self.answer(reason="late")
        self.renew(call)
        present = self.tasks.get(name)
        if present and present["attempt"] == attempt:
            return 200, self.answer()
        if present or attempt <= self.barred.get(name, 0):
            return 409, self.answer(reason="old")
        work = json.loads(call["specification"])
        used_cpu = sum(t["cpu"] for t in self.tasks.values()) + work["cpu"]
        if self.guards_capacity and used_cpu > self.capacity_cpu:
            return 409, self.answer(reason="room")
        now = time.monotonic()
        self.tasks[name] = {"attempt": attempt, "cpu": work["cpu"], "start_s": now,
                            "end_s": now + work["ms"] / 1000}
        self.record("start", task=name, attempt=attempt, machine=self.machine, id=self.id,
                    labels=list(self.labels), used_cpu=used_cpu, capacity_cpu=self.capacity_cpu)
        return 200, self.answer()

    async def run_stop(self, call):
        name, attempt = call["task"], call["attempt"]
        self.bar(name, attempt)
        if name in self.tasks and self.tasks[name]["attempt"] <= attempt:
            self.end(name, "stopped")
        return 200, self.answer()

    async def hold(self, call):
        self.renew(call)
        self.ends = [row for row in self.ends if row[0] > call["last-seen"]]
        wait_ms = min(call.get("wait-ms", 0), WAIT_MAX_MS)
        if not self.ends and wait_ms > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_ms / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass
        now = time.monotonic()
        active = [[n, t["attempt"], "",
                   min(99, int(100 * (now - t["start_s"]) / (t["end_s"] - t["start_s"]))), t["cpu"]]
                  for n, t in self.tasks.items()]
        return 200, self.answer(active=active, finished=self.ends[:LISTED_ENDS_MAX])
