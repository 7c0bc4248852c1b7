"""Records what was sent, answered and run, as seen by clients, executors and the platform."""
import time


class Record:
    """The calls of the project's stand-in executors, and the lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start_s = time.monotonic()
        self.running = {}  # (task, machine) -> (attempt, time of the start)
        self.runs = []  # (task, machine, attempt, start, end, how)
        self.failures = []

    def now(self):
        return time.monotonic() - self.start_s

    def write(self, event, **fields):
        text = " ".join("%s=%s" % pair for pair in fields.items())
        self.file.write("%9.4f %s %s\n" % (self.now(), event, text))
        self.file.flush()

    def fail(self, rule, text):
        self.failures.append((rule, text))
        self.write("broken", rule=rule, what='"%s"' % text)
        print("%s: %s" % (rule, text), flush=True)

    def record_start(self, machine, zone, name, attempt, executor, is_late):
        self.write("start", task=name, attempt=attempt, executor=executor.id, machine=machine,
                   zone=zone, labels=",".join(executor.labels), late=int(is_late))
        for (other_name, other), (other_attempt, start_s) in self.running.items():
            if other_name == name and other != machine:
                self.on_overlap(name, machine, attempt, other, other_attempt, start_s)
        self.running[name, machine] = (attempt, self.now())
        self.on_start(machine, name, attempt, executor)

    def record_end(self, machine, name, attempt, how):
        start = self.running.pop((name, machine), None)
        self.write("end", task=name, attempt=attempt, machine=machine, how=how)
        if start:
            self.runs.append((name, machine, attempt, start[1], self.now(), how))

    def record_start_elsewhere(self, machine, executor_id):
        self.write("start-for-another", machine=machine, named=executor_id)

    def record_deadly_crash(self, name):
        self.write("crash", task=name)

    def on_start(self, machine, name, attempt, executor):
        """Called for each start; a case replaces it with its check."""

    def on_overlap(self, name, machine, attempt, other, other_attempt, start_s):
        """Called if a task starts while it runs elsewhere; a case replaces it with its check."""

    def close(self):
        self.write("verdict", broken=len(self.failures))
        self.file.close()
