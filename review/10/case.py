"""The configuration allows larger bodies: are they taken on connections that were idle meanwhile?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as standins  # noqa: E402

CONFIG_S = 3.0  # bounds.configMs
IDLE_LIMIT_S = 15.0  # limits.idleTimeoutMs; callers reuse connections idle for up to 4/5 of it
OLD_LIMIT, NEW_LIMIT, BODY = 262144, 1048576, 400000  # maxBodyBytes, and the bodies that are sent
CONNECTIONS = 10  # kept connections to each VM


def routes():
    return [{
        "name": "r-1", "host": standins.Lab.host, "prefix": "/timi402/", "routeType": "idempotent",
        "timeoutMs": 6000, "sloMs": 600, "priority": 2, "service": "dues", "maxAttempts": 2,
    }]


async def case(lab):
    record = lab.record
    await lab.store.start()
    await lab.add_leaves("dues", 3)
    await lab.put_config(routes(), ["dues"], max_body_bytes=OLD_LIMIT if standins.TROUBLE else NEW_LIMIT)
    await lab.start_vms(3)
    await asyncio.sleep(3)
    callers = [standins.Caller(lab, vm) for vm in lab.vms for _ in range(CONNECTIONS)]
    for caller in callers:
        await caller.ask("/timi402/2f", 6000)
    idle_since = record.now()
    if standins.TROUBLE:
        await lab.put_config(routes(), ["dues"], max_body_bytes=NEW_LIMIT)
        record.say(f"version {lab.version} is confirmed: maxBodyBytes {OLD_LIMIT} -> {NEW_LIMIT}")
    await asyncio.sleep(CONFIG_S + 2)
    total = refused = 0
    for attempt in (1, 2):
        for caller in callers:
            assert record.now() - idle_since < 0.8 * IDLE_LIMIT_S
            answer = await caller.ask("/timi402/2f", 6000, "POST", os.urandom(BODY // 2).hex().encode())
            total += 1
            refused += 300 <= answer.status < 500 and not answer.services
        record.say(f"requests number {attempt} after the change: {refused} of {total} in all got a 4xx of the VM")
    return refused <= 5 + total / 500


standins.run(__file__, case)
