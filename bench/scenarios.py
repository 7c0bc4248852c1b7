"""Scenarios on a running fleet. Each returns its figures and the load report."""
import heapq
import json
import time

import processes

BIN_US = 100000


def figure(name, value, unit, target=None, met=None):
    return {"name": name, "value": value, "unit": unit, "target": target, "met": met}


def at_most(name, value, unit, limit):
    return figure(name, value, unit, "<= %g" % limit, value <= limit)


def at_least(name, value, unit, limit):
    return figure(name, value, unit, ">= %g" % limit, value >= limit)


def task_count_options(tasks):
    return ["--mixed-sizes", "false", "--tasks-min", str(tasks), "--tasks-max", str(tasks)]


INSTANT = ["--run-min-ms", "0", "--run-max-ms", "0", "--long-percent", "0"]


def correctness(name, report):
    outcomes = report["outcomes"]
    not_done = sum(n for outcome, n in outcomes.items() if outcome != "done")
    return [at_most(name + ": mismatched answers", report["mismatches"], "", 0),
            figure(name + ": jobs not done", not_done, "of %d" % report["submitted"])]


def unused_grant_messages(name, report):
    """Share of messages for unused grants: RECALL, RETURN and the GRANT of each returned grant. The
    entries' count of wasted messages leaves these out."""
    kinds = report["messages"]["kinds"]
    counted = sum(n for kind, n in kinds.items()
                  if kind not in ("heartbeat", "heartbeat_ack", "peer_state", "peer_state_ack"))
    unused = kinds.get("recall", 0) + 2 * kinds.get("return", 0)
    return figure(name + ": messages for unused grants", 100 * unused / max(counted, 1), "%")


def overhead(fleet, seconds):
    """Response time of a job with a single instant task."""
    report = fleet.load("--mode", "closed", "--concurrency", "1", "--duration-ms",
                        str(int(seconds * 1000)), *task_count_options(1), *INSTANT)
    response = report["response"]
    return correctness("overhead", report) + [
        at_most("overhead of a single task p50", response["p50"]["ms"], "ms", 1),
        at_most("overhead of a single task p99", response["p99"]["ms"], "ms", 3)], report


def ratio(fleet, seconds, tasks_max, seed=1):
    """Response time at 80% load compared with an ideal central queue for the same jobs."""
    report = fleet.load("--load-percent", "80", "--duration-ms", str(int(seconds * 1000)),
                        "--tasks-max", str(tasks_max), "--long-max-ms", "3000", "--seed", str(seed))
    response = report["response"]
    offered = sum(report["offered_s_per_100ms"]) / seconds / (fleet.slots * fleet.n_agents)
    name = "80%% load, jobs up to %d" % tasks_max
    return correctness(name, report) + [
        figure(name + ": load drawn", 100 * offered, "%"),
        at_most(name + ": ratio to ideal p50", response["p50"]["ratio"], "", 1.03),
        figure(name + ": ratio to ideal p90", response["p90"]["ratio"], ""),
        at_most(name + ": ratio to ideal p99", response["p99"]["ratio"], "", 1.15),
        figure(name + ": messages per start", report["messages"]["per_start"], ""),
        at_most(name + ": wasted messages", report["messages"]["wasted_percent"], "%", 5),
        unused_grant_messages(name, report)], report


def messages(fleet, seconds, tasks, limit):
    """Messages per started task at 80% load with jobs of one size."""
    report = fleet.load("--load-percent", "80", "--duration-ms", str(int(seconds * 1000)),
                        "--run-max-ms", "500", "--long-percent", "0", *task_count_options(tasks))
    name = "jobs of %d" % tasks
    response = report["response"]
    return correctness(name, report) + [
        at_most(name + ": messages per start", report["messages"]["per_start"], "", limit),
        at_most(name + ": wasted messages", report["messages"]["wasted_percent"], "%", 5),
        unused_grant_messages(name, report),
        figure(name + ": ratio to ideal p50", response["p50"]["ratio"], ""),
        figure(name + ": ratio to ideal p99", response["p99"]["ratio"], "")], report


def busy_bins(events, start_us, n_bins, agents):
    """Returns the mean busy slots of @agents in each 100 ms, from start and finish events."""
    bins = [0.0] * n_bins
    started = {}
    for event in events:
        if event["agent"] not in agents:
            continue
        key = (event["agent"], event.get("job"), event.get("task"), event.get("attempt"))
        if event["event"] == "start":
            started[key] = event["mono_us"]
        elif event["event"] == "finish" and key in started:
            add_busy(bins, started.pop(key) - start_us, event["mono_us"] - start_us)
    return bins


def add_busy(bins, begin_us, end_us):
    while begin_us < end_us:
        index = int(begin_us // BIN_US)
        until = min(end_us, (index + 1) * BIN_US)
        if 0 <= index < len(bins):
            bins[index] += (until - begin_us) / BIN_US
        begin_us = until


def ideal_bins(jobs, n_bins, n_staying, n_leaving, withdrawn_us, restored_us):
    """Returns the mean busy slots in each 100 ms if a central queue without delays ran the jobs.

    @n_leaving slots start no task from @withdrawn_us to @restored_us; their running tasks finish.
    """
    bins = [0.0] * n_bins
    slots = [(0, 0, False)] * n_staying + [(0, 1, True)] * n_leaving
    heapq.heapify(slots)
    for sent_us, *runs in jobs:
        for run_ms in runs:
            while True:
                free_us, order, is_leaving = heapq.heappop(slots)
                start_us = max(free_us, sent_us)
                if not is_leaving or not withdrawn_us <= start_us < restored_us:
                    break
                heapq.heappush(slots, (restored_us, order, is_leaving))
            add_busy(bins, start_us, start_us + run_ms * 1000)
            heapq.heappush(slots, (start_us + run_ms * 1000, order, is_leaving))
    return bins


def withdrawal(fleet, load_percent, before_s, away_s, after_s, seed=1):
    """Withdraws domain a for @away_s seconds and restores it, under open-loop load."""
    total = before_s + away_s + after_s
    load_run = fleet.begin_load("--load-percent", str(load_percent), "--duration-ms",
                                str(int(total * 1000)), "--tasks-max", "100", "--long-max-ms",
                                "3000", "--seed", str(seed), "--list-jobs", "true")
    begin = time.monotonic()
    time.sleep(before_s)
    published_us = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
    accepted_us = fleet.publish("bc")
    time.sleep(max(0, begin + before_s + away_s - time.monotonic()))
    restored_us = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
    fleet.publish("abc")
    report = fleet.finish_load(load_run)
    return withdrawal_figures(fleet, report, load_percent, before_s, away_s,
                              (published_us, accepted_us, restored_us))


def withdrawal_figures(fleet, report, load_percent, before_s, away_s, times):
    published_us, accepted_us, restored_us = times
    start_us = report["start_mono_us"]
    events = [e for e in fleet.events() if e["mono_us"] >= start_us]
    n_bins = len(report["offered_s_per_100ms"])
    withdrawn_agents = fleet.agents_of("a")
    total_slots = fleet.slots * fleet.n_agents
    remaining_slots = total_slots - fleet.slots * len(withdrawn_agents)
    busy_slots = busy_bins(events, start_us, n_bins, range(fleet.n_agents))
    away_from = (published_us - start_us) // BIN_US
    away_until = (restored_us - start_us) // BIN_US
    ideal_slots = ideal_bins(report.pop("jobs"), n_bins, remaining_slots,
                             total_slots - remaining_slots, published_us - start_us,
                             restored_us - start_us)
    window = range(max(0, away_from - int(before_s * 10)), min(n_bins, away_until))
    start_delays_us = [e["mono_us"] - accepted_us for e in events
                       if e["event"] == "start" and e["agent"] in withdrawn_agents
                       and e["mono_us"] < restored_us]
    start_delays_us = [us for us in start_delays_us if us > 0]
    name = "withdrawal at %d%%" % load_percent
    report["busy_slots"], report["ideal_slots"] = busy_slots, ideal_slots
    return correctness(name, report) + [
        at_least(name + ": work of what remaining slots can do",
                 100 * sum(busy_slots[i] for i in window) / sum(ideal_slots[i] for i in window),
                 "%", 97),
        at_most(name + ": last start after accepted", max(start_delays_us, default=0) / 1000,
                "ms", 3000),
        return_figure(fleet, name, busy_slots, restored_us - start_us, n_bins)], report


def return_figure(fleet, name, busy_slots, restored_us, n_bins):
    """Time until 95% of all slots are busy, or the largest share if it never reaches 95%."""
    total_slots = fleet.slots * fleet.n_agents
    first_bin = int(restored_us // BIN_US)
    for i in range(first_bin, n_bins):
        if busy_slots[i] >= 0.95 * total_slots:
            return at_most(name + ": 95% of capacity after return", (i + 1 - first_bin) * 100,
                           "ms", 2000)
    max_busy = max(busy_slots[first_bin:n_bins], default=0)
    return figure(name + ": most capacity used after return (never 95%)",
                  100 * max_busy / total_slots, "%", "95% within 2000 ms", None)


def failing_worker(fleet, seconds):
    """One of the upstreams fails every task during the load."""
    fleet.set_faults(0, {"fail_all": True})
    time.sleep(0.2)
    report = fleet.load("--load-percent", "60", "--duration-ms", str(int(seconds * 1000)),
                        *task_count_options(1), "--run-max-ms", "300", "--long-percent", "0")
    fleet.set_faults(0, {"fail_all": False})
    from_us = report["start_mono_us"] + 1000000
    starts = [e for e in fleet.events() if e["event"] == "start" and e["mono_us"] >= from_us]
    lost = sum(1 for e in starts if e["agent"] == 0)
    return [at_most("failing worker: tasks lost after the first second",
                    100 * lost / max(len(starts), 1), "%", 1),
            figure("failing worker: jobs failed", report["outcomes"]["failed"],
                   "of %d" % report["submitted"])], report


def throughput(fleet, seconds, concurrency):
    """Throughput of instant tasks in jobs of 100, under closed-loop load."""
    cpu_before_s = {p: fleet.cpu_seconds(p) for p in ("entry", "agent")}
    report = fleet.load("--mode", "closed", "--concurrency", str(concurrency), "--duration-ms",
                        str(int(seconds * 1000)), *task_count_options(100), *INSTANT)
    starts = max(report["messages"]["starts"], 1)
    per_start = {p: (fleet.cpu_seconds(p) - cpu_before_s[p]) / starts * 1e6 for p in cpu_before_s}
    return correctness("throughput", report) + [
        at_least("throughput of instant tasks", starts / report["seconds"], "starts/s", 19000),
        figure("processor time of entries per start", per_start["entry"], "us"),
        figure("processor time of agents per start", per_start["agent"], "us"),
        figure("throughput: messages per start", report["messages"]["per_start"], "")], report


def refusals(fleet):
    """Response time of refusals of invalid requests that are sent one at a time."""
    times = []
    for i in range(50):
        port = fleet.entry_http[i % fleet.n_entries]
        begin = time.monotonic()
        status, body = processes.request(port, "POST", "/v1/jobs", json.dumps({"id": "bad"}))
        times.append((time.monotonic() - begin) * 1000)
        if status != 400 or json.loads(body)["outcome"] != "not_run":
            raise RuntimeError("refusal: %s" % body)
    return [at_most("refusal of an invalid request, slowest of 50", max(times), "ms", 10)], {}


def idle_cost(fleet, seconds):
    """Processor time and memory of idle processes."""
    cpu_before_s = {p: fleet.cpu_seconds(p) for p in ("entry", "agent")}
    time.sleep(seconds)
    entry = (fleet.cpu_seconds("entry") - cpu_before_s["entry"]) / fleet.n_entries
    agent = (fleet.cpu_seconds("agent") - cpu_before_s["agent"]) / fleet.n_agents
    return [at_most("idle processor time of an agent", 100 * agent / seconds, "% of a core", 4.9),
            figure("idle processor time of an entry", 100 * entry / seconds, "% of a core"),
            at_most("resident memory of an agent", fleet.resident_mb("agent"), "MB", 64)], {}
