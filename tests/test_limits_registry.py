#!/usr/bin/env python3
"""Tests a sidecar whose registry listener has clients outside the limits."""
import unittest

from limits_testing import ORDINARY, Crowd, LimitsTestCase

HEAD = b"PUT /x HTTP/1.1\r\nhost: h.example\r\n"
BODY_BYTES = 65536
N_CLIENTS = 100  # that exceed the descriptors if each has two
N_FULL = 240  # whose bodies, all but the end, exceed the buffer more than three times
MANY_DESCRIPTORS = 1024
MANY_DESCRIPTORS_OPEN = 800
PLAY_S = 2


class LimitsRegistry(LimitsTestCase):
    program = "sidecar"
    ordinary_status = 404

    def test_unfinished_bodies(self):
        """Guards against memory exhausted by bodies inside the limit of one body."""
        request = HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 100)
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS), N_FULL, request)
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def test_slow_heads(self):
        """Guards against an upstream shut out by clients that send a byte of the head at times."""
        crowd = Crowd(self.start(), N_CLIENTS, ORDINARY[:-2], drip=b"x")
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_slow_bodies(self):
        """Guards against an upstream shut out by clients that send a byte of the body at times."""
        crowd = Crowd(self.start(), N_CLIENTS, HEAD + b"content-length: 1000\r\n\r\n", drip=b"x")
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_idle_connections(self):
        """Guards against an upstream shut out by clients that connect and send nothing."""
        crowd = Crowd(self.start(), N_CLIENTS, b"")
        self.play(crowd, PLAY_S)
        self.check(crowd)


if __name__ == "__main__":
    unittest.main()
