#!/usr/bin/env python3
"""Real ibishold-node processes whose coordinators of fan-out calls are killed and frozen: on how many leaves does a call run?

Guards against two coordinators that together send a call to more leaves of a shard than its route allows (review/10): a
call with one attempt that a second coordinator sends, and a call with two attempts of which the first coordinator has used
both, since leaves failed, before it was killed.

Usage: killed_coordinator_test.py --node PATH [--kills N] [--seed N]. Exit code 1 if a promise was broken.
"""
import argparse
import asyncio
import signal
import sys

import soak

soak.NODES = 24  # above 20, fan-out calls go to coordinators
SHARDS = [f"shard-{number}" for number in range(4)]
LEAVES = 4  # of each shard
CALLERS = 64
CALLS_PER_S = 86.0  # of all callers together
AT_ONCE = 2  # coordinators that are killed or frozen at a time
PAUSE_S = 4.0
FAILED_SHARE = 0.25  # of the requests of calls with two attempts
CALLS_OVER_LIMIT = 3  # that the bound allows


class KilledCoordinatorRun(soak.Soak):
    def __init__(self, node, kills, seed):
        super().__init__(node, seed=seed, seconds=0)
        self.kills = kills
        self.reached = {}  # (request, service): ids of the leaves that began to run it

    async def publish(self):
        self.version += 1
        await self.store.put("op/config", {
            "version": self.version,
            "routes": [{"host": "h.example", "timeoutMs": 6000, "sloMs": 1500, "priority": 1, "maxAttempts": limit,
                        "name": f"all{limit}", "prefix": f"/all{limit}/", "routeType": "idempotent", "gather": SHARDS,
                        "topK": 7, "minCoverage": 0.5} for limit in (1, 2)],
            "services": [{"name": name, "maxConns": 200, "rampPerS": 0} for name in SHARDS],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    def crashes_leaf(self, state, start, request):
        self.reached.setdefault((request, state["service"]), set()).add(state["id"])
        # A connection that breaks counts as an attempt that may have run.
        return "/all2/" in start and self.random.random() < FAILED_SHARE

    def coordinators(self):
        """The VMs whose logs say that they coordinate and that not every VM does."""
        found = []
        for index in range(soak.NODES):
            lines = (self.folder / f"node-{index}.log").read_text().splitlines()
            plans = [line for line in lines if '"event":"plan"' in line]
            if plans and '"direct":"false"' in plans[-1] and '"coordinates":"true"' in plans[-1]:
                found.append(index)
        return found

    async def caller(self, number):
        serial, index = 0, number % soak.NODES
        writer = None
        while not self.finished:
            await asyncio.sleep(self.random.expovariate(CALLS_PER_S / CALLERS))
            serial += 1
            limit = 1 + serial % 2
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(f"{self.host}{index + 1}", 7104)
                # With a path of its own, so that its lost attempts are not taken for those of a call that crashes leaves.
                request = f"{limit}{number:03x}{serial:06x}"
                await soak.write_message(writer, f"GET /all{limit}/{request} HTTP/1.1", {
                    "Host": "h.example", "X-Ibishold-Request-Id": request, "X-Ibishold-Deadline-Remaining": 6000})
                answer = await asyncio.wait_for(soak.read_message(reader), 7)
                self.count(answer[0].split()[1] if answer else "closed")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answer = None
            if not answer or answer[1].get("connection") == "close":
                if writer:
                    writer.close()
                writer = None
        if writer:
            writer.close()

    async def disturb(self):
        for turn in range(self.kills):
            victims = self.coordinators()
            self.random.shuffle(victims)
            victims = victims[:AT_ONCE]
            for index in victims:
                # A frozen process keeps its connections until it is killed or goes on.
                self.processes[index].send_signal(signal.SIGSTOP if turn % 3 == 2 else signal.SIGKILL)
            if turn % 3 == 2:
                await asyncio.sleep(self.random.choice([0.1, 1.0]))
                for index in victims:
                    self.processes[index].send_signal(signal.SIGCONT if turn % 2 else signal.SIGKILL)
            for index in victims:
                if turn % 3 != 2 or turn % 2 == 0:
                    self.processes[index].wait()
                    self.start_node(index)
            await asyncio.sleep(PAUSE_S)


async def play(run):
    await run.start_all()
    for service in SHARDS:
        for number in range(LEAVES):
            leaf = run.leaves.get(f"{service}-{number}")
            if leaf is None:
                await run.start_leaf(service, f"{service}-{number}", f"dc{number % 2}")
            run.leaves[f"{service}-{number}"]["slow"] = 0.2
    await asyncio.sleep(6)  # the VMs know each other
    if not run.coordinators():
        run.break_promise("no VM coordinates for others")
    run.finished = False
    callers = [asyncio.create_task(run.caller(number)) for number in range(CALLERS)]
    await run.disturb()
    run.finished = True
    await asyncio.gather(*callers)
    for limit in (1, 2):
        over = sorted({request for (request, _), leaves in run.reached.items()
                       if request.startswith(str(limit)) and len(leaves) > limit})
        print(f"maxAttempts {limit}: {len(over)} calls ran on more leaves of a shard")
        if len(over) > CALLS_OVER_LIMIT:
            run.break_promise(f"with maxAttempts {limit}, {len(over)} calls ran on more leaves of a shard: {over[:8]}")
    run.stop_all()
    await asyncio.sleep(0.5)  # the connections of the processes end


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--node", required=True)
    parser.add_argument("--kills", type=int, default=9)
    parser.add_argument("--seed", type=int, default=26)
    arguments = parser.parse_args()
    run = KilledCoordinatorRun(arguments.node, arguments.kills, arguments.seed)
    try:
        asyncio.run(play(run))
    finally:
        for process in run.processes.values():
            if process.poll() is None:
                process.kill()
    print(f"answers: {run.counts}; logs in {run.folder}")
    for text in run.broken[:10]:
        print(f"BROKEN at {text}")
    return 1 if run.broken else 0


if __name__ == "__main__":
    sys.exit(main())
