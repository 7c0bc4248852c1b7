"""What executors ran in a soak, and the guarantees that it is checked against."""
import glob
import os
import re
import time
from datetime import datetime

from standin_platform import HEARTBEAT_S

WITHDRAWAL_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0
CONTACT_S = 3.0
ANSWERED_LIMIT_S = 1.0
LEFT_LIMIT_S = 1.0
DEADLY_CRASHES_MAX = 3
STARTS_AFTER_CRASHES_MAX = 2
CRASHES_TO_GIVE_UP = 2
CLOCK_STEP_S = 0.002  # logged times are cut to milliseconds
GIVEN_UP = re.compile(r'time=(\S+) .*event=answer job=(\S+) outcome=failed .*'
                      r'reason="a task has crashed its upstreams"')


class History:
    """Records what executors ran, and the violations of these rules:

    TWICE      a task runs on at most one executor at a time
    WITHDRAWN  no task starts in a zone WITHDRAWAL_LIMIT_S after it was withdrawn
    DRAIN      no task starts DRAIN_LIMIT_S after the executor's draining was acknowledged
    BUDGET     no task starts three times more after three upstreams crashed because of it
    GIVEN_UP   a job fails for crashes only after two upstreams crashed while they ran one of its
               tasks
    LIMIT      no task starts on an executor beyond a capacity that shrank more than CONTACT_S and
               a heartbeat ago
    ANSWERED   no task starts ANSWERED_LIMIT_S after its job has got its final answer
    LEFT       no start names an executor LEFT_LIMIT_S after its departure was acknowledged
    EXIT       no process exits by itself
    STOP       a stop keeps its grace time, and only unplanned faults cut off requests
    WHOLE      a completed job has completed all its tasks
    NOT_RUN    a job that was answered as not run has not run
    CONFIG     a gateway adopts a configuration within CONFIG_LIMIT_S and never an older one
    RECOVER    90 % of the jobs complete RECOVERY_LIMIT_S after the faults
    """

    def __init__(self, store):
        self.store, self.executors = store, []
        self.running, self.runs, self.done, self.violations = {}, {}, set(), []
        self.withdrawn_s, self.unplanned_until_s = {}, 0.0
        self.answered_s, self.left_s = {}, {}
        self.crash_times, self.deadly_crashes, self.late_starts = {}, {}, {}

    def report_violation(self, rule, text):
        self.violations.append((rule, text))
        print("violated: %s, %s" % (rule, text), flush=True)

    def record_start(self, machine, zone, name, attempt, executor, is_late):
        """@is_late: the executor itself delayed the order, so its start may be after a limit."""
        now = time.monotonic()
        self.expire_leases()
        running_on = self.running.setdefault(name, set())
        if running_on:
            self.report_violation("TWICE", "%s attempt %d starts%s on %s while it runs on %s (%s)"
                                  % (name, attempt, " late" if is_late else "", machine,
                                     running_on, time.strftime("%H:%M:%S")))
        running_on.add(machine)
        job_id = name.split(".")[0]
        self.runs.setdefault(job_id, []).append(name)
        if is_late:
            return
        answered_s = self.answered_s.get(job_id, now)
        if now - answered_s > ANSWERED_LIMIT_S:
            self.report_violation("ANSWERED", "%s starts on %s %.1f s after the answer to its job"
                                  % (name, machine, now - answered_s))
        self.check_budget(name)
        self.check_limit(name, executor, now)
        withdrawn_s = self.withdrawn_s.get(zone)
        if withdrawn_s and now - max(withdrawn_s, self.store.last_disturbed_s) > WITHDRAWAL_LIMIT_S:
            self.report_violation("WITHDRAWN", "%s starts in withdrawn zone %s" % (name, zone))
        acknowledged_s = executor.draining_acknowledged_s
        if acknowledged_s and now - acknowledged_s > DRAIN_LIMIT_S:
            self.report_violation("DRAIN", "%s starts on draining %s" % (name, machine))

    def expire_leases(self):
        """A stall of the stand-ins' process, after which it may read a start before it checks the
        leases, doesn't make a lease longer than the executor's clock says."""
        for executor in self.executors:
            executor.expire_tasks()

    def record_start_elsewhere(self, machine, executor_id):
        """A start request reaches an executor other than the one that it names."""
        left_s = self.left_s.get(executor_id)
        if left_s and time.monotonic() - left_s > LEFT_LIMIT_S:
            self.report_violation("LEFT", "a start on %s names %s, which has left"
                                  % (machine, executor_id))

    def check_budget(self, name):
        if self.deadly_crashes.get(name, 0) < DEADLY_CRASHES_MAX:
            return
        self.late_starts[name] = self.late_starts.get(name, 0) + 1
        if self.late_starts[name] > STARTS_AFTER_CRASHES_MAX:
            self.report_violation("BUDGET", "%s starts again after %d upstreams crashed because "
                                  "of it" % (name, self.deadly_crashes[name]))

    def check_limit(self, name, executor, now):
        """A sidecar that was disturbed may not know the capacity yet."""
        used, sidecar = executor.used_cpu(), executor.sidecar
        if used <= executor.capacity or not sidecar or sidecar.active_fault:
            return
        since_s = max(executor.capacity_shrunk_s, executor.last_disturbed_s,
                      sidecar.last_disturbed_s)
        if now - since_s > CONTACT_S + HEARTBEAT_S:
            self.report_violation("LIMIT", "%s starts on %s, tasks need %d of a capacity of %d "
                                  "(%s)" % (name, executor.machine, used, executor.capacity,
                                            time.strftime("%H:%M:%S")))

    def record_deadly_crash(self, name):
        self.deadly_crashes[name] = self.deadly_crashes.get(name, 0) + 1

    def check_given_up_jobs(self, folder):
        """Compares the logs of gateways with the crashes. Returns the number of jobs given up."""
        n_given_up = 0
        for path in glob.glob(os.path.join(folder, "*.log")):
            with open(path, errors="replace") as file:
                for found in filter(None, map(GIVEN_UP.search, file)):
                    at_s = datetime.fromisoformat(found.group(1)).timestamp() + CLOCK_STEP_S
                    job_id, n_given_up = found.group(2), n_given_up + 1
                    crashes = [sum(1 for crash_s in self.crash_times.get(name, [])
                                   if crash_s <= at_s) for name in set(self.runs.get(job_id, []))]
                    if max(crashes, default=0) < CRASHES_TO_GIVE_UP:
                        self.report_violation("GIVEN_UP", "job %s failed at %s after %s crashes "
                                              "under its tasks" % (job_id, found.group(1), crashes))
        return n_given_up

    def record_end(self, machine, name, _attempt, how):
        self.running.get(name, set()).discard(machine)
        if how == "crash":
            self.crash_times.setdefault(name, []).append(time.time())
        if how == "done":
            self.done.add(name)
