"""What executors ran in a soak, and the guarantees that it is checked against."""
import time

WITHDRAWAL_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0


class History:
    """Records what executors ran, and the violations of these rules:

    TWICE      a task runs on at most one executor at a time
    WITHDRAWN  no task starts in a zone WITHDRAWAL_LIMIT_S after it was withdrawn
    DRAIN      no task starts DRAIN_LIMIT_S after the executor's draining was acknowledged
    EXIT       no process exits by itself
    STOP       a stop keeps its grace time, and only unplanned faults cut off requests
    WHOLE      a completed job has completed all its tasks
    NOT_RUN    a job that was answered as not run has not run
    CONFIG     a gateway adopts a configuration within CONFIG_LIMIT_S and never an older one
    RECOVER    90 % of the jobs complete RECOVERY_LIMIT_S after the faults
    """

    def __init__(self, store):
        self.store = store
        self.running, self.runs, self.done, self.violations = {}, {}, set(), []
        self.withdrawn_s, self.unplanned_until_s = {}, 0.0

    def report_violation(self, rule, text):
        self.violations.append((rule, text))
        print("violated: %s, %s" % (rule, text), flush=True)

    def record_start(self, machine, zone, name, attempt, executor, is_late):
        """@is_late: the executor itself delayed the order, so its start may be after a limit."""
        now = time.monotonic()
        running_on = self.running.setdefault(name, set())
        if running_on:
            self.report_violation("TWICE", "%s attempt %d starts%s on %s while it runs on %s (%s)"
                                  % (name, attempt, " late" if is_late else "", machine,
                                     running_on, time.strftime("%H:%M:%S")))
        running_on.add(machine)
        self.runs.setdefault(name.split(".")[0], []).append(name)
        if is_late:
            return
        withdrawn_s = self.withdrawn_s.get(zone)
        if withdrawn_s and now - max(withdrawn_s, self.store.last_disturbed_s) > WITHDRAWAL_LIMIT_S:
            self.report_violation("WITHDRAWN", "%s starts in withdrawn zone %s" % (name, zone))
        acknowledged_s = executor.draining_acknowledged_s
        if acknowledged_s and now - acknowledged_s > DRAIN_LIMIT_S:
            self.report_violation("DRAIN", "%s starts on draining %s" % (name, machine))

    def record_end(self, machine, name, _attempt, how):
        self.running.get(name, set()).discard(machine)
        if how == "done":
            self.done.add(name)
