#!/usr/bin/env python3
"""Tests azurerock-ctl: it publishes a whole object set or nothing, and reports a revision as
accepted only if a majority of entries without it is impossible."""
import json
import os
import signal
import time
import unittest

from ctl_testing import CtlTestCase
from process_testing import ROOT


class CommandLineTest(CtlTestCase):
    def test_examples_are_valid(self):
        """Guards against example sets that can't be published."""
        for name in ("theatre", "swap", "demo"):
            code, out, err = self.ctl("check", os.path.join(ROOT, "examples", name))
            self.assertEqual((code, err), (0, ""))
            self.assertIn("3 domains, 1 upstreams, 1 services", out)

    def test_broken_reference_is_named(self):
        """Guards against errors without file, object or field, and against publishing such a
        set."""
        directory = self.copy_example()
        self.edit(directory, "services.json",
                  lambda services: services[0].update(policy="absent", colour=1))
        self.edit(directory, "teams.json", lambda teams: teams[0].update(weight=0))
        for command in ("check", "publish", "diff"):
            code, _, err = self.ctl(command, directory)
            self.assertEqual(code, 3)
            self.assertIn("services.json: service/seats: policy: no policy is named \"absent\"",
                          err)
            self.assertIn("services.json: service/seats: colour: unknown field", err)
            self.assertIn("teams.json: team/web: weight: 0 is out of range", err)
            self.assertIn("3 errors", err)
        self.assertIsNone(self.stored())

    def test_usage_errors(self):
        """Guards against exit code 0 for misspelled commands and options."""
        for arguments in ((), ("publish",), ("promote", "x"), ("check", "a", "b"),
                          ("--colour", "status"), ("status", "--log-level", "loud"),
                          ("publish", "x", "--wait", "-1")):
            self.assertEqual(self.ctl(*arguments)[0], 2, arguments)
        code, out, _ = self.ctl("--help")
        self.assertEqual(code, 0)
        for word in ("--version", "--config", "--check-config", "--log-level", "withdraw"):
            self.assertIn(word, out)
        self.assertEqual(self.ctl("--version")[1], "azurerock-ctl 0.1.0\n")

    def test_settings_errors(self):
        """Guards against invalid or unknown settings that are ignored silently."""
        path = os.path.join(self.folder, "ctl.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write('{"store": "localhost", "stroe": "127.0.0.1:1"}')
        for arguments in (("--check-config",), ("status",)):
            code, _, err = self.ctl("--config", path, *arguments)
            self.assertEqual(code, 3)
            self.assertIn("ctl.json: store: \"localhost\" must be a numeric IP address", err)
            self.assertIn("ctl.json: stroe: unknown field", err)
        valid = os.path.join(ROOT, "examples/theatre/settings/ctl.json")
        self.assertEqual(self.ctl("--config", valid, "--check-config")[0], 0)
        self.assertEqual(self.ctl("--config", "/nonexistent", "--check-config")[0], 3)


class AcceptanceTest(CtlTestCase):
    def start_publish(self, wait_s):
        return self.start_ctl("publish", os.path.join(ROOT, "examples", "theatre"), "--wait", wait_s)

    def publish(self):
        return self.finish(self.start_publish("1"))

    def test_half_of_the_members(self):
        """Guards against acceptance while a majority without the revision is possible."""
        entries = [self.add_entry(i, 0) for i in (11, 12, 13)]
        self.set_roster(4, [(entries[i], 11 + i, i + 1) for i in range(3)])
        entries[0].revision = 1
        code, out, _ = self.publish()
        self.assertEqual(code, 5)
        self.assertIn("1 of 3 entries have revision 1 in force\npublished, not yet accepted\n", out)
        entries[2].revision = 1
        code, out, _ = self.publish()
        self.assertEqual(code, 0)
        self.assertIn("no changes against revision 1\n2 of 3 entries have revision 1 in force\n"
                      "accepted\n", out)
        self.assertIn(": accepted", self.ctl("status")[1])

    def test_confirmation_is_kept_when_later_polls_get_no_answer(self):
        """Guards against acceptance that is missed because two entries answer at different times."""
        entries = [self.add_entry(11, 1, n_answers=1), self.add_entry(12, 0), self.add_entry(13, 0)]
        self.set_roster(4, [(entries[i], 11 + i, i + 1) for i in range(3)])
        code, out, _ = self.publish()
        self.assertEqual(code, 5)
        self.assertIn("1 of 3 entries have revision 1 in force\npublished, not yet accepted\n", out)
        entries[0].n_answers, entries[0].revision = 1, 1
        process = self.start_publish("5")
        self.wait_until(lambda: entries[0].n_answers < 0)
        entries[1].revision = 1
        code, out, _ = self.finish(process)
        self.assertEqual(code, 0)
        self.assertIn("2 of 3 entries have revision 1 in force\naccepted\n", out)

    def test_new_members_are_not_established(self):
        """Guards against acceptance by members that joined with the current table version."""
        old, new = self.add_entry(11, 0), self.add_entry(12, 1)
        self.set_roster(4, [(old, 11, 1), (new, 12, 4)])
        code, out, _ = self.publish()
        self.assertEqual(code, 5)
        self.assertIn("1 of 2 entries", out)
        old.revision = 1
        self.assertEqual(self.publish()[0], 0)

    def test_half_of_the_established_members_is_not_enough(self):
        """Guards against acceptance by one of two established members while the other and a new
        member are a majority that can start tasks without the revision."""
        entries = [self.add_entry(11 + i, 0) for i in range(3)]
        self.set_roster(3, [(entries[i], 11 + i, i + 1) for i in range(3)])
        entries[0].revision = 1
        code, out, _ = self.publish()
        self.assertEqual(code, 5)
        self.assertIn("1 of 3 entries", out)
        entries[2].revision = 1
        self.assertEqual(self.publish()[0], 0)

    def test_first_table_counts_its_member(self):
        """Guards against a single first entry whose confirmation never counts."""
        self.set_roster(1, [(self.add_entry(11, 7), 11, 1)])
        self.assertEqual(self.publish()[0], 0)

    def test_other_incarnation_is_not_counted(self):
        """Guards against counting the answer of another process at the address of a member."""
        self.set_roster(2, [(self.add_entry(99, 1), 11, 1)])
        self.assertEqual(self.publish()[0], 5)

    def test_no_roster_and_dead_entry(self):
        """Guards against acceptance by an empty roster and against waiting without limit."""
        started = time.monotonic()
        self.assertEqual(self.publish()[0], 5)
        self.set_roster(2, [("127.0.0.1:1", 11, 1)])
        code, out, _ = self.publish()
        self.assertEqual(code, 5)
        self.assertIn("0 of 1 entries", out)
        self.assertLess(time.monotonic() - started, 5)
        self.assertIn("no answer", self.ctl("status")[1])

    def test_stop_signal_ends_the_wait(self):
        """Guards against a stop signal that ends a publication without a report of its result."""
        self.set_roster(2, [(self.add_entry(11, 0), 11, 1)])
        process = self.start_ctl("publish", os.path.join(ROOT, "examples", "theatre"),
                                 "--wait", "20")
        self.wait_until(self.stored)
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        code, out, _ = self.finish(process)
        self.assertEqual(code, 5)
        self.assertIn("published, not yet accepted", out)
        self.assertLess(time.monotonic() - started, 3)


class PublishTest(CtlTestCase):
    def test_lost_answer(self):
        """Guards against a second write or a wrong report when the store's answer is lost."""
        directory = self.copy_example()
        self.set_faults(lose_write_answers=1)
        code, out, err = self.ctl("publish", directory, "--wait", "1", "-m", "first")
        self.assertEqual(code, 5)
        self.assertIn("published revision 1\n", out)
        self.assertIn("the store's answer was lost", err)
        self.assertEqual(self.stats()["txn"], 1)
        self.assertEqual(self.stored()["message"], "first")
        self.assertIn("revision 1 by", self.ctl("history")[1])

    def test_concurrent_publications(self):
        """Guards against two concurrent publications that both succeed, or conflicts without
        diff."""
        base = self.copy_example(copy="base")
        self.ctl("publish", base, "--wait", "0")
        first, second = self.copy_example(copy="first"), self.copy_example(copy="second")
        self.set_quota(first, 70)
        self.set_quota(second, 71)
        self.set_faults(delay_ms=300)
        runs = [self.start_ctl("publish", d, "--wait", "0") for d in (first, second)]
        results = [self.finish(run) for run in runs]
        self.assertEqual(sorted(code for code, _, _ in results), [4, 5])
        loser = results[0] if results[0][0] == 4 else results[1]
        self.assertIn("conflict: revision 2 was published by", loser[2])
        self.assertRegex(loser[1], r"~ team/web: quota_slots: 7[01] -> 7[01]")
        self.assertEqual(self.stored()["revision"], 2)
        keys = self.call("GET", "/v1/kv/azurerock/history/?keys").json()
        self.assertEqual(keys, ["azurerock/history/1", "azurerock/history/2"])

    def test_lost_answer_of_a_conflict(self):
        """Guards against taking the revision of another publisher for one's own."""
        directory = self.copy_example()
        other = self.copy_example(copy="other")
        self.set_quota(other, 70)
        self.set_faults(delay_ms=400)
        run = self.start_ctl("publish", directory, "--wait", "4")
        self.wait_until(lambda: self.stats()["txn"] == 1)
        self.set_faults(outage="close")
        self.set_faults(outage="off", delay_ms=0)
        self.assertEqual(self.ctl("publish", other, "--wait", "0")[0], 5)
        code, out, _ = self.finish(run)
        self.assertEqual(code, 4)
        self.assertIn("~ team/web: quota_slots: 70 -> 72", out)
        self.assertEqual(self.stored()["revision"], 1)

    def test_outage_before_the_write(self):
        """Guards against reporting a publication although the store is down."""
        self.set_faults(outage="error")
        code, _, err = self.ctl("publish", self.copy_example(), "--wait", "1")
        self.assertEqual(code, 1)
        self.assertIn("not published: store", err)

    def test_outage_during_the_write(self):
        """Guards against reporting success or failure while the store can't be read."""
        self.set_faults(delay_ms=400)
        run = self.start_ctl("publish", self.copy_example(), "--wait", "1")
        self.wait_until(lambda: self.stats()["txn"] == 1)
        self.set_faults(outage="close")
        code, _, err = self.finish(run)
        self.assertEqual(code, 1)
        self.assertIn("unknown whether revision 1 was published", err)

    def test_outage_that_loses_the_write(self):
        """Guards against reporting success although the write never took effect."""
        self.set_faults(delay_ms=400)
        run = self.start_ctl("publish", self.copy_example(), "--wait", "2")
        self.wait_until(lambda: self.stats()["txn"] == 1)
        self.set_faults(outage="error")
        time.sleep(0.5)
        self.set_faults(outage="off", delay_ms=0)
        code, _, err = self.finish(run)
        self.assertEqual(code, 1)
        self.assertIn("unknown whether revision 1 was published", err)
        self.assertIsNone(self.stored())

    def test_outage_after_the_write(self):
        """Guards against reporting a failure although the write took effect before an outage."""
        self.set_faults(lose_write_answers=1)
        run = self.start_ctl("publish", self.copy_example(), "--wait", "4")
        self.wait_until(lambda: self.stats()["lost_answers"] == 1)
        self.set_faults(outage="error")
        time.sleep(1)
        self.set_faults(outage="off")
        code, out, _ = self.finish(run)
        self.assertEqual(code, 5)
        self.assertIn("published revision 1", out)

    def test_parent(self):
        """Guards against overwriting a revision that is not the expected parent."""
        directory = self.copy_example()
        self.assertEqual(self.ctl("publish", directory, "--wait", "0", "--parent", "0")[0], 5)
        self.set_quota(directory, 70)
        code, out, _ = self.ctl("publish", directory, "--wait", "0", "--parent", "0")
        self.assertEqual(code, 4)
        self.assertIn("quota_slots: 72 -> 70", out)
        self.assertEqual(self.stored()["revision"], 1)


class WithdrawTest(CtlTestCase):
    def read(self, directory, name):
        with open(os.path.join(directory, "objects", name), encoding="utf-8") as file:
            return file.read()

    def test_edits_one_field(self):
        """Guards against edits that change other objects or the formatting of the file."""
        directory = self.copy_example()
        before = self.read(directory, "domains.json")
        code, out, _ = self.ctl("withdraw", "domain/south", directory)
        self.assertEqual(code, 0)
        self.assertIn(f"azurerock-ctl publish {directory}", out)
        after = self.read(directory, "domains.json")
        changed = [(a, b) for a, b in zip(before.splitlines(), after.splitlines()) if a != b]
        self.assertEqual(changed, [('    "in_service": true', '    "in_service": false')])
        self.assertFalse(json.loads(after)[1]["in_service"])
        self.ctl("restore", "domain/south", directory)
        self.assertEqual(self.read(directory, "domains.json"), before)
        self.assertIsNone(self.stored())

    def test_wrong_objects(self):
        """Guards against success for an object that doesn't exist or can't be withdrawn."""
        directory = self.copy_example()
        self.assertEqual(self.ctl("withdraw", "team/web", directory)[0], 2)
        self.assertEqual(self.ctl("withdraw", "south", directory)[0], 2)
        code, _, err = self.ctl("withdraw", "domain/east", directory)
        self.assertEqual(code, 3)
        self.assertIn("domain/east: no such object", err)

    def test_publish_and_events(self):
        """Guards against publications without the events that the history checker reads."""
        directory = self.copy_example()
        events = os.path.join(self.folder, "events")
        self.set_roster(2, [(self.add_entry(11, 2), 11, 1)])
        self.assertEqual(self.ctl("publish", directory, "--event-log", events)[0], 0)
        code, out, _ = self.ctl("withdraw", "domain/west", directory, "--publish", "-m", "flood",
                                "--event-log", events)
        self.assertEqual(code, 0)
        self.assertIn("~ domain/west: in_service: true -> false\n", out)
        with open(events, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file]
        self.assertEqual([(e["event"], e["revision"], e["withdrawn_domains"]) for e in lines],
                         [("publish", "1", ""), ("accepted", "1", ""),
                          ("publish", "2", "west"), ("accepted", "2", "west")])
        self.assertEqual(lines[2]["publish_id"], self.stored()["publish_id"])
        self.assertIn("withdrawn domains: west", self.ctl("status")[1])
        history = self.ctl("history")[1]
        self.assertIn(": flood\n  ~ domain/west: in_service: true -> false\n", history)


if __name__ == "__main__":
    unittest.main()
