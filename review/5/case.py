"""BUDGET: a request that crashes each leaf that runs it comes again, at machine after machine of a fleet of 32."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from lab import Leaf, main, new_request_id  # noqa: E402

# The sheet of meterline-tx-grown: 32 machines; field-app with 7 leafs of 3 slots; route-card, one leaf, 10.5 a second.
MACHINES, LEAFS, SLOTS, CONNECTIONS = 32, 7, 3, 550
ZONES = ["tx-central-a", "tx-central-b", "tx-central-c"]
WORK_S, TIME_LIMIT_MS, OBJECTIVE_MS, PER_S = 0.12, 5000, 500, 10.5
SETTINGS = {"limits.cpuShare": 0.29, "limits.memoryMb": 393, "limits.maxFds": 8192, "limits.linkMbps": 64.0,
            "bounds.contactMs": 5000, "bounds.ackMs": 8000, "bounds.catchUpS": 6, "bounds.drainMs": 5000,
            "bounds.configMs": 5000, "bounds.maxSkewMs": 15000, "bounds.retrySlack": 202, "bounds.recoverS": 15,
            "platform.readsPerS": 6000}
CONTACT_S = 5.0  # bounds.contactMs
POISON_GAP_S, POISON_TIMES = 2.0, 24
POISON = "/timi402/7f3a"


async def innocents(lab, end, ends):
    async def one():
        request = new_request_id()
        answer = await lab.call(random.randrange(MACHINES), "GET", f"/timi402/{request[:6]}", request, TIME_LIMIT_MS)
        status = answer[0] if answer else None
        ends[status] = ends.get(status, 0) + 1
        if status != 200:
            lab.note(f"another consumer gets {status} for {request}")
    tasks = []
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)


async def case(lab):
    await lab.start([ZONES[index % 3] for index in range(MACHINES)])
    lab.publish(2, [{"name": "r-card", "host": "pupu76.example", "prefix": "/timi402/", "routeType": "idempotent",
                     "timeoutMs": TIME_LIMIT_MS, "sloMs": OBJECTIVE_MS, "priority": 2, "service": "kafi81c", "maxAttempts": 2}],
                [{"name": "kafi81c", "healthPath": "/health", "maxConns": CONNECTIONS, "protocol": "h1", "tls": False,
                  "warmupS": 3.0, "rampPerS": 0.0}])
    crashes = []  # times

    def decide(leaf, request, target):
        if lab.trouble and target == POISON:
            crashes.append(time.monotonic())
            return "crash"
        return ""
    for number in range(LEAFS):
        leaf = Leaf(lab, "kafi81c", ZONES[number % 3], slots=SLOTS, queue=16, work_s=WORK_S)
        leaf.decide = decide
        await leaf.start()
    for index in range(MACHINES):
        lab.start_node(index)
    await lab.wait_until_ready()
    await asyncio.sleep(8)  # the machines know each other and are in touch
    ends, poisoned = {}, []
    others = asyncio.create_task(innocents(lab, time.monotonic() + POISON_GAP_S * POISON_TIMES, ends))
    for number in range(POISON_TIMES):
        # The same path, caller and body; another machine each time.
        request = new_request_id()
        sent = time.monotonic()
        lab.note(f"the request {POISON} is sent as {request} to machine {number + 1}")
        answer = await lab.call(number, "GET", POISON, request, TIME_LIMIT_MS)
        lab.note(f"it gets {answer[0] if answer else None}")
        poisoned.append((request, sent))
        await asyncio.sleep(max(0.0, sent + POISON_GAP_S - time.monotonic()))
    await others
    lab.note(f"answers to other requests: {ends}; crashes of leafs: {len(crashes)}")
    if len(crashes) < 3:
        return []
    since = crashes[2] + CONTACT_S
    late = [request for request, sent in poisoned if sent > since and lab.runs.get(request)]
    lab.note(f"retries that reached leafs later than contactMs after the third crash: {len(late)}")
    return [f"{len(late)} retries reached leafs later than contactMs after the third crash"] if len(late) > 3 else []

if __name__ == "__main__":
    main(case, pathlib.Path(__file__).resolve().parent, SETTINGS)
