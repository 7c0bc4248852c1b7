#!/usr/bin/env python3
"""Measures how the cost of idle processes grows with the fleet, for docs/CAPACITY.md.

Each point starts a fleet of processes on loopback, lets it idle, and reads processor time, resident
memory and bytes read and written of each process from /proc, and the stand-in store's call counts.
All agents of a point share one stand-in upstream, which doesn't matter while they idle.

Usage: capacity.py [--build DIR] [--output FILE] [--seconds S]
"""
import argparse
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
import smoke  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


class SharedUpstreamFleet(smoke.Fleet):
    """A fleet whose agents all use the first upstream."""

    def __init__(self, build, directory, n_entries, n_agents):
        super().__init__(build, directory, n_entries, n_agents)
        self.upstreams = [self.upstreams[0]] * n_agents

    def start_upstream(self, i):
        if i == 0:
            super().start_upstream(0)


def read_process(pid):
    with open("/proc/%d/stat" % pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    with open("/proc/%d/io" % pid) as f:
        io = dict(line.split(": ") for line in f.read().splitlines())
    with open("/proc/%d/status" % pid) as f:
        rss = [int(line.split()[1]) for line in f if line.startswith("VmRSS")][0]
    return {"cpu_s": (int(fields[11]) + int(fields[12])) / TICKS,
            "bytes": int(io["rchar"]) + int(io["wchar"]), "rss_mb": rss / 1024}


def read_processes(fleet):
    return {name: read_process(p.pid) for name, p in fleet.processes.items()}


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def summarize(before, after, seconds, prefix):
    names = [n for n in after if n.startswith(prefix)]
    return {
        "cpu_percent": round(mean((after[n]["cpu_s"] - before[n]["cpu_s"]) / seconds * 100
                                  for n in names), 3),
        "kb_per_s": round(mean((after[n]["bytes"] - before[n]["bytes"]) / seconds / 1000
                               for n in names), 2),
        "rss_mb": round(mean(after[n]["rss_mb"] for n in names), 2),
    }


def read_store_calls(fleet):
    return smoke.request(fleet.store, "GET", "/standin/stats")[1]


def compute_call_rates(before, after, seconds):
    return {k: round((after[k] - before[k]) / seconds, 2) for k in after
            if isinstance(after[k], int) and after[k] != before[k]}


def make_objects(count):
    """Returns the objects of the smoke test with @count additional teams."""
    teams = [{"kind": "team", "name": "team-%05d" % i, "quota_slots": 8, "weight": 1,
              "services": ["demo"], "max_queued_tasks": 100} for i in range(count)]
    return smoke.OBJECTS + teams


def measure_idle_point(build, n_entries, n_agents, n_teams, seconds):
    with tempfile.TemporaryDirectory() as directory:
        fleet = SharedUpstreamFleet(build, directory, n_entries, n_agents)
        try:
            fleet.start_all()
            started = time.monotonic()
            published = fleet.publish(make_objects(n_teams))
            publish_s = time.monotonic() - started
            if published.returncode != 0:
                raise RuntimeError(published.stdout + published.stderr)
            smoke.wait_for("ready", fleet.is_ready, 30)
            time.sleep(6)
            before, calls = read_processes(fleet), read_store_calls(fleet)
            time.sleep(seconds)
            after, calls_after = read_processes(fleet), read_store_calls(fleet)
            return {"entries": n_entries, "agents": n_agents, "teams": n_teams,
                    "publish_s": round(publish_s, 2),
                    "entry": summarize(before, after, seconds, "entry"),
                    "agent": summarize(before, after, seconds, "agent"),
                    "store_calls_per_s": compute_call_rates(calls, calls_after, seconds)}
        finally:
            for process in fleet.processes.values():
                process.kill()
            for process in fleet.processes.values():
                process.wait()


POINTS = [(3, 11, 0), (3, 40, 0), (3, 80, 0), (3, 160, 0), (6, 40, 0), (12, 40, 0),
          (3, 11, 250)]


def measure_with_retry(options, n_entries, n_agents, n_teams):
    """Tries a point twice, since another process may bind a port that was found free."""
    for _ in range(2):
        try:
            return measure_idle_point(options.build, n_entries, n_agents, n_teams, options.seconds)
        except (RuntimeError, AssertionError) as error:
            failure = {"entries": n_entries, "agents": n_agents, "teams": n_teams,
                       "error": str(error)}
    return failure


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--output")
    parser.add_argument("--seconds", type=int, default=10)
    options = parser.parse_args()
    points = []
    for n_entries, n_agents, n_teams in POINTS:
        points.append(measure_with_retry(options, n_entries, n_agents, n_teams))
        print(json.dumps(points[-1]), flush=True)
    if options.output:
        with open(options.output, "w") as f:
            json.dump(points, f, indent=1)


if __name__ == "__main__":
    main()
