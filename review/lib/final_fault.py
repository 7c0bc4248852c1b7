"""A final fault: all machines lose power right after a configuration was acknowledged, and traffic
goes on."""
import asyncio
import signal
import time

from deployment import route

BEFORE_S = 10.0
DOWN_S = 1.0
RECOVERY_S = 12.0
AFTER_S = 10.0
JOB_INTERVAL_S = 0.2
DEADLINE_MS = 1500
SERVED_MIN = 0.25

# Executors and processes start within 0.3 s of each other, in any order.
PROCESSES_START_AFTER_S = 0.1


class Load:
    """Clients that submit jobs all the while. @choose_body(number) returns the job to submit;
    @answers: (time of the send, outcome)."""

    def __init__(self, deployment, choose_body):
        self.deployment, self.choose_body = deployment, choose_body
        self.answers, self.is_ended = [], False

    async def one_job(self, number):
        sent_s = time.monotonic()
        outcome = await self.deployment.submit("/jobs/", "%016x" % number,
                                               self.choose_body(number), DEADLINE_MS, number // 3)
        self.answers.append((sent_s, outcome))

    async def run(self):
        jobs = []
        while not self.is_ended:
            jobs.append(asyncio.ensure_future(self.one_job(len(jobs) + 1)))
            await asyncio.sleep(JOB_INTERVAL_S)
        await asyncio.gather(*jobs)

    def outcomes(self, since_s, until_s):
        return [outcome for at_s, outcome in self.answers if since_s <= at_s < until_s]


def share_served(outcomes):
    return outcomes.count((200, "completed")) / max(len(outcomes), 1)


async def lose_power(deployment):
    machines = deployment.frontends + deployment.sides
    deployment.publish(2, [route("jobs", "/jobs/"), route("more", "/more/")])
    for machine in machines:
        machine.signal(signal.SIGKILL)
    for executor in deployment.executors:
        executor.crash(closes_port=True)
    deployment.record.write("power-lost")
    await asyncio.gather(*[machine.process.wait() for machine in machines])
    await asyncio.sleep(DOWN_S)
    for executor in deployment.executors:
        executor.start(keeps_id=True)
        deployment.record.write("executor-start", executor=executor.id, born=executor.born)
    await asyncio.sleep(PROCESSES_START_AFTER_S)
    for machine in machines:
        await machine.start()
    deployment.record.write("power-back")


async def play_final_fault(deployment, trouble, choose_body):
    load = Load(deployment, choose_body)
    clients = asyncio.ensure_future(load.run())
    started_s = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    fault_s = time.monotonic()
    if trouble:
        await lose_power(deployment)
    back_s = time.monotonic()
    await asyncio.sleep(RECOVERY_S + AFTER_S)
    load.is_ended = True
    await clients
    before = share_served(load.outcomes(started_s, fault_s - DEADLINE_MS / 1000))
    outcomes = load.outcomes(back_s + RECOVERY_S, back_s + RECOVERY_S + AFTER_S)
    after = share_served(outcomes)
    counts = {str(outcome): outcomes.count(outcome) for outcome in outcomes}
    deployment.record.write("served", before="%.2f" % before, after="%.2f" % after,
                            answers=counts)
    print("served: %.2f before, %.2f later than recovery-s; answers then: %s"
          % (before, after, counts), flush=True)
    if before >= SERVED_MIN > after:
        deployment.record.fail("RECOVER", "%.2f of the requests sent later than recovery-s are "
                               "served, %.2f before the final fault" % (after, before))
