"""Heartbeats that another writer sends to the sidecar of an executor."""
import time


def unknown_instance(executor):
    """A sound heartbeat of an executor that doesn't exist, at the address of the present one."""
    return dict(executor.describe(), service="unnamed", sequence=1, born=int(time.time() * 1000))


def odd_fields(executor):
    """Fields that the present executor can't state."""
    return [{"address": "127.0.0.1:99999"}, {"address": "127.0.0.1:1"}, {"sequence": 2 ** 62},
            {"clock-ms": 2 ** 62}, {"born": executor.born + 10 ** 9}, {"born": 2 ** 62},
            {"service": "unnamed"}, {"zone": "elsewhere"}, {"labels": ["z"]}, {"labels": [7]},
            {"capacity": {}}, {"capacity": {"cpu": 10 ** 30}}, {"slots": "8"}, {"version": 1},
            {"state": "resting"}, {"service": None}]


async def send_foreign_heartbeats(executor):
    """Sends heartbeats under another id and under that of @executor. If one of the latter was
    believed, the executor would count as draining."""
    await executor.tell("Heartbeat", "i-other", unknown_instance(executor))
    for fields in odd_fields(executor):
        sound = dict(executor.describe(), state="draining", sequence=executor.sequence + 1000)
        await executor.tell("Heartbeat", executor.id, dict(sound, **fields))
