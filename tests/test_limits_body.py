#!/usr/bin/env python3
"""Tests a gateway whose clients leave the bodies of their requests unfinished."""
import socket
import unittest

from limits_testing import ANSWER_TIMEOUT_S, HOST, Crowd, LimitsTestCase

HEAD = b"POST /jobs/%s HTTP/1.1\r\nhost: h.example\r\n" % (b"j" * 32)
BODY_BYTES = 262144
N_FULL = 64  # whose bodies, all but the end, exceed the buffer four times
MANY_DESCRIPTORS = 1024
MANY_DESCRIPTORS_OPEN = 800
N_EMPTY = 100  # that exceed the descriptors if each has two
PLAY_S = 2


def announced(length):
    return HEAD + b"content-length: %d\r\n\r\n" % length


def unfinished():
    return announced(BODY_BYTES) + b"x" * (BODY_BYTES - 100)


class LimitsBody(LimitsTestCase):
    def test_announced_bodies_that_do_not_come(self):
        """Guards against callers shut out by clients that announce a body and send nothing."""
        crowd = Crowd(self.start(), N_EMPTY, announced(BODY_BYTES))
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_announced_bodies_over_the_limit(self):
        """Guards against memory held for a body that is announced as far too long."""
        crowd = Crowd(self.start(), N_EMPTY, announced(1 << 30) + b"x" * (1 << 20))
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_unfinished_bodies(self):
        """Guards against memory exhausted by bodies inside the limit of one body."""
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS), N_FULL, unfinished())
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def test_unfinished_bodies_at_once(self):
        """Guards against a limit that is only checked between iterations of the event loop: after a
        pause, all bodies arrive in one iteration."""
        port = self.start(descriptors=MANY_DESCRIPTORS)
        crowd = Crowd(port, N_FULL, unfinished())
        self.process.pause()
        self.play(crowd, 1)
        self.process.resume()
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def test_buffers_kept_by_the_next_request(self):
        """Guards against the memory of an answered request that is held because the next one has
        begun with one byte."""
        port = self.start(descriptors=MANY_DESCRIPTORS)
        crowd = Crowd(port, 0, b"")
        for _ in range(N_FULL):
            client = socket.create_connection((HOST, port), ANSWER_TIMEOUT_S)
            client.sendall(announced(BODY_BYTES) + b"x" * BODY_BYTES + b"P")
            client.recv(4096)
            crowd.unsent[client] = memoryview(b"")
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def test_chunked_bodies_without_end(self):
        """Guards against memory exhausted by bodies whose length isn't announced."""
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS), N_FULL,
                      HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunk * 56)
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def test_slow_bodies(self):
        """Guards against callers shut out by clients that send a byte of the body at times."""
        crowd = Crowd(self.start(), N_EMPTY, announced(BODY_BYTES), drip=b"x")
        self.play(crowd, PLAY_S)
        self.check(crowd)


if __name__ == "__main__":
    unittest.main()
