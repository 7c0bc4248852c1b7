#!/usr/bin/env python3
"""Tests that the stand-in store follows the Consul protocol and applies injected faults."""
import base64
import json
import threading
import time
import unittest

from process_testing import StoreTestCase


def encode(text):
    return base64.b64encode(text.encode()).decode()


def operation(verb, key, value, index=0):
    return {"KV": {"Verb": verb, "Key": key, "Value": encode(value), "Index": index}}


class StandinStoreTest(StoreTestCase):
    def put(self, key, value, query=""):
        return self.call("PUT", f"/v1/kv/{key}{query}", value).json()

    def get(self, key, query=""):
        return self.call("GET", f"/v1/kv/{key}{query}")

    def txn(self, *operations):
        return self.call("PUT", "/v1/txn", json.dumps(operations))

    def test_compare_and_swap(self):
        """Guards against a stale writer overwriting a newer value."""
        self.assertTrue(self.put("k", "one", "?cas=0"))
        self.assertFalse(self.put("k", "two", "?cas=0"))
        entry = self.get("k").json()[0]
        self.assertEqual(base64.b64decode(entry["Value"]), b"one")
        self.assertTrue(self.put("k", "two", f"?cas={entry['ModifyIndex']}"))
        self.assertFalse(self.put("k", "three", f"?cas={entry['ModifyIndex']}"))
        self.assertEqual(self.get("missing").status, 404)

    def test_transaction_is_atomic(self):
        """Guards against half of a transaction taking effect."""
        self.assertEqual(self.txn(operation("cas", "a", "1"), operation("cas", "b", "1")).status,
                         200)
        answer = self.txn(operation("set", "a", "2"), operation("cas", "b", "2", 999))
        self.assertEqual(answer.status, 409)
        self.assertEqual(answer.json()["Errors"][0]["OpIndex"], 1)
        first, second = self.get("", "?recurse").json()
        self.assertEqual(first["Value"], encode("1"))
        self.assertEqual(first["ModifyIndex"], second["ModifyIndex"])
        self.assertEqual(self.txn({"KV": {"Verb": "lock", "Key": "a", "Value": ""}}).status, 400)
        self.assertEqual(self.call("PUT", "/v1/txn", "{").status, 400)

    def test_keys_and_recurse(self):
        """Guards against listing keys that don't have the prefix."""
        for key in ("p/b", "p/a", "q"):
            self.put(key, "x")
        self.assertEqual(self.get("p/", "?keys").json(), ["p/a", "p/b"])
        self.assertEqual([e["Key"] for e in self.get("p/", "?recurse").json()], ["p/a", "p/b"])

    def test_blocking_read(self):
        """Guards against a blocking read that misses a change or returns early on other keys."""
        self.put("w/k", "1")
        index = self.get("w/", "?keys").index
        started = time.monotonic()
        self.put("other", "x")
        answer = self.get("w/", f"?keys&index={index}&wait=300ms")
        self.assertGreater(time.monotonic() - started, 0.25)
        self.assertEqual(answer.index, index)
        answers = []
        reader = threading.Thread(
            target=lambda: answers.append(self.get("w/", f"?keys&index={index}&wait=5s")))
        reader.start()
        self.wait_until(lambda: self.stats()["waiting"] == 1)
        self.put("w/new", "2")
        reader.join(3)
        self.assertEqual(answers[0].json(), ["w/k", "w/new"])
        self.assertGreater(int(answers[0].index), int(index))

    def test_deletion_raises_the_index(self):
        """Guards against blocking reads that miss deletions."""
        self.put("d/k", "1")
        index = int(self.get("d/", "?keys").index)
        self.call("DELETE", "/v1/kv/d/k")
        answer = self.get("d/", f"?keys&index={index}&wait=5s")
        self.assertEqual(answer.status, 404)
        self.assertGreater(int(answer.index), index)

    def create_session(self, ttl):
        return self.call("PUT", "/v1/session/create", json.dumps({"TTL": ttl})).json()["ID"]

    def test_session_expires(self):
        """Guards against sessions that outlive their TTL or expire although they are renewed."""
        session = self.create_session("600ms")
        self.assertTrue(self.put("s/k", "v", f"?acquire={session}"))
        other = self.create_session("10s")
        self.assertFalse(self.put("s/k", "v", f"?acquire={other}"))
        for _ in range(4):
            time.sleep(0.25)
            self.assertEqual(self.call("PUT", f"/v1/session/renew/{session}").status, 200)
        self.assertEqual(self.get("s/k").json()[0]["Session"], session)
        self.wait_until(lambda: self.get("s/k").status == 404, 3)
        self.assertEqual(self.call("PUT", f"/v1/session/renew/{session}").status, 404)
        self.assertFalse(self.put("s/k", "v", f"?acquire={session}"))

    def test_destroyed_session(self):
        """Guards against keys that stay locked after their session was destroyed."""
        session = self.create_session("10s")
        self.put("s/k", "v", f"?acquire={session}")
        self.call("PUT", f"/v1/session/destroy/{session}")
        self.assertEqual(self.get("s/k").status, 404)

    def test_outage(self):
        """Guards against an outage that loses data or lets sessions expire."""
        session = self.create_session("300ms")
        self.put("s/k", "v", f"?acquire={session}")
        self.set_faults(outage="error")
        self.assertEqual(self.get("s/k").status, 500)
        self.set_faults(outage="close")
        with self.assertRaises(OSError):
            self.get("s/k")
        time.sleep(0.5)
        self.set_faults(outage="off")
        self.assertEqual(self.get("s/k").status, 200)
        self.wait_until(lambda: self.get("s/k").status == 404, 3)
        self.assertGreaterEqual(self.stats()["failed"], 2)

    def test_outage_ends_blocking_reads(self):
        """Guards against a blocking read that stays open when an outage begins."""
        self.put("w/k", "1")
        index = self.get("w/", "?keys").index
        answers = []
        reader = threading.Thread(
            target=lambda: answers.append(self.get("w/", f"?keys&index={index}&wait=30s")))
        reader.start()
        self.wait_until(lambda: self.stats()["waiting"] == 1)
        self.set_faults(outage="error")
        reader.join(3)
        self.assertEqual(answers[0].status, 500)

    def test_lost_answer(self):
        """Guards against dropping an answer whose write had no effect, or too many answers."""
        self.set_faults(lose_write_answers=1)
        self.assertEqual(self.get("l").status, 404)
        with self.assertRaises(OSError):
            self.put("l", "v")
        self.assertEqual(self.get("l").json()[0]["Value"], encode("v"))
        self.assertTrue(self.put("l", "v2"))
        self.assertEqual(self.stats()["lost_answers"], 1)

    def test_delay_and_limits(self):
        """Guards against faults without effect and rate limits that block the fault settings."""
        self.set_faults(delay_ms=200)
        started = time.monotonic()
        self.put("k", "v")
        self.assertGreater(time.monotonic() - started, 0.19)
        self.set_faults(delay_ms=0, writes_per_s=5, reads_per_s=5)
        writes = [self.call("PUT", "/v1/kv/k", "v").status for _ in range(12)]
        reads = [self.get("k").status for _ in range(12)]
        self.assertIn(200, writes)
        self.assertIn(429, writes)
        self.assertIn(429, reads)
        self.assertEqual(self.stats()["limited"], writes.count(429) + reads.count(429))
        self.assertEqual(self.call("PUT", "/standin/faults", '{"colour": 1}').status, 400)

    def test_stop_with_pending_read(self):
        """Guards against a shutdown that waits for blocking reads."""
        self.put("w/k", "1")
        index = self.get("w/", "?keys").index
        reader = threading.Thread(target=self.ignore_failure,
                                  args=(lambda: self.get("w/", f"?keys&index={index}&wait=30s"),))
        reader.start()
        self.wait_until(lambda: self.stats()["waiting"] == 1)
        started = time.monotonic()
        self.assertEqual(self.store.stop(), 0)
        self.assertLess(time.monotonic() - started, 3)
        reader.join(3)

    @staticmethod
    def ignore_failure(function):
        try:
            function()
        except OSError:
            pass


if __name__ == "__main__":
    unittest.main()
