"""A heartbeat of another writer, for a service that isn't named, reaches a side machine whose
executor runs tasks."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from deployment import PORTS, main  # noqa: E402

PLAY_S = 20
JOB_INTERVAL_S = 0.3
DEADLINE_MS = 5000
FOREIGN_AT_S = (4.0, 8.0, 12.0)


def foreign_heartbeat(executor):
    return {"service": "unnamed", "address": "%s:%d" % (executor.host, PORTS["app"]),
            "zone": executor.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": executor.capacity, "mem-mb": 65536, "gpu": 0},
            "labels": executor.labels, "clock-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)}


async def send_foreign_heartbeats(deployment):
    started_s = time.monotonic()
    for i, at_s in enumerate(FOREIGN_AT_S):
        await asyncio.sleep(max(0, started_s + at_s - time.monotonic()))
        machine, executor = deployment.sides[i], deployment.executors[i]
        status, _ = await deployment.ask(
            machine, "control-plane", "POST", "/azurerock/Executors.Heartbeat/i-other-%d" % i,
            {"content-type": "application/json"}, foreign_heartbeat(executor))
        deployment.record.write("foreign-heartbeat", machine=machine.name, status=status)


async def play(deployment, trouble):
    record, jobs, n_jobs = deployment.record, [], 0
    until_s = time.monotonic() + PLAY_S

    def on_overlap(name, machine, attempt, other, other_attempt, start_s):
        record.fail("TWICE", "%s attempt %d starts on %s while attempt %d, started %.3f s ago, "
                    "runs on %s" % (name, attempt, machine, other_attempt, record.now() - start_s,
                                    other))

    record.on_overlap = on_overlap
    foreign = asyncio.ensure_future(send_foreign_heartbeats(deployment)) if trouble else None
    while time.monotonic() < until_s:
        n_jobs += 1
        jobs.append(asyncio.ensure_future(deployment.submit(
            "/jobs/", "%016x" % n_jobs, deployment.body(4, 900, 3100), DEADLINE_MS, n_jobs)))
        await asyncio.sleep(JOB_INTERVAL_S)
    if foreign:
        await foreign
    answers = await asyncio.gather(*jobs)
    record.write("served", completed=sum(a == (200, "completed") for a in answers), jobs=n_jobs)


if __name__ == "__main__":
    main(FOLDER, play)
