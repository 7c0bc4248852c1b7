"""Starts the programs under test and sends them requests over loopback."""
import itertools
import json
import os
import queue
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))
START_TIMEOUT_S = 10
STOP_TIMEOUT_S = 10
TEST_TIMEOUT_S = 60

FIRST_PORT = 10000
PORT_BLOCKS = 110
PORTS_PER_BLOCK = 200


def program_path(name):
    return os.path.join(BUILD, name)


def run_program(name, *arguments):
    """Runs a program to its end and returns a subprocess.CompletedProcess."""
    return subprocess.run([program_path(name), *arguments], capture_output=True, text=True,
                          timeout=TEST_TIMEOUT_S, check=False)


# Each test process has its own block of ports below the system's ephemeral ports, so that a port
# found free stays free until a program listens on it.
BLOCK = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
PORT_NUMBERS = itertools.cycle(range(BLOCK, BLOCK + PORTS_PER_BLOCK))


def free_port():
    for _ in range(PORTS_PER_BLOCK):
        port = next(PORT_NUMBERS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise OSError("no free port between %d and %d" % (BLOCK, BLOCK + PORTS_PER_BLOCK))


class Program:
    """A server process; with @wait, waits for its line "listening on IP:PORT" and takes its address
    from it; without, the address is None."""

    def __init__(self, name, settings, wait=True):
        self.values = settings
        self.settings = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump(settings, self.settings)
        self.settings.flush()
        self.process = subprocess.Popen(
            [program_path(name), "--config", self.settings.name],
            stderr=subprocess.PIPE, text=True)
        self.lines = []
        self.addresses = queue.Queue()
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()
        self.address = self.addresses.get(timeout=START_TIMEOUT_S) if wait else None

    def _read(self):
        for line in self.process.stderr:
            self.lines.append(line)
            found = re.search(r"listening on (\S+)", line)
            if found:
                self.addresses.put(found.group(1))

    def stop(self):
        """Stops the program, if necessary by SIGKILL, and returns its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            code = self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.reader.join(STOP_TIMEOUT_S)
        self.process.stderr.close()
        self.settings.close()
        return code


class Answer:
    def __init__(self, status, body, headers):
        self.status = status
        self.body = body
        self.index = headers.get("X-Consul-Index") if headers else None

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, timeout=5):
    """Sends one request; raises OSError if no response comes."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Answer(response.status, response.read(), response.headers)
    except urllib.error.HTTPError as error:
        with error:
            return Answer(error.code, error.read(), error.headers)


class StoreTestCase(unittest.TestCase):
    """A test case with its own stand-in store."""

    def setUp(self):
        signal.signal(signal.SIGALRM, self.on_timeout)
        signal.alarm(TEST_TIMEOUT_S)
        self.addCleanup(signal.alarm, 0)
        self.store = Program("azurerock-standin-store", {"listen": "127.0.0.1:0"})
        self.addCleanup(self.stop_store)

    @staticmethod
    def on_timeout(_number, _frame):
        raise TimeoutError(f"the test took longer than {TEST_TIMEOUT_S} s")

    def stop_store(self):
        code = self.store.stop()
        self.assertEqual(code, 0, "".join(self.store.lines))

    def call(self, method, path, body=None, timeout=5):
        return call(self.store.address, method, path, body, timeout)

    def set_faults(self, **faults):
        answer = self.call("PUT", "/standin/faults", json.dumps(faults))
        self.assertEqual(answer.status, 200)

    def stats(self):
        return self.call("GET", "/standin/stats").json()

    def wait_until(self, condition, timeout_s=10):
        end = time.monotonic() + timeout_s
        while not condition():
            self.assertLess(time.monotonic(), end, "condition not met in time")
            time.sleep(0.02)
