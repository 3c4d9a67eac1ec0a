#!/usr/bin/env python3
"""Real ibishold-node processes whose store comes back from a copy that is some seconds old, twice within seconds.

Guards against VMs that compare revisions of the store's different epochs. After the store had come back, no VM took the
next configuration, since it had a revision that they believed to know (review/8). Also checked, from the moment at which
the store is back until its publishers have written again: a leaf that drains gets no work although the copy says that it
is ready, an evacuation stays in force, leaves that the copy lacks are used, and no configuration goes back. A VM is
killed and starts in each round.

Usage: restored_store_test.py --node PATH. Exit code 1 if a promise was broken.
"""
import argparse
import asyncio
import signal
import sys
import time

import soak

soak.NODES = 7
AWAY_S = 1.0
COPY_AGE_S = 2.0
REWRITE_S = 1.5  # until the publishers write again
ADDED_LEAVES = 12  # more than are written again before the next version
SERVICES = ["first", "second"]


class RestoredStoreRun(soak.Soak):
    def __init__(self, node):
        super().__init__(node, seed=27, seconds=0)
        self.service = SERVICES[0]
        self.forbidden, self.used = {}, {}  # leaf: reason; leaf: runs

    async def publish(self):
        self.version += 1
        await self.store.put("op/config", {
            "version": self.version,
            "routes": [{"host": "h.example", "timeoutMs": 1500, "sloMs": 300, "priority": 1, "maxAttempts": 2, "name": "one",
                        "prefix": "/one/", "routeType": "idempotent", "service": self.service}],
            "services": [{"name": name, "maxConns": 60, "rampPerS": 0} for name in SERVICES],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def start_services(self):
        for service in SERVICES:
            for number in range(4):
                await self.start_leaf(service, f"{service}-{number}", f"dc{number % 2}")

    def crashes_leaf(self, state, start, request):
        self.used[state["id"]] = self.used.get(state["id"], 0) + 1
        if state["id"] in self.forbidden:
            self.break_promise(f"{request} reached {state['id']}, {self.forbidden[state['id']]}")
        return False

    async def ask(self, node, serial):
        """Returns the service that answered, or the status."""
        request = f"{node:02x}{serial:06x}"
        reader, writer = await asyncio.open_connection(f"{self.host}{node + 1}", 7104)
        await soak.write_message(writer, "GET /one/x HTTP/1.1", {
            "Host": "h.example", "X-Ibishold-Request-Id": request, "X-Ibishold-Deadline-Remaining": 1500})
        answer = await asyncio.wait_for(soak.read_message(reader), 4)
        writer.close()
        status = answer[0].split()[1] if answer else "no answer"
        self.count(status)
        given = self.given.get(answer[1].get("x-ibishold-response-stamp")) if answer else None
        return given[1] if given else status

    async def ask_all(self, expected, seconds, nodes=None, serial=[0]):
        """Asks all VMs until the time is over; each must be answered by the expected service."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for node in nodes or range(soak.NODES):
                serial[0] += 1
                answered = await self.ask(node, serial[0])
                if answered != expected:
                    self.break_promise(f"node-{node} answered with {answered}, not {expected}")
            await asyncio.sleep(0.05)

    async def lose_store(self, copy):
        self.store.available.clear()
        self.proxy.mode = "cut"
        self.proxy.reset()
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        self.proxy.mode = "pass"

    async def restart_node(self, index):
        self.processes[index].send_signal(signal.SIGKILL)
        self.processes[index].wait()
        self.start_node(index)
        await asyncio.sleep(1)


async def play_round(run, restarted):
    """One loss of the store's last seconds, in which a version, a drain, an evacuation and new leaves were written."""
    old, new = run.service, SERVICES[1 - SERVICES.index(run.service)]
    untouched = [node for node in range(soak.NODES) if node != restarted]
    copy = run.store.copy()
    drained, added = run.leaves[f"{new}-0"], [f"{new}-{restarted}-{number}" for number in range(ADDED_LEAVES)]
    run.service = new
    await run.publish()
    await run.store.put("op/evacuate/dc1", {})
    for leaf in added:
        await run.start_leaf(new, leaf, "dc0")
    drained["draining_at"] = time.monotonic()
    await run.register(drained)
    await asyncio.sleep(COPY_AGE_S)
    run.forbidden = {leaf: "which is evacuated" for leaf, state in run.leaves.items() if state["centre"] == "dc1"}
    run.forbidden[drained["id"]] = "which drains"
    run.used.clear()
    await run.lose_store(copy)
    await run.ask_all(new, REWRITE_S, untouched)
    if not any(run.used.get(leaf) for leaf in added):
        run.break_promise("no leaf that the copy lacks got work while it had time to write again")
    # The publishers write again, under numbers that the store had assigned before.
    run.service = old
    await run.publish()
    await run.store.put("op/evacuate/dc1", {})
    for state in list(run.leaves.values()):
        await run.register(state)
    run.forbidden = {}
    await asyncio.sleep(soak.CONFIG_TIME_S)
    await run.restart_node(restarted)
    run.forbidden = {leaf: "which is evacuated" for leaf, state in run.leaves.items() if state["centre"] == "dc1"}
    await run.ask_all(old, 1)
    await run.store.remove("op/evacuate/dc1")
    run.forbidden = {}
    await asyncio.sleep(2)
    run.used.clear()
    await run.ask_all(old, 1)
    if not any(run.used.get(f"{old}-{number}") for number in (1, 3)):
        run.break_promise("no leaf of dc1 got work after its evacuation had ended")


async def play(run):
    await run.start_all()
    await run.start_services()
    await asyncio.sleep(2)
    await run.ask_all(SERVICES[0], 0.5)
    await play_round(run, restarted=0)  # a seed, which may watch the store
    run.leaves["second-0"]["draining_at"] = None
    run.leaves["second-0"]["born"] += 1
    await run.register(run.leaves["second-0"])
    await asyncio.sleep(1)
    await play_round(run, restarted=soak.NODES - 1)
    # Twice within seconds, while versions come: the last one must come into force everywhere.
    copies = [run.store.copy()]
    await run.publish()
    copies.append(run.store.copy())
    for copy in reversed(copies):
        await asyncio.gather(run.lose_store(copy), run.publish())
        await run.publish()
    run.service = SERVICES[1]
    await run.publish()
    for state in list(run.leaves.values()):
        await run.register(state)
    await asyncio.sleep(soak.CONFIG_TIME_S)
    await run.ask_all(SERVICES[1], 1)
    run.stop_all()
    await asyncio.sleep(0.5)  # the connections of the processes end


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--node", required=True)
    run = RestoredStoreRun(parser.parse_args().node)
    try:
        asyncio.run(play(run))
    finally:
        for process in run.processes.values():
            if process.poll() is None:
                process.kill()
    print(f"answers: {run.counts}; epochs of the store: {run.store.epoch}; logs in {run.folder}")
    for text in run.broken[:20]:
        print(f"BROKEN at {text}")
    return 1 if run.broken else 0


if __name__ == "__main__":
    sys.exit(main())
