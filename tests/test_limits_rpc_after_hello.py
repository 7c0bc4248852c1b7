#!/usr/bin/env python3
"""Tests the RPC listeners of a gateway and an entry with peers that identify themselves and never
finish a record."""
import unittest

import test_limits_rpc as rpc
from limits_testing import Crowd


class LimitsAfterHello:
    def test_unfinished_records_after_a_hello(self):
        """Guards against memory exhausted by peers that say who they are before they send such
        records."""
        crowd = Crowd(self.start(descriptors=rpc.MANY_DESCRIPTORS, memory_mb=rpc.MEMORY_MB),
                      rpc.N_UNFINISHED, self.stranger_hello + rpc.UNFINISHED)
        self.play(crowd, 2 * rpc.PLAY_S)
        self.check(crowd, rpc.MANY_DESCRIPTORS_OPEN)


class LimitsAfterHelloOfGateway(LimitsAfterHello, rpc.LimitsRpc):
    stranger_hello = rpc.LimitsRpcOfGateway.stranger_hello


class LimitsAfterHelloOfEntry(LimitsAfterHello, rpc.LimitsRpc):
    program = rpc.LimitsRpcOfEntry.program
    ordinary_status = rpc.LimitsRpcOfEntry.ordinary_status
    hello = rpc.LimitsRpcOfEntry.hello
    answer = rpc.LimitsRpcOfEntry.answer
    stranger_hello = rpc.LimitsRpcOfEntry.stranger_hello


if __name__ == "__main__":
    unittest.main()
