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


class Life:
    """One process of an instance: from its start to its end."""

    def __init__(self, event):
        self.instance = event["instance"]
        self.role = event["role"]
        self.begin = event["mono_us"]
        self.end = self.sigterm = float("inf")
        self.code = None
        self.revisions = []

    def contains(self, mono_us):
        return self.begin <= mono_us <= self.end


class Fault:
    def __init__(self, event):
        self.kind = event["kind"]
        self.targets = event["targets"]
        self.begin = event["mono_us"]
        self.end = self.begin if event["phase"] == "once" else float("inf")


class History:
    """The events by kind, and what follows from them."""

    def __init__(self, events):
        self.events = events
        self.by_kind = collections.defaultdict(list)
        for event in events:
            self.by_kind[event["event"]].append(event)
        self.responses = {event["call"]: event for event in self.by_kind["response"]}
        self.calls = {event["call"]: event for event in self.by_kind["call"]}
        self.calls_of = collections.defaultdict(list)
        for call in self.by_kind["call"]:
            self.calls_of[call["job"]].append(call)
        self.end = events[-1]["mono_us"] if events else 0
        self.read_starts()
        self.read_counts()
        self.read_processes()
        self.read_faults()
        self.read_publications()

    def read_starts(self):
        """A start whose request provably never reached the upstream is none."""
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
        self.starts_of = collections.defaultdict(list)
        for start in self.starts:
            self.starts_of[start["job"]].append(start)

    def read_counts(self):
        self.counts = collections.Counter()
        for event in self.by_kind["counts"]:
            self.counts.update(event["tasks"])

    def read_processes(self):
        self.lives = []
        current = {}
        for event in self.events:
            name = event.get("instance")
            if event["event"] == "spawn":
                current[name] = Life(event)
                self.lives.append(current[name])
            elif name not in current:
                continue
            elif event["event"] == "sigterm":
                current[name].sigterm = event["mono_us"]
            elif event["event"] == "exit":
                current[name].end = event["mono_us"]
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
                        and fault.end == float("inf"):
                    fault.end = event["mono_us"]
        for fault in self.faults:
            if fault.kind == "kill":
                self.extend_kill(fault)

    def extend_kill(self, fault):
        """A killed process accepts connections until it is gone, on a busy machine for
        milliseconds."""
        for life in self.lives:
            if life.instance in fault.targets and life.code == -9 \
                    and life.begin <= fault.begin <= life.end:
                fault.end = max(fault.end, life.end)

    def read_publications(self):
        """Only publications that the store's history holds took effect; a lost race did not."""
        kept = {publish_id for event in self.by_kind["history"]
                for _, publish_id in event["publications"]}
        self.published = [e for e in self.by_kind["publish"]
                          if not self.by_kind["history"] or e["publish_id"] in kept]

    def is_purchase(self, job):
        return any(call.get("purchase") for call in self.calls_of[job])

    def active(self, mono_us, kinds):
        return [f for f in self.faults if f.kind in kinds and f.begin <= mono_us <= f.end]

    def is_up(self, instance, mono_us):
        """Alive, and neither frozen nor cut off from everything."""
        return any(life.instance == instance and life.contains(mono_us) for life in self.lives) \
            and not any(instance in f.targets for f in self.active(mono_us, ("freeze", "isolate")))

    def is_reachable(self, life, mono_us):
        """An entry reaches the store or another entry; an agent reaches an entry."""
        if not self.is_up(life.instance, mono_us):
            return False
        is_outage = bool(self.active(mono_us, ("outage",)))
        if life.role == "entry" and not is_outage:
            return True
        # A new process finds the others through the store.
        if is_outage and mono_us - life.begin < 2 * IN_FORCE_US:
            return False
        cuts = [set(f.targets) for f in self.active(mono_us, ("cut",))]
        return any(self.is_up(name, mono_us) and {name, life.instance} not in cuts
                   for name in {entry.instance for entry in self.lives if entry.role == "entry"}
                   if name != life.instance)

    def unreachable(self, life):
        """Intervals in which a process could not have learned of a revision."""
        bounds = {life.begin, min(life.end, self.end)}
        for edge in [e for f in self.faults for e in (f.begin, f.end)] \
                + [e for other in self.lives for e in (other.begin, other.end)]:
            if life.begin < edge < min(life.end, self.end):
                bounds.add(edge)
        bounds = sorted(bounds | {life.begin + 2 * IN_FORCE_US})
        return [(a, b) for a, b in zip(bounds, bounds[1:])
                if not self.is_reachable(life, (a + b) // 2)]
