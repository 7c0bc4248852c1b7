#!/usr/bin/env python3
"""Tests a fleet with more entries than an agent has slots."""
import os
import tempfile
import time
import unittest

import smoke

BUILD = os.environ.get("BUILD", "build")


class ManyEntries(unittest.TestCase):
    def test_every_entry_holds_grants(self):
        """Guards against entries that get no grant because all agents prefer the same ones."""
        with tempfile.TemporaryDirectory() as directory:
            fleet = smoke.Fleet(BUILD, directory, 12, 12)
            try:
                fleet.start_all()
                self.assertEqual(fleet.publish().returncode, 0)
                smoke.wait_for("all agents connected to all entries",
                               lambda: self.are_connected(fleet), 30)
                # Grants from before all entries had joined expire after 5 s.
                time.sleep(7)
                self.assertTrue(self.all_have_grants(fleet))
            finally:
                for process in fleet.processes.values():
                    process.kill()
                    process.wait()

    @staticmethod
    def are_connected(fleet):
        counts = [len(smoke.request(port, "GET", "/v1/status")[1]["agents"])
                  for _, port in fleet.entries]
        return min(counts) == 12

    @staticmethod
    def all_have_grants(fleet):
        for _, port in fleet.entries:
            agents = smoke.request(port, "GET", "/v1/status")[1]["agents"]
            if sum(agent["grants"] for agent in agents) == 0:
                return False
        return True


if __name__ == "__main__":
    unittest.main()
