"""A VM that coordinates fan-out calls is killed: on how many leaves of one shard does a call run?"""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as standins  # noqa: E402

VMS = 32  # as many as on the Meterline sheet; above 20, fan-out calls go to coordinators
SHARDS = ["desk1", "desk2", "desk3", "desk4"]
MAX_ATTEMPTS = 1
CALLERS = 64
RATE = 86.0  # calls a second of all callers together
KILLS, GAP_S = 12, 6.0
AT_ONCE = 3  # share = 0.1 of the machines, the default of node_kill


def routes():
    return [{
        "name": "r-all", "host": standins.Lab.host, "prefix": "/ziti980/", "routeType": "idempotent",
        "timeoutMs": 6000, "sloMs": 1500, "priority": 1, "gather": SHARDS, "maxAttempts": MAX_ATTEMPTS,
        "topK": 20, "minCoverage": 0.75,
    }]


def coordinators(lab):
    """The VMs whose logs say that they coordinate and that not every VM does."""
    found = []
    for vm in lab.vms:
        with open(os.path.join(lab.folder, f"{vm.name}.log"), encoding="utf-8") as file:
            plans = [line for line in file if '"event":"plan"' in line]
        if plans and '"direct":"false"' in plans[-1] and '"coordinates":"true"' in plans[-1]:
            found.append(vm)
    return found


async def case(lab):
    record = lab.record
    await lab.store.start()
    for service in SHARDS:
        await lab.add_leaves(service, 2, work_s=0.25)
    await lab.put_config(routes(), SHARDS)
    await lab.start_vms(VMS)
    await asyncio.sleep(6)
    record.say(f"coordinators: {', '.join(vm.name for vm in coordinators(lab))}")
    end = record.now() + KILLS * GAP_S + 3
    statuses = {}

    async def call(vm):
        caller = standins.Caller(lab, vm)
        while record.now() < end:
            try:
                await asyncio.sleep(random.expovariate(RATE / CALLERS))
                answer = await caller.ask(f"/ziti980/{lab.next_request:x}", 6000)
                statuses[answer.status] = statuses.get(answer.status, 0) + 1
            except (OSError, asyncio.TimeoutError):
                caller.close()
                await asyncio.sleep(0.2)

    async def trouble():
        for _ in range(KILLS if standins.TROUBLE else 0):
            victims = coordinators(lab)
            random.shuffle(victims)
            for vm in victims[:AT_ONCE]:
                vm.send(signal.SIGKILL)
            for vm in victims[:AT_ONCE]:
                vm.process.wait()
            await asyncio.sleep(0.5)
            for vm in victims[:AT_ONCE]:
                vm.start()
            await asyncio.sleep(GAP_S - 0.5)

    await asyncio.gather(trouble(), *[call(lab.vms[number % VMS]) for number in range(CALLERS)])
    runs = {}
    for leaf in lab.leaves:
        for _, request in leaf.runs:
            runs.setdefault((request, leaf.service), set()).add(leaf.id)
    over = {}
    for (request, service), leaves in runs.items():
        if len(leaves) > MAX_ATTEMPTS:
            over.setdefault(request, []).append(f"{service}: {', '.join(sorted(leaves))}")
    for request, where in sorted(over.items()):
        record(f"over maxAttempts: {request} {'; '.join(where)}")
    record.say(f"answers by status: {dict(sorted(statuses.items()))}")
    record.say(f"{len(over)} requests ran on more than {MAX_ATTEMPTS} leaf of a shard")
    return len(over) <= 3


standins.run(__file__, case)
