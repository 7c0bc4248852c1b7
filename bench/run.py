#!/usr/bin/env python3
"""Measures the performance targets with a fleet of processes on loopback.

Usage: run.py [--build DIR] [--full] [--only SCENARIO] [--seed N]

Prints a line for each figure: name, value, unit, target, and whether it is met. --full runs longer,
writes the figures and the load reports to bench/results/ and plots them with gnuplot.
"""
import argparse
import json
import os
import sys
import tempfile
import time

import processes
import plots
import scenarios


def short_plan(seed):
    return [
        ("refusals", lambda f: scenarios.refusals(f)),
        ("overhead", lambda f: scenarios.overhead(f, 1)),
        ("throughput", lambda f: scenarios.throughput(f, 2, 32)),
        ("messages-1", lambda f: scenarios.messages(f, 2, 1, 4)),
        ("messages-100", lambda f: scenarios.messages(f, 3, 100, 2.5)),
        ("ratio", lambda f: scenarios.ratio(f, 5, 100, seed)),
        ("failing-worker", lambda f: scenarios.failing_worker(f, 3)),
        ("withdrawal", lambda f: scenarios.withdrawal(f, 80, 2.5, 4, 2.5, seed)),
    ]


def full_plan(seed):
    return [
        ("idle", lambda f: scenarios.idle_cost(f, 10)),
        ("refusals", lambda f: scenarios.refusals(f)),
        ("overhead", lambda f: scenarios.overhead(f, 10)),
        ("throughput", lambda f: scenarios.throughput(f, 10, 32)),
        ("messages-1", lambda f: scenarios.messages(f, 20, 1, 4)),
        ("messages-100", lambda f: scenarios.messages(f, 30, 100, 2.5)),
        ("ratio-100", lambda f: scenarios.ratio(f, 60, 100, seed)),
        ("ratio-1700", lambda f: scenarios.ratio(f, 60, 1700, seed)),
        ("failing-worker", lambda f: scenarios.failing_worker(f, 20)),
        ("withdrawal-60", lambda f: scenarios.withdrawal(f, 60, 15, 15, 10, seed)),
        ("withdrawal-80", lambda f: scenarios.withdrawal(f, 80, 15, 15, 10, seed)),
    ]


def print_figure(figure):
    met = {True: "met", False: "NOT MET", None: "-"}[figure["met"]]
    value = figure["value"]
    text = "%d" % value if isinstance(value, int) else "%.3f" % value
    print("%-55s %12s %-12s %-18s %s" % (figure["name"], text, figure["unit"],
                                         figure["target"] or "-", met), flush=True)


def run_scenario(name, scenario, fleet):
    figures, report = scenario(fleet)
    for figure in figures:
        print_figure(figure)
    return {"scenario": name, "figures": figures, "report": report}


def run_plan(plan, options, results):
    """Runs all scenarios on one fleet, because starting a fleet takes 6 s. Returns the names of the
    scenarios that failed."""
    failed = []
    with tempfile.TemporaryDirectory() as directory:
        fleet = processes.Fleet(options.build, directory)
        try:
            fleet.start_all()
            fleet.publish()
            fleet.wait_for_owners()
            for name, scenario in plan:
                try:
                    results["runs"].append(run_scenario(name, scenario, fleet))
                except (RuntimeError, OSError) as error:
                    failed.append(name)
                    print("%s: not measured: %s" % (name, error), flush=True)
        finally:
            fleet.stop()
    return failed


def read_load_average():
    with open("/proc/loadavg") as f:
        return float(f.read().split()[0])


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--only")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    plan = full_plan(options.seed) if options.full else short_plan(options.seed)
    results = {"time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), "seed": options.seed,
               "processors": os.cpu_count(), "load_average_before": read_load_average(),
               "runs": []}
    print("load average before: %.1f on %d processors" % (read_load_average(), os.cpu_count()))
    plan = [(name, scenario) for name, scenario in plan if options.only in (None, name)]
    failed = run_plan(plan, options, results)
    if options.full:
        directory = os.path.join(os.path.dirname(os.path.abspath(__file__)), "results")
        plots.write(directory, results)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
