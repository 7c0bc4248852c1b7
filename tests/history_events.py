"""The events of a run: processes, faults, starts, calls and publications."""
import collections
import glob
import json
import os

SECOND = 1000000
IN_FORCE_US = 6 * SECOND


def read_events(directory):
    events = []
    for path in sorted(glob.glob(os.path.join(directory, "*.events"))):
        with open(path, encoding="utf-8") as file:
            for line in file:
                # The last line of a killed process may be incomplete.
                if line.endswith("\n"):
                    events.append(json.loads(line))
    return sorted(events, key=lambda event: event["mono_us"])


def split_names(text):
    return set(filter(None, (text or "").split(",")))


class Process:
    """One process of an instance, from its start to its exit."""

    def __init__(self, event):
        self.instance = event["instance"]
        self.role = event["role"]
        self.begin_us = event["mono_us"]
        self.end_us = self.sigterm_us = float("inf")
        self.code = None
        self.revisions = []

    def contains(self, mono_us):
        return self.begin_us <= mono_us <= self.end_us


class Fault:
    def __init__(self, event):
        self.kind = event["kind"]
        self.targets = event["targets"]
        self.begin_us = event["mono_us"]
        self.end_us = self.begin_us if event["phase"] == "once" else float("inf")


class History:
    """The events of a run by kind, and the calls, starts, processes and faults they describe."""

    def __init__(self, events):
        self.events = events
        self.by_kind = collections.defaultdict(list)
        for event in events:
            self.by_kind[event["event"]].append(event)
        self.responses = {event["call"]: event for event in self.by_kind["response"]}
        self.calls = {event["call"]: event for event in self.by_kind["call"]}
        self.calls_by_job = collections.defaultdict(list)
        for call in self.by_kind["call"]:
            self.calls_by_job[call["job"]].append(call)
        self.end_us = events[-1]["mono_us"] if events else 0
        self.read_starts()
        self.read_counts()
        self.read_processes()
        self.read_faults()
        self.read_publications()

    def read_starts(self):
        """Leaves out starts whose request provably never reached the upstream."""
        key = lambda e: (e["incarnation"], e["job"], e["task"], e["attempt"])
        self.finishes = {key(e): e for e in self.by_kind["finish"]}
        self.starts = []
        self.unfinished = []
        for start in self.by_kind["start"]:
            finish = self.finishes.get(key(start))
            if not finish:
                self.unfinished.append(start)
            if not finish or finish["status"] != "not_started":
                self.starts.append(start)
        self.starts_by_job = collections.defaultdict(list)
        for start in self.starts:
            self.starts_by_job[start["job"]].append(start)

    def read_counts(self):
        self.counts = collections.Counter()
        for event in self.by_kind["counts"]:
            self.counts.update(event["tasks"])

    def read_processes(self):
        self.processes = []
        current = {}
        for event in self.events:
            name = event.get("instance")
            if event["event"] == "spawn":
                current[name] = Process(event)
                self.processes.append(current[name])
            elif name not in current:
                continue
            elif event["event"] == "sigterm":
                current[name].sigterm_us = event["mono_us"]
            elif event["event"] == "exit":
                current[name].end_us = event["mono_us"]
                current[name].code = event["code"]
            elif event["event"] == "revision":
                current[name].revisions.append((event["mono_us"], int(event["revision"])))

    def read_faults(self):
        self.faults = []
        for event in self.by_kind["fault"]:
            if event["phase"] != "end":
                self.faults.append(Fault(event))
                continue
            for fault in self.faults:
                if (fault.kind, fault.targets) == (event["kind"], event["targets"]) \
                        and fault.end_us == float("inf"):
                    fault.end_us = event["mono_us"]
        for fault in self.faults:
            if fault.kind == "kill":
                self.extend_kill(fault)

    def extend_kill(self, fault):
        """Extends the fault to the exit: a killed process accepts connections until then, on a busy
        machine for milliseconds."""
        for process in self.processes:
            if process.instance in fault.targets and process.code == -9 \
                    and process.begin_us <= fault.begin_us <= process.end_us:
                fault.end_us = max(fault.end_us, process.end_us)

    def read_publications(self):
        """Leaves out publications that lost a race and are not in the store's history."""
        stored_ids = {publish_id for event in self.by_kind["history"]
                for _, publish_id in event["publications"]}
        self.published = [e for e in self.by_kind["publish"]
                          if not self.by_kind["history"] or e["publish_id"] in stored_ids]

    def is_non_idempotent(self, job):
        return any(call.get("purchase") for call in self.calls_by_job[job])

    def active_faults(self, mono_us, kinds):
        return [f for f in self.faults if f.kind in kinds and f.begin_us <= mono_us <= f.end_us]

    def is_up(self, instance, mono_us):
        """Whether the instance has a process that is neither frozen nor isolated."""
        return any(process.instance == instance and process.contains(mono_us)
                   for process in self.processes) \
            and not any(instance in f.targets
                        for f in self.active_faults(mono_us, ("freeze", "isolate")))

    def is_reachable(self, process, mono_us):
        """Whether an entry reaches the store or another entry, or an agent reaches an entry."""
        if not self.is_up(process.instance, mono_us):
            return False
        is_outage = bool(self.active_faults(mono_us, ("outage",)))
        if process.role == "entry" and not is_outage:
            return True
        # A new process discovers the entries through the store.
        if is_outage and mono_us - process.begin_us < 2 * IN_FORCE_US:
            return False
        cuts = [set(f.targets) for f in self.active_faults(mono_us, ("cut",))]
        return any(self.is_up(name, mono_us) and {name, process.instance} not in cuts
                   for name in {entry.instance for entry in self.processes if entry.role == "entry"}
                   if name != process.instance)

    def unreachable_intervals(self, process):
        """Returns the intervals in which the process could not learn of a revision."""
        bounds = {process.begin_us, min(process.end_us, self.end_us)}
        for bound_us in [e for f in self.faults for e in (f.begin_us, f.end_us)] \
                + [e for other in self.processes for e in (other.begin_us, other.end_us)]:
            if process.begin_us < bound_us < min(process.end_us, self.end_us):
                bounds.add(bound_us)
        bounds = sorted(bounds | {process.begin_us + 2 * IN_FORCE_US})
        return [(a, b) for a, b in zip(bounds, bounds[1:])
                if not self.is_reachable(process, (a + b) // 2)]
