#!/usr/bin/env python3
"""Tests the client that the stand-ins and tests use."""
import asyncio
import time
import unittest

import standin_http
from process_testing import free_port

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 0.2
STEPS_MAX = 40  # steps of the event loop; a call to a port that is closed takes fewer
END_LIMIT_S = 5.0


async def call_forever(port):
    """Calls as executors send their heartbeats."""
    while True:
        client = standin_http.HttpClient(HOST, port)
        try:
            await client.call("GET", "/", {}, None, CALL_TIMEOUT_S)
        except (OSError, TimeoutError):
            pass
        finally:
            client.close()


async def is_cancelled_after(port, n_steps):
    """Returns whether a task ends that is cancelled @n_steps steps of the event loop after its start.
    """
    task = asyncio.ensure_future(call_forever(port))
    for _ in range(n_steps):
        await asyncio.sleep(0)
    task.cancel()
    done, _ = await asyncio.wait({task}, timeout=1)
    while not task.done():
        task.cancel()
        await asyncio.sleep(0.01)
    return bool(done)


async def answer_nothing():
    """Returns the seconds that a call to a server that sends nothing takes to fail."""
    async def ignore(reader, writer):
        await reader.read()
        writer.close()

    port = free_port()
    server = await asyncio.start_server(ignore, HOST, port)
    begin_s = time.monotonic()
    try:
        await standin_http.HttpClient(HOST, port).call("GET", "/", {}, None, CALL_TIMEOUT_S)
    except TimeoutError:
        return time.monotonic() - begin_s
    finally:
        server.close()
    return None


class HttpClientTest(unittest.TestCase):
    def test_cancelled_task_ends_whenever_it_is_cancelled(self):
        """Guards against tests that never end because a task missed its cancellation."""
        port = free_port()
        missed = [n for n in range(STEPS_MAX) if not asyncio.run(is_cancelled_after(port, n))]
        self.assertEqual(missed, [])

    def test_call_without_response_times_out(self):
        elapsed_s = asyncio.run(answer_nothing())
        self.assertIsNotNone(elapsed_s)
        self.assertLess(elapsed_s, END_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
