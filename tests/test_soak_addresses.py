#!/usr/bin/env python3
"""Tests that soaks that run at the same time don't use the same addresses."""
import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
import unittest

from process_testing import ROOT, TEST_TIMEOUT_S
from soak import Soak

SEED = 1  # the same in all runs


async def claim_two_networks():
    options = argparse.Namespace(build="build", seed=SEED, keep=None, gateways=1, sidecars=1)
    with tempfile.TemporaryDirectory() as options.keep:
        soaks = [Soak(options), Soak(options)]
        for soak in soaks:
            await soak.claim_network()
        for soak in soaks:
            soak.store_server.close()
        return [soak.network for soak in soaks]


class SoakAddresses(unittest.TestCase):
    def test_busy_network_is_not_claimed(self):
        """Guards against "address already in use" if the first choices of two runs are equal."""
        first, second = asyncio.run(claim_two_networks())
        self.assertNotEqual(first, second)

    def test_soaks_started_together_pass(self):
        """Guards against "address already in use" when two CI runs play the same seed."""
        with tempfile.TemporaryDirectory() as folder:
            processes = [subprocess.Popen(
                [sys.executable, os.path.join(ROOT, "tests", "soak.py"), "--seed", str(SEED),
                 "--build", os.environ.get("BUILD", "build"), "--seconds", "1",
                 "--keep", os.path.join(folder, str(i))],
                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True) for i in range(2)]
            for process in processes:
                output, _ = process.communicate(timeout=TEST_TIMEOUT_S)
                self.assertEqual(process.returncode, 0, output)


if __name__ == "__main__":
    unittest.main()
