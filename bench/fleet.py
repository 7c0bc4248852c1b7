#!/usr/bin/env python3
"""Runs bench/jobs against a fleet on loopback and prints the processor time of each process.

Usage: fleet.py [--build DIR] [--entries N] [--agents N] [--slots N] JOBS CONCURRENCY TASKS SLEEP_MS
"""
import argparse
import os
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
import smoke  # noqa: E402


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--agents", type=int, default=3)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--perf", help="name of the process to profile")
    parser.add_argument("load", nargs=4, metavar="JOBS CONCURRENCY TASKS SLEEP_MS")
    options = parser.parse_args()
    objects = [dict(o) for o in smoke.OBJECTS]
    for o in objects:
        if o["kind"] == "upstream":
            o["slots"] = options.slots
        if o["kind"] == "team":
            o["quota_slots"] = options.slots * options.agents
            o["max_queued_tasks"] = 100000
        if o["kind"] == "policy":
            o["max_queued_tasks"] = 100000
    with tempfile.TemporaryDirectory() as directory:
        fleet = smoke.Fleet(options.build, directory, options.entries, options.agents,
                            options.slots, log_level="info", events=False)
        try:
            fleet.start_all()
            fleet.publish(objects)
            smoke.wait_for("all entries ready and all agents connected", fleet.is_ready)
            before = {n: cpu_seconds(p.pid) for n, p in fleet.processes.items()}
            perf = None
            if options.perf:
                perf = subprocess.Popen(["perf", "record", "-q", "-g", "-o", "/tmp/perf.data", "-p",
                                         str(fleet.processes[options.perf].pid)],
                                        stderr=subprocess.DEVNULL)
            subprocess.run([os.path.join(options.build, "bench", "jobs"),
                            "127.0.0.1:%d" % fleet.entries[0][1]] + options.load)
            if perf:
                perf.terminate()
                perf.wait()
            starts = int(options.load[0]) * int(options.load[2])
            for name, process in sorted(fleet.processes.items()):
                used = cpu_seconds(process.pid) - before[name]
                print("%s: %.2f s CPU, %.1f us per start" % (name, used, used / starts * 1e6))
            for _, port in fleet.entries:
                text = smoke.request(port, "GET", "/metrics")[1].decode()
                print(", ".join(l.replace("azurerock_", "") for l in text.splitlines()
                                if ("messages" in l or "retried" in l) and l[0] != "#"
                                and not l.endswith(" 0")))
        finally:
            fleet.kill_all()


if __name__ == "__main__":
    sys.exit(main())
