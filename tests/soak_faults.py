"""The faults of soaks: fault_NAME injects one and returns when its direct effects are over."""
import asyncio
import json
import os
import signal
import sys
import time

from foreign_heartbeats import send_foreign_heartbeats
from standin_platform import CAPACITY_CPU

PORTS = {"jobs": 7801, "ready": 7802, "peers": 7803, "registry": 7804, "app": 7805, "store": 7900}
# Planned operations of operators and the platform, which callers must not notice.
PLANNED = {"stop_gateway", "stop_sidecar", "hangup", "configuration", "withdraw", "drain",
           "capacity", "malformed"}

# Not injected unless they are named: KNOWN-RED.txt lists runs with the first one, and the others
# would change the plans of the seeds that are recorded.
ONLY_BY_NAME = {"deadly_unanswered", "slow_stops", "callers_leave", "kill_sidecars",
                "kill_gateways", "pause_gateway", "busy", "store_refuses",
                "store_mutes"}
REFUSALS = {"store_refuses", "store_mutes"}  # disturb nothing but access to the store
LINK_FAULTS = {"link", "reset"}
BUSY_PROCESSES_PER_PROCESSOR = 6
CRASH_MS = [5, 10, 50, 200]
MISSING = object()


async def send_raw(host, port, message):
    """Sends @message and waits shortly for any answer."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(message)
        await asyncio.wait_for(reader.read(1000), 0.2)
        writer.transport.abort()
    except (OSError, TimeoutError, asyncio.TimeoutError):
        pass


class Faults:
    """Part of Soak, which has the processes, stand-ins and random numbers."""

    def choose_idle(self, nodes):
        idle = [node for node in nodes if not node.active_fault]
        return self.random.choice(idle) if idle else None

    async def restart(self, node, number, pause_s):
        if not node:
            return
        node.active_fault = "term" if number == signal.SIGTERM else "kill"
        await node.stop(number)
        await asyncio.sleep(pause_s)
        await node.start()
        await asyncio.sleep(1.5)
        node.active_fault = False

    async def fault_kill_gateway(self):
        await self.restart(self.choose_idle(self.gateways), signal.SIGKILL,
                           self.random.uniform(0, 1.5))

    async def fault_kill_sidecar(self):
        await self.restart(self.choose_idle(self.sidecars), signal.SIGKILL,
                           self.random.uniform(0, 1.5))

    async def fault_kill_all(self):
        nodes = [node for node in self.gateways + self.sidecars if not node.active_fault]
        await asyncio.gather(*[self.restart(node, signal.SIGKILL, 0.8) for node in nodes])

    async def fault_stop_gateway(self):
        await self.restart(self.choose_idle(self.gateways), signal.SIGTERM, 0.3)

    async def fault_stop_sidecar(self):
        await self.restart(self.choose_idle(self.sidecars), signal.SIGTERM, 0.3)

    async def fault_freeze(self):
        node = self.choose_idle(self.gateways + self.sidecars)
        if not node:
            return
        node.active_fault = "freeze"
        node.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 5))
        node.send(signal.SIGCONT)
        await asyncio.sleep(1)
        node.active_fault = False

    async def fault_hangup(self):
        for node in self.gateways + self.sidecars:
            if not node.active_fault:
                node.send(signal.SIGHUP)

    async def fault_link(self):
        proxy = self.random.choice(self.proxies)
        proxy.mode = self.random.choice(["delay", "silent", "one_way", "refuse"])
        if proxy.mode == "refuse":
            proxy.reset()
        await asyncio.sleep(self.random.uniform(0.3, 4))
        proxy.mode = "ok"
        await asyncio.sleep(1)

    async def fault_reset(self):
        for proxy in self.proxies:
            proxy.reset()
        await asyncio.sleep(1)

    async def fault_store(self):
        self.store.mode = self.random.choice(["busy", "silent", "reset", "slow"])
        self.store.last_disturbed_s = float("inf")
        await asyncio.sleep(self.random.uniform(0.5, 5))
        self.store.mode = "ok"
        self.store.last_disturbed_s = time.monotonic()
        await asyncio.sleep(1)

    async def fault_store_refuses(self):
        """The store serves none or some of the gateways, and some sidecars, while changes are made.
        """
        mode = self.random.choice(["busy", "silent", "reset"])
        gateways = self.gateways if self.random.random() < 0.6 else \
            self.random.sample(self.gateways, len(self.gateways) // 2)
        sidecars = self.random.sample(self.sidecars, self.random.randint(0, len(self.sidecars) // 2))
        for node in [*gateways, *sidecars]:
            node.store_access.set_mode(mode)
        for _ in range(self.random.randint(1, 4)):
            await asyncio.sleep(self.random.uniform(0.1, 2))
            self.publish(self.probe + 1)
        await asyncio.sleep(self.random.uniform(0, 4))
        for node in [*gateways, *sidecars]:
            node.store_access.set_mode("ok")

    async def fault_store_mutes(self):
        """All open connections to the store go silent while changes are made."""
        for node in [*self.gateways, *self.sidecars]:
            node.store_access.mute_open()
        for _ in range(self.random.randint(1, 3)):
            self.publish(self.probe + 1)
            await asyncio.sleep(self.random.uniform(0.1, 1))
        await asyncio.sleep(6)

    async def fault_store_loses(self):
        self.store.lost_share, self.store.last_disturbed_s = 0.4, float("inf")
        await asyncio.sleep(3)
        self.store.lost_share, self.store.last_disturbed_s = 0.0, time.monotonic()

    async def fault_compact(self):
        self.store.last_disturbed_s = time.monotonic()
        self.store.compact()

    async def fault_executor_crash(self):
        executor = self.random.choice(self.executors)
        if not executor.is_up:
            return
        executor.crash(closes_port=self.random.random() < 0.5)
        await asyncio.sleep(self.random.uniform(0, 3))
        executor.start(fence=0)

    async def fault_deadly(self):
        """Some of the next jobs have a task that crashes each upstream that starts it."""
        self.due_crashes_ms += self.random.choices(CRASH_MS, k=self.random.randint(1, 3))
        await asyncio.sleep(3)

    async def fault_deadly_unanswered(self):
        """As deadly, but the upstream crashes before it answers the start."""
        self.due_crashes_ms += [0] * self.random.randint(1, 3)
        await asyncio.sleep(3)

    async def fault_executor_silent(self):
        executor = self.random.choice(self.executors)
        executor.is_unresponsive, executor.last_disturbed_s = True, float("inf")
        await asyncio.sleep(self.random.uniform(0.3, 5))
        executor.is_unresponsive, executor.last_disturbed_s = False, time.monotonic()

    async def fault_executor_mute(self):
        executor = self.random.choice(self.executors)
        executor.drops_answers = True
        await asyncio.sleep(self.random.uniform(0.5, 4))
        executor.drops_answers = False

    async def fault_unanswered(self):
        for executor in self.executors:
            executor.unanswered_share = 0.1
        await asyncio.sleep(3)
        for executor in self.executors:
            executor.unanswered_share = 0.0

    async def fault_late_orders(self):
        for executor in self.executors:
            executor.delayed_share = 0.15
        await asyncio.sleep(3)
        for executor in self.executors:
            executor.delayed_share = 0.0

    async def fault_rebirth(self):
        """An executor starts again under its id, at times with another capacity or a late first
        heartbeat; before, it answers all or half of its orders or none. The incarnation that is up
        then carries out those that are late."""
        executor = self.random.choice(self.executors)
        executor.delayed_share = self.random.choice([0.0, 0.5, 0.5])
        executor.drops_answers = self.random.random() < 0.2
        await asyncio.sleep(self.random.uniform(0.2, 1))
        for _ in range(self.random.randint(1, 3)):
            executor.crash(closes_port=self.random.random() < 0.5)
            await asyncio.sleep(self.random.uniform(0.05, 1.5))
            executor.set_capacity(self.random.choice([CAPACITY_CPU, CAPACITY_CPU, 4000]))
            executor.start(keeps_id=True, heartbeat_delay_s=self.random.choice([0, 0, 1.5, 4]))
            await asyncio.sleep(self.random.uniform(0.1, 1))
        executor.delayed_share, executor.drops_answers = 0.0, False
        await asyncio.sleep(4)
        executor.set_capacity(CAPACITY_CPU)

    async def fault_capacity(self):
        executor = self.random.choice(self.executors)
        for _ in range(self.random.randint(1, 2)):
            executor.set_capacity(self.random.choice([1000, 2000, 4000]))
            await asyncio.sleep(self.random.uniform(1, 9))
        executor.set_capacity(CAPACITY_CPU)
        await asyncio.sleep(self.random.uniform(0, 2))

    async def fault_malformed(self):
        """Sends messages that no process may accept or end from."""
        executor, gateway = self.random.choice(self.executors), self.random.choice(self.gateways)
        registry = executor.registry.split(":")
        heartbeat = b"POST /azurerock/Executors.Heartbeat/%s HTTP/1.1\r\nhost: h.example\r\n" \
                    b"content-length: %d\r\n\r\n%s"
        job = heartbeat.replace(b"azurerock/Executors.Heartbeat", b"jobs")
        executor_id = executor.id.encode()
        for key in ["service", "address", "zone", "state", "sequence", "capacity"]:
            for value in [MISSING, None, [], {"a": 1}, True, -1.5]:
                body = dict(executor.describe(), **{key: value})
                text = json.dumps({k: v for k, v in body.items() if v is not MISSING}).encode()
                await send_raw(*registry, heartbeat % (executor_id, len(text), text))
        junk = self.random.randbytes(self.random.randint(1, 3000))
        await send_raw(*registry, heartbeat % (b"i-\xff\xfe", len(text), text))
        await send_raw(*registry, heartbeat % (b"i-0", len(junk), junk))
        await send_raw(gateway.host, PORTS["jobs"], job % (b"0123456789abcdef", len(junk), junk))
        await send_raw(gateway.host, PORTS["jobs"], job % (b"0123456789abcdef", len(text), text))
        await send_raw(gateway.host, PORTS["jobs"], junk)
        await send_raw(gateway.host, PORTS["peers"], junk)
        try:
            await send_foreign_heartbeats(executor)
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(1)

    async def fault_slow_stops(self):
        """Stops are carried out late, and each executor answers all of them at once or none."""
        for executor in self.executors:
            executor.stop_delay_s = self.random.uniform(0.3, 4)
            executor.acknowledges_stops = self.random.random() < 0.5
        await asyncio.sleep(4)
        for executor in self.executors:
            executor.stop_delay_s = 0.0

    async def fault_callers_leave(self):
        """Connections of callers break, and the callers send their jobs again."""
        self.leaving_share = 0.3
        await asyncio.sleep(4)
        self.leaving_share = 0.0

    async def kill_some(self, nodes):
        idle = [node for node in nodes if not node.active_fault]
        chosen = self.random.sample(idle, max(len(idle) // 3, 1)) if idle else []
        await asyncio.gather(*[self.restart(node, signal.SIGKILL, self.random.uniform(0, 1.5))
                               for node in chosen])

    async def fault_kill_sidecars(self):
        await self.kill_some(self.sidecars)

    async def fault_kill_gateways(self):
        await self.kill_some(self.gateways)

    async def fault_pause_gateway(self):
        """A gateway is paused for about a session time-out several times, while callers leave."""
        node = self.choose_idle(self.gateways)
        if not node:
            return
        node.active_fault, self.leaving_share = "pause", 0.5
        for _ in range(5):
            node.send(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.2, 0.6))
            node.send(signal.SIGCONT)
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
        node.active_fault, self.leaving_share = False, 0.0

    async def fault_busy(self):
        """Other processes take the processors for some seconds."""
        loop = [sys.executable, "-c", "import time\nend = time.monotonic() + 6\n"
                "while time.monotonic() < end: pass"]
        processes = [await asyncio.create_subprocess_exec(*loop)
                     for _ in range(BUSY_PROCESSES_PER_PROCESSOR * os.cpu_count())]
        await asyncio.gather(*[process.wait() for process in processes])

    async def fault_failing(self):
        executor = self.random.choice(self.executors)
        executor.failing_share = 1.0
        await asyncio.sleep(2)
        executor.failing_share = 0.0

    async def fault_rate(self):
        executor = self.random.choice(self.executors)
        executor.speed = self.random.choice([0.0, 0.15])
        await asyncio.sleep(3)
        executor.speed = 1.0

    async def fault_drain(self):
        executor = self.random.choice(self.executors)
        if not executor.is_up or executor.is_draining:
            return
        executor.is_draining = True
        await asyncio.sleep(4)
        former, last_heartbeat = executor.id, executor.describe()
        try:
            if await executor.tell("Deregister", former, {"born": executor.born}) == 200:
                self.history.left_s[former] = time.monotonic()
        except (OSError, TimeoutError):
            pass
        executor.crash(closes_port=True)
        executor.start()
        await asyncio.sleep(self.random.uniform(0, 2))
        try:  # delayed on its way
            await executor.tell("Heartbeat", former, last_heartbeat)
        except (OSError, TimeoutError):
            pass

    async def fault_configuration(self):
        for _ in range(self.random.randint(1, 4)):
            self.publish(self.probe + 1)
            await asyncio.sleep(self.random.uniform(0.1, 0.6))

    async def fault_withdraw(self):
        zone = "d%d" % self.random.randint(0, 2)
        if self.history.withdrawn_s:
            return
        self.store.write("op/evacuate/" + zone, b"{}")
        self.history.withdrawn_s[zone] = time.monotonic()
        await asyncio.sleep(9)
        del self.history.withdrawn_s[zone]
        self.store.write("op/evacuate/" + zone, None)
