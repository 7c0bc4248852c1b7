#!/usr/bin/env python3
"""Tests tasks whose stop is carried out late while tasks of another gateway keep the leases of
their upstream renewed. Each ran on while its job ran elsewhere."""
import argparse
import asyncio
import os
import signal
import tempfile
import time
import unittest

import standin_http
from soak import PORTS, RESUBMIT_DELAY_S, Soak
from soak_history import History

STOP_DELAY_S = 3.0
TASK_MS = 2500
OTHER_TASK_MS = 8000  # outlasts the test, in which its leases must be renewed
CONNECT_S = 0.5
RUN_S = 0.3
PAUSE_S = 0.33  # below the session time-out, also if the last heartbeat was sent 0.1 s before
MOVE_WAIT_S = 0.2
STEP_TIMEOUT_S = 12
JOB_ID = "00000000000000a1"
OTHER_JOB_ID = "00000000000000b2"
REQUEST = {"host": "h.example", "x-deadline-ms": "10000"}


class SlowStopHistory(History):
    def __init__(self, store):
        super().__init__(store)
        self.started = asyncio.Event()

    def record_start(self, *arguments):
        super().record_start(*arguments)
        self.started.set()
        self.started = asyncio.Event()

    def n_runs(self, job_id):
        return len(self.runs.get(job_id, []))

    async def wait_for_runs(self, job_id, n_runs):
        while self.n_runs(job_id) < n_runs:
            await asyncio.wait_for(self.started.wait(), STEP_TIMEOUT_S)


class TwoGateways(Soak):
    """Two gateways behind proxies and two sidecars, without random faults or load."""

    def __init__(self, folder):
        super().__init__(argparse.Namespace(
            build=os.environ.get("BUILD", "build"), seed=1, keep=folder, gateways=2, sidecars=2,
            direct=False))
        self.history = SlowStopHistory(self.store)

    async def close(self):
        for executor in self.executors:
            executor.stop_delay_s = 0.0
        await asyncio.gather(*[node.stop(signal.SIGTERM) for node in self.gateways + self.sidecars])
        self.close_store()
        for executor in self.executors:
            executor.server.close()
        for proxy in self.proxies:
            proxy.server.close()

    async def submit(self, gateway, job_id, n_tasks, cpu, run_ms=TASK_MS):
        """Returns the state of the job, or None if the connection breaks; a refusal means that
        nothing is open yet."""
        work = '{"ms": %d, "cpu": %d}' % (run_ms, cpu)
        body = {"specification": work, "best-effort": True,
                "phases": [{"count": n_tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": run_ms}]}
        until_s = time.monotonic() + STEP_TIMEOUT_S
        while time.monotonic() < until_s:
            client = standin_http.HttpClient(gateway.host, PORTS["jobs"])
            try:
                status, _, _ = await client.call("POST", "/jobs/" + job_id, REQUEST, body,
                                                 STEP_TIMEOUT_S)
                if status != 503:
                    return status
            except ConnectionRefusedError:
                pass
            except ConnectionResetError:
                return None
            finally:
                client.close()
            await asyncio.sleep(0.1)
        return None

    async def start_jobs(self):
        """Starts a task of the second gateway at each upstream, whose leases it keeps renewed, and
        one of the first gateway at any of them. Returns the requests."""
        other = asyncio.ensure_future(self.submit(self.gateways[1], OTHER_JOB_ID, 2, 9000,
                                                  OTHER_TASK_MS))
        await self.history.wait_for_runs(OTHER_JOB_ID, 2)
        # The first gateway then knows both upstreams and chooses that of its domain, which the
        # second one doesn't prefer.
        await asyncio.sleep(CONNECT_S)
        job = asyncio.ensure_future(self.submit(self.gateways[0], JOB_ID, 1, 1000))
        await self.history.wait_for_runs(JOB_ID, 1)
        await asyncio.sleep(RUN_S)
        return job, other

    def set_slow_stops(self, acknowledges_stops):
        for executor in self.executors:
            executor.stop_delay_s = STOP_DELAY_S
            executor.acknowledges_stops = acknowledges_stops


async def lose_sessions(cluster, job):
    """The connections between the first gateway and the sidecars break; the gateway runs the task
    elsewhere."""
    cluster.proxies[0].reset()
    return await job


async def lose_gateway(cluster, job):
    """The first gateway ends, and the caller sends the job again through the second one."""
    await cluster.gateways[0].stop(signal.SIGKILL)
    await job
    await asyncio.sleep(RESUBMIT_DELAY_S)
    return await cluster.submit(cluster.gateways[1], JOB_ID, 1, 1000)


async def leave(cluster, job, paused_nodes=()):
    """The caller's connection breaks while @paused_nodes are paused, and the caller sends the job
    again through the second gateway."""
    for node in paused_nodes:
        node.send(signal.SIGSTOP)
    job.cancel()
    left_s = time.monotonic()
    if paused_nodes:
        await asyncio.sleep(PAUSE_S)
    for node in paused_nodes:
        node.send(signal.SIGCONT)
    await asyncio.sleep(left_s + RESUBMIT_DELAY_S - time.monotonic())
    return await cluster.submit(cluster.gateways[1], JOB_ID, 1, 1000)


async def leave_paused_gateway(cluster, job):
    return await leave(cluster, job, cluster.gateways[:1])


async def leave_with_paused_sidecars(cluster, job):
    return await leave(cluster, job, cluster.sidecars)


async def move_and_lose_sessions(cluster, job):
    """The task stalls, and while the gateway waits for its stop the connections break."""
    executor = next(e for e in cluster.executors if JOB_ID + ".0.0.0" in e.tasks)
    executor.speed = 0.0
    await asyncio.wait_for(executor.stop_requested.wait(), STEP_TIMEOUT_S)
    await asyncio.sleep(MOVE_WAIT_S)
    cluster.proxies[0].reset()
    return await job


async def play(lose, acknowledges_stops):
    """Returns the history and the status of the job's answer."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = TwoGateways(folder)
        await cluster.build_cluster()
        try:
            job, other = await cluster.start_jobs()
            cluster.set_slow_stops(acknowledges_stops)
            status = await lose(cluster, job)
            other.cancel()
            return cluster.history, status
        finally:
            await cluster.close()


class SlowStop(unittest.TestCase):
    def check(self, lose, acknowledges_stops):
        history, status = asyncio.run(play(lose, acknowledges_stops))
        self.assertEqual(history.violations, [])
        self.assertEqual(status, 200)
        self.assertGreaterEqual(history.n_runs(JOB_ID), 2)

    def test_unanswered_stop_does_not_let_a_task_run_twice(self):
        """Guards against leases that are renewed although no stop has been answered."""
        self.check(lose_sessions, acknowledges_stops=False)

    def test_acknowledged_stop_does_not_let_a_task_run_twice(self):
        """Guards against the same after a stop that was answered and not yet carried out."""
        self.check(lose_sessions, acknowledges_stops=True)

    def test_job_sent_again_does_not_run_beside_its_former_run(self):
        """Guards against the same if the gateway has ended and the job comes by another one."""
        self.check(lose_gateway, acknowledges_stops=False)

    def test_job_of_a_caller_that_left_does_not_run_beside_its_former_run(self):
        """Guards against the same if the gateway asks for the stop."""
        self.check(leave, acknowledges_stops=False)

    def test_stop_that_a_paused_gateway_asks_for_late_ends_the_task_in_time(self):
        """Guards against a limit that counts from the request although the caller left before."""
        self.check(leave_paused_gateway, acknowledges_stops=False)

    def test_stop_that_a_paused_sidecar_reads_late_ends_the_task_in_time(self):
        """Guards against the same if the request waits at the sidecar."""
        self.check(leave_with_paused_sidecars, acknowledges_stops=False)

    def test_move_whose_session_closes_does_not_let_a_task_run_twice(self):
        """Guards against a lost session that is taken for the end of a task that is being moved."""
        self.check(move_and_lose_sessions, acknowledges_stops=False)


if __name__ == "__main__":
    unittest.main()
