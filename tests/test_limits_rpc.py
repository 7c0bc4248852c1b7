#!/usr/bin/env python3
"""Tests the RPC listeners of a gateway and an entry, to which peers connect that never identify
themselves, never finish a record or never read."""
import socket
import struct
import unittest

from limits_testing import ANSWER_TIMEOUT_S, HOST, Crowd, LimitsTestCase

N_IDLE = 100
N_MORE_THAN_DESCRIPTORS = 200
N_UNFINISHED = 8  # whose records, all but the last byte, exceed the memory of the test
N_UNREAD = 8
N_LONG = 16
MANY_DESCRIPTORS = 1024
MANY_DESCRIPTORS_OPEN = 800
MEMORY_MB = 8
PLAY_S = 2

RECORD_MAX = 8388608
CONFIG_MAX = 1048576
LAST_FRAGMENT = 0x80000000
PROGRAM, PROGRAM_VERSION, RPC_VERSION, CALL = 0x20415A52, 1, 2, 0
HELLO_OF_PEER, STATE_OF_PEER = 19, 20  # between entries
NODE_HELLO, NODE_CATALOG, NODE_WITHDRAWN, NODE_REPORT, NODE_PULSE = 26, 28, 29, 33, 34


def record(procedure, body):
    call = struct.pack(">10I", 1, CALL, RPC_VERSION, PROGRAM, PROGRAM_VERSION, procedure,
                       0, 0, 0, 0) + body
    return struct.pack(">I", LAST_FRAGMENT | len(call)) + call


def text(value):
    return struct.pack(">I", len(value)) + value + b"\0" * (-len(value) % 4)


def node_hello(incarnation, address=b""):
    return record(NODE_HELLO, struct.pack(">Q", incarnation) + text(b"n%d" % incarnation)
                  + text(b"d0") + text(address))


# From a gateway that asks for the configuration.
PULSE = record(NODE_PULSE, struct.pack(">QIIIQ", 0, 0, 0, 1, 0))
UNFINISHED = struct.pack(">I", LAST_FRAGMENT | RECORD_MAX) + record(NODE_REPORT, b"")[4:].ljust(
    RECORD_MAX - 1, b"\0")


def procedures(client):
    """Generates the numbers of the procedures received, until the end of the connection."""
    stream = client.makefile("rb")
    while True:
        mark = stream.read(4)
        if len(mark) < 4:
            return
        call = stream.read(struct.unpack(">I", mark)[0] & ~LAST_FRAGMENT)
        if len(call) < 24:
            return
        yield struct.unpack(">I", call[20:24])[0]


class LimitsRpc(LimitsTestCase):
    """Checks in addition that an ordinary peer gets a session while the others are connected."""

    hello = node_hello(1)
    answer = NODE_WITHDRAWN

    def start(self, **arguments):
        super().start(**arguments)
        return self.process.ports[2]

    def has_session(self):
        try:
            with socket.create_connection((HOST, self.process.ports[2]),
                                          ANSWER_TIMEOUT_S) as client:
                client.sendall(self.hello)
                return self.answer in procedures(client)
        except OSError:
            return False

    def check(self, crowd, open_max=None):
        self.addCleanup(crowd.close)
        with self.subTest("session"):
            self.assertTrue(self.has_session())
        super().check(crowd, *([open_max] if open_max else []))


class LimitsOfAnyListener:
    def test_never_identified(self):
        """Guards against callers and peers shut out, and descriptors used up, by peers that connect
        and send nothing."""
        crowd = Crowd(self.start(), N_IDLE, b"")
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_more_connections_than_descriptors(self):
        """Guards against a process without descriptors."""
        crowd = Crowd(self.start(), N_MORE_THAN_DESCRIPTORS, b"")
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_slow_records(self):
        """Guards against descriptors used up by peers that send a byte of their first record at
        times."""
        crowd = Crowd(self.start(), N_IDLE, self.hello[:4], drip=b"\0", interval_s=0.5)
        self.play(crowd, PLAY_S)
        self.check(crowd)

    def test_unfinished_records(self):
        """Guards against memory exhausted by first records of the allowed length whose last byte
        doesn't come."""
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS, memory_mb=MEMORY_MB), N_UNFINISHED,
                      UNFINISHED)
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)


class LimitsRpcOfGateway(LimitsOfAnyListener, LimitsRpc):
    stranger_hello = node_hello(2, b"127.0.0.1:1")  # where nothing listens

    def test_long_records_with_the_start_of_the_next(self):
        """Guards against buffers that stay as large as the last record while they hold a byte."""
        catalog = record(NODE_CATALOG, struct.pack(">Q", 1) + text(b"x" * CONFIG_MAX))
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS, memory_mb=MEMORY_MB), N_LONG,
                      self.stranger_hello + catalog + b"\x80")
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def unread(self, first):
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS, memory_mb=MEMORY_MB, n_routes=300),
                      N_UNREAD, first + PULSE * 100, drip=PULSE, receive_bytes=4096)
        self.play(crowd, PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)

    def test_unread_configurations(self):
        """Guards against memory exhausted by peers that ask for the configuration again and again
        and don't read it."""
        self.unread(b"")

    def test_unread_configurations_after_a_hello(self):
        """Guards against the same by peers that say who they are."""
        self.unread(self.stranger_hello)


class LimitsRpcOfEntry(LimitsOfAnyListener, LimitsRpc):
    program = "entry"
    ordinary_status = 404
    hello = record(HELLO_OF_PEER, struct.pack(">Q", 1) + text(b"n1"))
    answer = HELLO_OF_PEER
    stranger_hello = record(HELLO_OF_PEER, struct.pack(">Q", 2) + text(b"n2"))

    def test_unread_acknowledgements(self):
        """Guards against memory exhausted by peers that don't read the acknowledgements of their
        messages."""
        state = record(STATE_OF_PEER, struct.pack(">QQQII", 1, 0, 0, 0, 0))
        crowd = Crowd(self.start(descriptors=MANY_DESCRIPTORS, memory_mb=MEMORY_MB), N_UNREAD,
                      self.stranger_hello + state * 120000, receive_bytes=4096)
        self.play(crowd, 2 * PLAY_S)
        self.check(crowd, MANY_DESCRIPTORS_OPEN)


if __name__ == "__main__":
    unittest.main()
