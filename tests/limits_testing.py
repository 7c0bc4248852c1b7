"""Starts programs with lowered limits, and clients outside the limits, over loopback."""
import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

import standin_http
from process_testing import TEST_TIMEOUT_S, StoreTestCase, free_port, program_path
from standin_platform import Store

HOST = "127.0.0.1"
ANSWER_TIMEOUT_S = 10
STOP_TIMEOUT_S = 10
GROWTH_MAX_MB = 12  # of VmHWM, from before the clients connect
DESCRIPTORS_MAX = 128
DESCRIPTORS_OPEN_MAX = 110  # leaves some for sidecars, peers and the store
BUFFER_MB = 4
ROUTE = {"hostname": "h.example", "service": "service", "priority": 0, "max-attempts": 3,
         "slack-factor": 1.6, "target-completion-ms": 60, "timeout-ms": 1500,
         "name": "jobs", "prefix": "/jobs/"}
ORDINARY = b"GET /jobs/ HTTP/1.1\r\nhost: h.example\r\n\r\n"
METRICS = b"GET /metrics HTTP/1.1\r\nhost: h.example\r\n\r\n"


class StoreThread:
    """The stand-in store in a thread of its own."""

    def __init__(self, n_routes=1):
        self.port, self.store = free_port(), Store()
        routes = [ROUTE] + [dict(ROUTE, name="jobs%d" % i, prefix="/jobs%d/" % i)
                            for i in range(1, n_routes)]
        self.store.write("op/config", json.dumps({"version": 1, "routes": routes,
                                                  "services": []}).encode())
        self.loop = asyncio.new_event_loop()
        self.server = self.loop.run_until_complete(
            standin_http.serve(HOST, self.port, self.store.handle))
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.server.close()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()


class Limited:
    """A process with lowered limits. @program: "gateway", "sidecar" or "entry"; @descriptors: its limit of
    open descriptors, which the system enforces; @n_routes: of its configuration."""

    def __init__(self, program, ordinary_status, descriptors=DESCRIPTORS_MAX, n_routes=1,
                 **settings):
        self.folder = tempfile.TemporaryDirectory()
        self.store = StoreThread(n_routes)
        self.ports = [free_port() for _ in range(4)]
        values = dict(self.addresses(program), instance="x0", domain="d0",
                      descriptors_max=descriptors, request_buffer_mb=BUFFER_MB,
                      head_timeout_ms=1000, body_timeout_ms=1000)
        values.update(settings)
        path = os.path.join(self.folder.name, "settings.json")
        with open(path, "w") as file:
            json.dump(values, file)
        # Memory that AddressSanitizer keeps after it was freed must not count as held by clients.
        options = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"
        self.process = subprocess.Popen(
            [program_path("azurerock-" + program), "--config", path], stdout=subprocess.DEVNULL,
            env=dict(os.environ, ASAN_OPTIONS=options),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE,
                                                  (descriptors, descriptors)))
        self.wait_until_served(ordinary_status)
        self.start_hwm_mb = self.hwm_mb()
        self.open_max = self.n_open()

    def addresses(self, program):
        """The settings that name addresses. Callers connect to the first port, peers to the third;
        the last one has the metrics."""
        addresses = ["%s:%d" % (HOST, port) for port in self.ports]
        store = "%s:%d" % (HOST, self.store.port)
        if program == "entry":
            self.ports[3] = self.ports[0]
            return {"http_address": addresses[0], "rpc_address": addresses[2],
                    "store": addresses[1]}  # where nothing listens
        values = {"seeds": [], "seed_port": self.ports[2], "store_address": store, "grace_s": 1,
                  "metrics_address": addresses[3]}
        if program == "sidecar":
            return dict(values, registry_address=addresses[0])
        return dict(values, jobs_address=addresses[0], ready_address=addresses[1],
                    peer_address=addresses[2])

    def wait_until_served(self, status):
        end = time.monotonic() + ANSWER_TIMEOUT_S
        while ask(self.ports[0]) != status and time.monotonic() < end:
            time.sleep(0.05)

    def hwm_mb(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            line = next(line for line in file if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def n_open(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))

    def observe(self):
        self.open_max = max(self.open_max, self.n_open())

    def pause(self):
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def stop(self):
        """Returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        try:
            code = self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.store.stop()
        self.folder.cleanup()
        return code


def ask(port, request=ORDINARY):
    """Returns the status of the response to one request, None without a response."""
    try:
        with socket.create_connection((HOST, port), ANSWER_TIMEOUT_S) as client:
            client.sendall(request)
            answer = client.recv(4096)
            return int(answer.split(b" ")[1]) if answer else None
    except (OSError, IndexError):
        return None


class Crowd:
    """Clients that send @first and then, every @interval_s, the bytes @drip. They read nothing and
    don't connect again."""

    def __init__(self, port, n_clients, first, drip=b"", interval_s=0.05, receive_bytes=None):
        self.drip, self.interval_s, self.next_drip_s = drip, interval_s, 0
        self.unsent = {}
        for _ in range(n_clients):
            client = socket.socket()
            if receive_bytes:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
            client.setblocking(False)
            client.connect_ex((HOST, port))
            self.unsent[client] = memoryview(first)

    def send(self):
        is_due = self.drip and time.monotonic() >= self.next_drip_s
        if is_due:
            self.next_drip_s = time.monotonic() + self.interval_s
        for client, unsent in list(self.unsent.items()):
            try:
                if unsent:
                    self.unsent[client] = unsent[client.send(unsent):]
                elif is_due:
                    client.send(self.drip)
            except BlockingIOError:
                pass
            except OSError:
                del self.unsent[client]
                client.close()

    def close(self):
        for client in self.unsent:
            client.close()


class LimitsTestCase(unittest.TestCase):
    """A test case with one process, whose limits are lowered, and clients outside the limits."""

    program = "gateway"
    ordinary_status = 200

    def start(self, **arguments):
        signal.signal(signal.SIGALRM, StoreTestCase.on_timeout)
        signal.alarm(TEST_TIMEOUT_S)
        self.addCleanup(signal.alarm, 0)
        self.process = Limited(self.program, self.ordinary_status, **arguments)
        self.addCleanup(self.process.stop)
        return self.process.ports[0]

    def play(self, crowd, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            crowd.send()
            self.process.observe()
            time.sleep(0.01)

    def check(self, crowd, open_max=DESCRIPTORS_OPEN_MAX):
        """Checks memory, descriptors and an ordinary request while the clients still hold their
        connections."""
        self.addCleanup(crowd.close)
        self.process.observe()
        statuses = [ask(self.process.ports[0]), ask(self.process.ports[3], METRICS)]
        growth = self.process.hwm_mb() - self.process.start_hwm_mb
        print("%s: memory +%.1f MB, %d descriptors, answers %s"
              % (self.id().split(".")[-1], growth, self.process.open_max, statuses), flush=True)
        self.assertIsNone(self.process.process.poll())
        with self.subTest("memory"):
            self.assertLess(growth, GROWTH_MAX_MB)
        with self.subTest("descriptors"):
            self.assertLess(self.process.open_max, open_max)
        with self.subTest("answers"):
            self.assertEqual(statuses, [self.ordinary_status, 200])
