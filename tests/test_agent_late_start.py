#!/usr/bin/env python3
"""Tests a start request that waits for a connection while its domain is withdrawn."""
import copy
import os
import socket
import tempfile
import threading
import time
import unittest

import smoke

BUILD = os.environ.get("BUILD", "build")
OUTAGE_S = 4  # the system repeats a connection attempt after 1, 3 and 7 s
WATCH_S = 5


class Upstream:
    """Answers one request on each connection, and counts tasks. During an outage connections wait
    to be established."""

    def __init__(self, port):
        self.listener = socket.create_server(("127.0.0.1", port))
        self.listener.settimeout(0.02)
        self.is_out = threading.Event()
        self.is_idle = threading.Event()
        self.fillers, self.tasks_s = [], []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            if self.is_out.is_set():
                self.is_idle.set()
                time.sleep(0.01)
                continue
            try:
                connection, _ = self.listener.accept()
            except TimeoutError:
                continue
            self.answer(connection)

    def answer(self, connection):
        with connection:
            connection.settimeout(1)
            try:
                request = connection.recv(65536)
                if b"/v1/tasks" in request:
                    self.tasks_s.append(time.monotonic())
                if request:
                    connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
                                       b"connection: close\r\n\r\nok")
            except OSError:
                pass

    def begin_outage(self):
        self.is_out.set()
        self.is_idle.wait()
        self.listener.listen(0)
        while not self.fillers or self.is_established(self.fillers[-1]):
            self.fillers.append(socket.socket())
            self.fillers[-1].setblocking(False)
            self.fillers[-1].connect_ex(self.listener.getsockname())
            time.sleep(0.02)

    @staticmethod
    def is_established(connection):
        try:
            connection.getpeername()
        except OSError:
            return False
        return True

    def end_outage(self):
        for connection in self.fillers:
            connection.close()
        self.listener.listen(64)
        self.is_out.clear()


class AgentLateStart(unittest.TestCase):
    def test_task_that_waited_for_a_connection_does_not_start(self):
        """Guards against a start in a withdrawn domain whose conditions were checked long before."""
        with tempfile.TemporaryDirectory() as directory:
            fleet = smoke.Fleet(BUILD, directory, 1, 1)
            upstream = Upstream(fleet.upstreams[0])
            fleet.start_upstream = lambda _: None
            try:
                fleet.start_all()
                self.assertEqual(fleet.publish().returncode, 0)
                smoke.wait_for("ready", fleet.is_ready)
                smoke.wait_for("owner table in force", fleet.is_owner_table_in_force)
                time.sleep(0.5)
                self.assertEqual(fleet.submit(0, 1)[0], 200)
                self.play_outage(fleet, upstream)
                self.assertEqual(len(upstream.tasks_s), 1)
            finally:
                fleet.kill_all()

    def play_outage(self, fleet, upstream):
        withdrawn = copy.deepcopy(smoke.OBJECTS)
        withdrawn[0]["in_service"] = False
        upstream.begin_outage()
        job = threading.Thread(target=fleet.submit, args=(0, 1))
        job.start()
        time.sleep(0.1)
        self.assertEqual(fleet.publish(withdrawn).returncode, 0)
        time.sleep(OUTAGE_S)
        upstream.end_outage()
        time.sleep(WATCH_S)
        job.join()


if __name__ == "__main__":
    unittest.main()
