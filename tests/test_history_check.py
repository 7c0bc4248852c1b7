#!/usr/bin/env python3
"""Tests that history_check finds each planted violation and reports none in a clean log."""
import os
import subprocess
import sys
import tempfile
import json
import unittest

import history_check
from process_testing import ROOT

SECOND = 1000000


class Log:
    """Events of a run without violations: two entries, one agent, three jobs, one withdrawal."""

    def __init__(self):
        self.events = []
        for name, role in (("entry-0", "entry"), ("entry-1", "entry"), ("worker-0", "agent")):
            self.add(0, "spawn", instance=name, role=role)
            self.add(0.1, "revision", instance=name, revision="1")
        self.publish(0.05, 1, "")
        self.call(1, 1.0, "j1", 2)
        for task in (0, 1):
            self.start(1.1, "j1", task)
            self.finish(1.2, "j1", task)
        self.respond(1, 1.3, "done", results=["j1/0", "j1/1"])
        self.call(2, 1.4, "j2", 1, purchase=True)
        self.start(1.5, "j2", 0)
        self.finish(1.6, "j2", 0)
        self.respond(2, 1.7, "done", results=["j2/0"])
        self.call(3, 1.8, "j3", 1)
        self.respond(3, 1.9, "not_run", code="queue_full")
        self.publish(2, 2, "a")
        for name in ("entry-0", "entry-1", "worker-0"):
            self.add(3, "revision", instance=name, revision="2")
        self.add(20, "sigterm", instance="worker-0")
        self.add(21, "exit", instance="worker-0", code=0)
        self.add(20, "sigterm", instance="entry-1")
        self.add(26, "exit", instance="entry-1", code=0)
        self.add(30, "counts", tasks={"j1/0": 1, "j1/1": 1, "j2/0": 1})

    def add(self, seconds, event, **fields):
        self.events.append(dict(fields, event=event, mono_us=int(seconds * SECOND)))
        return self.events[-1]

    def publish(self, seconds, revision, withdrawn, accepted=True):
        for event in ("publish", "accepted")[:1 + accepted]:
            self.add(seconds, event, revision=str(revision), publish_id="p%d" % revision,
                     withdrawn_domains=withdrawn)

    def call(self, number, seconds, job, tasks, **fields):
        self.add(seconds, "call", call=number, job=job, tasks=tasks, entry="entry-0", **fields)

    def respond(self, number, seconds, outcome, **fields):
        job = next(e["job"] for e in self.events if e.get("call") == number)
        fields.setdefault("id", job)
        self.add(seconds, "response", call=number, job=job, outcome=outcome, **fields)

    def start(self, seconds, job, task, revision=1):
        self.add(seconds, "start", job=job, task=str(task), attempt="1", instance="worker-0",
                 incarnation="7", domain="a", revision=str(revision))

    def finish(self, seconds, job, task, status="ok"):
        self.add(seconds, "finish", job=job, task=str(task), attempt="1", instance="worker-0",
                 incarnation="7", status=status)

    def find(self, event, **fields):
        return next(e for e in self.events if e["event"] == event
                    and all(e.get(key) == value for key, value in fields.items()))

    def rules(self):
        events = sorted(self.events, key=lambda event: event["mono_us"])
        return {v.rule for v in history_check.find_violations(history_check.History(events))}


class HistoryCheckTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()

    def assert_finds(self, *rules):
        self.assertEqual(self.log.rules(), set(rules))

    def test_clean(self):
        """Guards against violations reported in a run that keeps all rules."""
        self.assert_finds()

    def test_second_start_at_agent(self):
        self.log.start(1.15, "j1", 1)
        self.log.finish(1.2, "j1", 1)
        self.assert_finds("R1")

    def test_second_start_at_upstream(self):
        self.log.find("counts")["tasks"]["j1/0"] = 2
        self.assert_finds("R1")

    def test_partial_answer(self):
        self.log.find("response", call=1)["results"] = ["j1/0"]
        self.assert_finds("R2")

    def test_empty_result(self):
        """Guards against an empty result reported as the result of another request."""
        self.log.find("response", call=1)["results"] = ["j1/0", ""]
        self.assert_finds("R2")

    def test_results_of_a_failed_job(self):
        self.log.find("response", call=1).update(outcome="failed", code="cancelled")
        self.assert_finds("R2")

    def test_start_after_withdrawal(self):
        self.log.call(9, 5, "j9", 1)
        self.log.start(5.1, "j9", 0, revision=2)
        self.log.finish(5.2, "j9", 0)
        self.log.respond(9, 5.3, "done", results=["j9/0"])
        self.assert_finds("R3")

    def test_start_after_restoration(self):
        """Guards against violations reported for starts in a domain that has been restored."""
        self.test_start_after_withdrawal()
        self.log.publish(4.9, 3, "", accepted=False)
        self.assert_finds()

    def test_restoration_that_lost_its_race(self):
        """Guards against a missed violation: a restoration that lost its race took no effect."""
        self.test_start_after_withdrawal()
        self.log.publish(4.9, 3, "", accepted=False)
        self.log.add(30, "history", publications=[[1, "p1"], [2, "p2"]])
        self.assert_finds("R3")

    def test_foreign_answer(self):
        self.log.find("response", call=1)["results"] = ["j1/0", "j2/0"]
        self.assert_finds("R4")

    def test_answer_of_other_job(self):
        self.log.find("response", call=1)["id"] = "j2"
        self.assert_finds("R4")

    def test_different_answer_to_resubmission(self):
        self.log.call(9, 1.8, "j1", 2)
        self.log.respond(9, 1.9, "failed", code="cancelled")
        self.assert_finds("R4")

    def test_not_run_after_start(self):
        self.log.find("response", call=2).update(outcome="not_run", results=None)
        self.assert_finds("R5")

    def test_start_after_not_run(self):
        self.log.start(2, "j3", 0)
        self.log.finish(2.1, "j3", 0)
        self.assert_finds("R5")

    def test_start_after_resubmission(self):
        """Guards against violations reported when a job that was not run is submitted again."""
        self.log.call(9, 1.95, "j3", 1)
        self.log.start(2, "j3", 0)
        self.log.finish(2.1, "j3", 0)
        self.log.respond(9, 2.2, "done", results=["j3/0"])
        self.assert_finds()

    def test_wrongly_not_started(self):
        self.log.find("finish", job="j1", task="0")["status"] = "not_started"
        self.assert_finds("R5")

    def test_second_purchase(self):
        self.log.find("counts")["tasks"]["j2/0"] = 2
        self.assert_finds("R1", "R6")

    def test_start_while_leaving(self):
        self.log.find("exit", instance="worker-0")["mono_us"] = 25 * SECOND
        self.log.publish(10, 3, "", accepted=False)
        self.log.call(9, 23, "j9", 1)
        self.log.start(23.5, "j9", 0, revision=3)
        self.log.finish(23.6, "j9", 0)
        self.log.respond(9, 24, "done", results=["j9/0"])
        self.assert_finds("R7")

    def test_stop_with_tasks_in_flight(self):
        self.log.events.remove(self.log.find("finish", job="j1", task="0"))
        self.assert_finds("R7")

    def test_exit_code(self):
        self.log.find("exit", instance="entry-1")["code"] = 1
        self.assert_finds("R8")

    def test_no_end(self):
        self.log.events.remove(self.log.find("exit", instance="entry-1"))
        self.assert_finds("R8")

    def test_lost_answer(self):
        self.log.find("response", call=1).update(outcome="lost", results=None)
        self.assert_finds("R8")

    def test_lost_answer_of_killed_entry(self):
        """Guards against violations reported for calls that a killed process did not answer."""
        self.test_lost_answer()
        self.log.add(1.25, "fault", kind="kill", targets=["entry-0"], phase="once")
        self.assert_finds()

    def test_lost_answer_between_kill_and_exit(self):
        """Guards against violations reported for calls that a killed process accepted before its
        exit."""
        self.test_lost_answer()
        self.log.add(0.998, "fault", kind="kill", targets=["entry-0"], phase="once")
        self.assert_finds("R8")
        self.log.add(1.001, "exit", instance="entry-0", code=-9)
        self.assert_finds()

    def test_unknown_without_fault(self):
        self.log.find("response", call=1).update(outcome="unknown", results=None)
        self.assert_finds("R8")

    def test_unknown_after_cancellation(self):
        """Guards against violations reported for a cancelled job whose outcome is unknown."""
        self.test_unknown_without_fault()
        self.log.add(1.05, "cancel", job="j1")
        self.assert_finds()

    def test_lower_revision(self):
        self.log.add(4, "revision", instance="entry-1", revision="1")
        self.assert_finds("R9")

    def test_revision_not_in_force(self):
        self.log.events.remove(self.log.find("revision", instance="entry-1", revision="2"))
        self.assert_finds("R9")

    def test_revision_at_frozen_process(self):
        """Guards against violations reported for a frozen process that adopts no revision."""
        self.log.find("revision", instance="entry-1", revision="2")["mono_us"] = 15 * SECOND
        for seconds, phase in ((2, "begin"), (12, "end")):
            self.log.add(seconds, "fault", kind="freeze", targets=["entry-1"], phase=phase)
        self.assert_finds()

    def test_start_under_old_revision(self):
        self.log.publish(10, 3, "", accepted=False)
        self.log.call(9, 11, "j9", 1)
        self.log.start(11.1, "j9", 0, revision=1)
        self.log.finish(11.2, "j9", 0)
        self.log.respond(9, 11.3, "done", results=["j9/0"])
        self.assert_finds("R9")

    def test_command(self):
        """Guards against an exit code of 0 in spite of a violation. The last line of an event log
        may be incomplete."""
        self.log.find("counts")["tasks"]["j1/0"] = 2
        with tempfile.TemporaryDirectory() as directory:
            with open(os.path.join(directory, "x.events"), "w", encoding="utf-8") as file:
                file.writelines(json.dumps(event) + "\n" for event in self.log.events)
                file.write('{"event": "sta')
            result = subprocess.run(
                [sys.executable, os.path.join(ROOT, "tests", "history_check.py"), directory],
                capture_output=True, text=True, timeout=30, check=False)
        self.assertEqual(result.returncode, 1, result.stderr)
        self.assertIn("violated: R1, 1 times", result.stdout)


if __name__ == "__main__":
    unittest.main()
