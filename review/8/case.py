"""The store comes back from a copy that is some seconds old; does the next version come into force?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as standins  # noqa: E402

CONFIG_S, CONTACT_S, SKEW_S = 3.0, 4.0, 12.0  # bounds.configMs, contactMs, maxSkewMs
COPY_AGE_S = 3.0
AWAY_S = 1.0
BEAT_S = 1.2  # beatMs


def route(service, timeout_ms=6000):
    return {
        "name": "r-1", "host": standins.Lab.host, "prefix": "/timi402/", "routeType": "idempotent",
        "timeoutMs": timeout_ms, "sloMs": 600, "priority": 2, "service": service, "maxAttempts": 2,
    }


async def case(lab):
    store, record = lab.store, lab.record
    store.era = 1
    await store.start()
    await lab.add_leaves("dues", 3)
    await lab.add_leaves("board", 3)
    services = ["dues", "board", "ledger"]
    await lab.put_config([route("dues")], services)
    await lab.start_vms(3)
    await asyncio.sleep(3)

    copy = store.copy()
    record.say(f"the copy is made at revision {copy[2]}")
    first = len(lab.leaves)
    await lab.add_leaves("ledger", 12)  # empty leaves are added
    await asyncio.sleep(COPY_AGE_S)
    record.say(f"the store is at revision {store.revision}")
    if standins.TROUBLE:
        store.away()
        record.say("the store is away")
        await asyncio.sleep(AWAY_S)
        await store.back_from(copy)
        record.say(f"the store is back at revision {store.revision}, era {store.era}")

        async def write_again():
            for leaf in lab.leaves[first:]:
                await asyncio.sleep(BEAT_S / 12)
                await leaf.publish()
            record.say(f"all leaves have written again, revision {store.revision}")

        again = asyncio.create_task(write_again())
    await asyncio.sleep(0.5)
    confirmed = await lab.put_config([route("board")], services)
    record.say(f"version {lab.version} moves the route from dues to board, revision {store.revision}")
    if standins.TROUBLE:
        await again

    due = confirmed + CONTACT_S + CONFIG_S + SKEW_S
    callers = [standins.Caller(lab, vm) for vm in lab.vms]
    runs = {}
    while record.now() < due + 10:
        for caller in callers:
            sent = record.now()
            answer = await caller.ask("/timi402/2f", 6000)
            if sent > due:
                service = ",".join(answer.services) or str(answer.status)
                runs[(caller.vm.name, service)] = runs.get((caller.vm.name, service), 0) + 1
        await asyncio.sleep(0.2)
    old = sum(count for (_, service), count in runs.items() if service == "dues")
    for (vm, service), count in sorted(runs.items()):
        record.say(f"{vm}: {count} requests sent over {due - confirmed:.0f} s after the confirmation run by {service}")
    return old == 0


standins.run(__file__, case)
