#!/usr/bin/env python3
"""Tests a gateway whose clients hold connections with unfinished heads, without requests or with
answers that they don't read."""
import resource
import socket
import unittest

from limits_testing import (ANSWER_TIMEOUT_S, DESCRIPTORS_MAX, HOST, METRICS, ORDINARY, Crowd,
                            LimitsTestCase, ask)

N_CLIENTS = 100  # that exceed the descriptors if each has two
N_LONG_HEADS = 64
MANY_DESCRIPTORS = 1024
MANY_DESCRIPTORS_OPEN = 800
N_FEW = 10
N_PIPELINED = 20000
PLAY_S = 2


class LimitsConnections(LimitsTestCase):
    def test_slow_heads(self):
        """Guards against callers shut out by clients that send a byte of the head at times."""
        crowd = Crowd(self.start(), N_CLIENTS, ORDINARY[:-2], drip=b"x")
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_long_heads(self):
        """Guards against memory exhausted by heads without end."""
        head = ORDINARY[:-2] + b"x: " + b"y" * 400000
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS), N_LONG_HEADS, head)
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def test_idle_connections(self):
        """Guards against callers shut out, and an event loop kept busy by a listener without
        descriptors, when clients connect and send nothing."""
        crowd = Crowd(self.start(), N_CLIENTS, b"")
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_idle_connections_to_readiness(self):
        """Guards against callers and readiness shut out by connections to readiness."""
        self.start()
        crowd = Crowd(self.process.ports[1], N_CLIENTS, b"")
        self.play(crowd, PLAY_S)
        self.check(crowd)
        self.assertIn(ask(self.process.ports[1]), (200, 503))

    def test_unread_answers(self):
        """Guards against connections and memory held by clients that never read."""
        crowd = Crowd(self.start(), N_CLIENTS, ORDINARY * N_PIPELINED, receive_bytes=4096)
        self.play(crowd, 2 * PLAY_S)
        self.check(crowd)

    def test_many_requests_without_waiting(self):
        """Guards against callers shut out, and memory held, by clients that send requests without
        waiting for the answers."""
        crowd = Crowd(self.start(), 8, ORDINARY * N_PIPELINED)
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def limit_descriptors(self, number):
        resource.prlimit(self.process.process.pid, resource.RLIMIT_NOFILE,
                         (number, DESCRIPTORS_MAX))

    def test_no_descriptor_left(self):
        """Guards against an event loop that tries to accept without end when the system has no
        descriptor for a connection, and against a listener that stays closed afterwards."""
        port = self.start()
        with socket.create_connection((HOST, self.process.ports[3]), ANSWER_TIMEOUT_S) as client:
            client.sendall(METRICS)
            self.assertIn(b"200 OK", client.recv(65536))
            self.limit_descriptors(3)
            crowd = Crowd(port, N_FEW, b"")
            self.play(crowd, PLAY_S)
            client.sendall(METRICS)
            answer = client.recv(65536)
            self.limit_descriptors(DESCRIPTORS_MAX)
            self.play(crowd, PLAY_S)
            self.check(crowd)
            self.assertIn(b"200 OK", answer)

    def test_more_connections_than_descriptors(self):
        """Guards against callers and metrics shut out, and descriptors used up, when
        connections_max is higher than the system's limit of descriptors allows."""
        crowd = Crowd(self.start(connections_max=1000), N_CLIENTS, b"")
        self.play(crowd, PLAY_S)
        self.check(crowd)


if __name__ == "__main__":
    unittest.main()
