#!/usr/bin/env python3
"""Runs real processes under load with faults drawn from a seed, then checks rules R1 to R9.

history_check.py lists the rules.

Usage: histories.py --seed N [--seconds S] [--build DIR]
"""
import argparse
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

import history_check
from history_fleet import N_AGENTS, N_ENTRIES, Fleet
from history_load import Callers, Operators
from smoke import request, wait_for

KINDS = ("kill", "kill", "freeze", "freeze", "cut", "isolate", "stop", "stop", "outage", "slow",
         "lose_answers")
STOP_TIMEOUT_S = 30
IDLE_BEFORE_STOP_S = 3
ENTRIES = ["entry-%d" % i for i in range(N_ENTRIES)]
AGENTS = ["worker-%d" % i for i in range(N_AGENTS)]


def draw_targets(rng, kind):
    if kind == "cut":
        return sorted(rng.choice((rng.sample(ENTRIES, 2),
                                  [rng.choice(ENTRIES), rng.choice(AGENTS)])))
    if kind == "isolate":
        return [rng.choice(ENTRIES)]
    if kind in ("kill", "freeze", "stop"):
        return [rng.choice(rng.choice((ENTRIES, AGENTS)))]
    return ["store"]


def draw_plan(rng, seconds):
    """Returns faults as (time, kind, targets, duration, variant). At each time one fault begins,
    or with a probability of 1/3 two.

    @variant selects one of two forms of the fault, for example the same or new ports at a restart.
    """
    plan, at = [], rng.uniform(1, 3)
    while at < seconds - 2:
        for _ in range(rng.choice((1, 1, 2))):
            kind = rng.choice(KINDS)
            duration = rng.uniform(1, 15 if kind == "freeze" else 6)
            plan.append((at, kind, draw_targets(rng, kind), duration, rng.random() < 0.5))
        at += rng.uniform(1.5, 5)
    return plan


class Faults:
    """Injects faults; each process and the store are the target of at most one at a time."""

    def __init__(self, fleet, callers):
        self.fleet, self.callers = fleet, callers
        self.faulted_targets = set()
        self.lock = threading.Lock()
        self.threads = []

    def inject(self, fault):
        _, kind, targets, duration, variant = fault
        with self.lock:
            n_entries = len([n for n in self.faulted_targets | set(targets)
                             if n.startswith("entry")])
            if self.faulted_targets & set(targets) or n_entries >= N_ENTRIES:
                return
            self.faulted_targets |= set(targets)
        thread = threading.Thread(target=self.run_fault, args=(kind, targets, duration, variant))
        self.threads.append(thread)
        thread.start()

    def run_fault(self, kind, targets, duration, variant):
        getattr(self, kind)(targets, duration, variant)
        with self.lock:
            self.faulted_targets -= set(targets)

    def log_phase(self, kind, targets, phase):
        self.fleet.log.write("fault", kind=kind, targets=targets, phase=phase)

    def kill(self, targets, duration, variant):
        name = targets[0]
        self.log_phase("kill", targets, "once")
        self.fleet.signal(name, signal.SIGKILL)
        self.fleet.wait(name, 5)
        time.sleep(duration / 2)
        self.fleet.start_instance(name, variant)

    def freeze(self, targets, duration, _variant):
        self.log_phase("freeze", targets, "begin")
        self.fleet.signal(targets[0], signal.SIGSTOP)
        time.sleep(duration)
        self.fleet.signal(targets[0], signal.SIGCONT)
        self.log_phase("freeze", targets, "end")

    def cut(self, targets, duration, variant, kind="cut"):
        mode = "stall" if variant else "close"
        self.log_phase(kind, targets, "begin")
        self.fleet.network.cut(targets, mode)
        time.sleep(duration)
        self.fleet.network.heal(targets, mode)
        self.log_phase(kind, targets, "end")

    def isolate(self, targets, duration, variant):
        self.cut(targets, duration, variant, "isolate")

    def stop(self, targets, duration, variant):
        name = targets[0]
        self.fleet.log.write("sigterm", instance=name)
        self.callers.stopping.add(name)
        self.fleet.signal(name, signal.SIGTERM)
        if self.fleet.wait(name, STOP_TIMEOUT_S) is None:
            self.log_phase("kill", targets, "once")
            self.fleet.signal(name, signal.SIGKILL)
            self.fleet.wait(name, 5)
        time.sleep(duration / 4)
        self.fleet.start_instance(name, variant)
        self.callers.stopping.discard(name)

    def store_fault(self, kind, duration, on, off):
        self.log_phase(kind, ["store"], "begin")
        self.fleet.set_store_faults(**on)
        time.sleep(duration)
        self.fleet.set_store_faults(**off)
        self.log_phase(kind, ["store"], "end")

    def outage(self, _targets, duration, variant):
        self.store_fault("outage", duration, {"outage": "error" if variant else "close"},
                         {"outage": "off"})

    def slow(self, _targets, duration, variant):
        self.store_fault("slow", duration, {"delay_ms": 800 if variant else 200}, {"delay_ms": 0})

    def lose_answers(self, _targets, duration, _variant):
        self.store_fault("lose_answers", duration, {"lose_write_answers": 3},
                         {"lose_write_answers": 0})


def run_load(fleet, seed, seconds):
    stop = threading.Event()
    operators = Operators(fleet, seed, stop)
    if operators.publish(0, set(), 40) != 0:
        raise AssertionError("the first publication failed")
    wait_for("all entries ready and all agents connected", fleet.is_ready, 20)
    callers = Callers(fleet, seed, stop)
    operators.thread.start()
    faults = Faults(fleet, callers)
    begin = time.monotonic()
    for fault in draw_plan(random.Random(seed), seconds):
        time.sleep(max(0, begin + fault[0] - time.monotonic()))
        faults.inject(fault)
    time.sleep(max(0, begin + seconds - time.monotonic()))
    stop.set()
    operators.thread.join()
    for thread in faults.threads:
        thread.join()
    callers.join()


def stop_all(fleet):
    time.sleep(IDLE_BEFORE_STOP_S)
    for name in AGENTS + ENTRIES:
        fleet.log.write("sigterm", instance=name)
        fleet.signal(name, signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for name in AGENTS + ENTRIES:
        fleet.wait(name, max(0, deadline - time.monotonic()))
    fleet.log_start_counts()
    fleet.log_publications()
    time.sleep(0.2)


def run(seed, seconds, build, directory):
    fleet = Fleet(build, directory)
    try:
        fleet.start_all()
        wait_for("status of all entries", lambda: all(request(port, "GET", "/v1/status")[0] == 200
                                                      for port in fleet.http.values()))
        run_load(fleet, seed, seconds)
        stop_all(fleet)
    finally:
        fleet.kill_all()
    return history_check.report(history_check.History(history_check.read_events(directory)))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    os.makedirs(os.path.join(options.build, "histories"), exist_ok=True)
    directory = tempfile.mkdtemp(prefix="seed-%d-" % options.seed,
                                 dir=os.path.join(options.build, "histories"))
    print("seed %d" % options.seed, flush=True)
    if run(options.seed, options.seconds, options.build, directory):
        print("logs: %s\nrepeat: python3 tests/histories.py --seed %d --seconds %g" % (
            directory, options.seed, options.seconds))
        return 1
    shutil.rmtree(directory)
    return 0


if __name__ == "__main__":
    sys.exit(main())
