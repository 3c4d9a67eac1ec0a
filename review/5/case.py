"""DENIED: the operator raises maxBodyBytes; queries with longer bodies are answered 413 by a fleet of 32 machines."""
import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from lab import Leaf, main, new_request_id  # noqa: E402

# The sheet of meterline-tx-grown: 32 machines, premise-history with a time limit of 1,200 ms; fewer shards than there.
MACHINES, SHARDS, LEAFS = 32, 10, 3
ZONES = ["tx-central-a", "tx-central-b", "tx-central-c"]
SETTINGS = {"limits.cpuShare": 0.29, "limits.memoryMb": 393, "limits.maxFds": 8192, "limits.linkMbps": 200.0,
            "bounds.contactMs": 5000, "bounds.ackMs": 8000, "bounds.catchUpS": 6, "bounds.drainMs": 5000,
            "bounds.configMs": 5000, "bounds.maxSkewMs": 15000, "bounds.retrySlack": 202, "bounds.recoverS": 15,
            "platform.readsPerS": 6000}
CONFIG_S, TIME_LIMIT_MS = 5.0, 1200
OLD_LIMIT, NEW_LIMIT = 262144, 1048576
REQUESTS, GAP_S = 100, 0.15


async def case(lab):
    await lab.start([ZONES[index % 3] for index in range(MACHINES)])
    shards = [f"shard{number}" for number in range(SHARDS)]
    routes = [{"name": "r-history", "host": "pupu76.example", "prefix": "/ziti980/ti38/", "routeType": "idempotent",
               "timeoutMs": TIME_LIMIT_MS, "sloMs": 150, "priority": 1, "gather": shards, "maxAttempts": 2, "topK": 20,
               "minCoverage": 0.85}]
    services = [{"name": name, "healthPath": "/health", "maxConns": 62, "protocol": "h1", "tls": False, "warmupS": 3.0,
                 "rampPerS": 0.0} for name in shards]
    lab.publish(2, routes, services, body_bytes=OLD_LIMIT)
    for name in shards:
        for number in range(LEAFS):
            await Leaf(lab, name, ZONES[number], slots=2, queue=12, work_s=0.015).start()
    for index in range(MACHINES):
        lab.start_node(index)
    await lab.wait_until_ready()
    await asyncio.sleep(8)  # the machines know each other and are in touch
    if lab.trouble:
        lab.publish(5, routes, services, body_bytes=NEW_LIMIT)
        lab.note(f"version 5 raises maxBodyBytes from {OLD_LIMIT} to {NEW_LIMIT}")
    await asyncio.sleep(CONFIG_S + 3)
    lab.on_run = lambda leaf, request, method, target, body, limit: lab.runs.setdefault(request, []).append(len(body))
    size = 300000 if lab.trouble else 200000  # within the limit in force
    statuses, tasks = [], []

    async def one(number):
        request, index = new_request_id(), random.randrange(MACHINES)
        answer = await lab.call(index, "POST", f"/ziti980/ti38/{number:04x}", request, TIME_LIMIT_MS, os.urandom(size))
        statuses.append(answer[0] if answer else None)
        lab.note(f"{request} with a body of {size} bytes sent to machine {index + 1} gets {statuses[-1]}, "
                 f"ran at {len(lab.runs.get(request, []))} leafs")
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(one(number)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    denied = sum(status is not None and 300 <= status < 500 and status not in (408, 421, 429) for status in statuses)
    lab.note(f"answers: { {status: statuses.count(status) for status in set(statuses)} }")
    if denied > 5 + len(statuses) / 500:
        return [f"{denied} of {len(statuses)} proper requests are denied with a status of the system's own"]
    return []

if __name__ == "__main__":
    main(case, pathlib.Path(__file__).resolve().parent, SETTINGS)
