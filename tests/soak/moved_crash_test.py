#!/usr/bin/env python3
"""Real ibishold-node processes get a call that crashes each leaf that runs it, while the operator moves its route.

Guards against crashes that are counted for each service: the call went on crashing leaves of the service that its route
was moved to, at VM after VM. Three requests of the call may reach leaves later than the contact time after the third
crash. One VM starts again after the third crash.

Usage: moved_crash_test.py --node PATH. Exit code 1 if a promise was broken.
"""
import argparse
import asyncio
import signal
import sys
import time

import soak

soak.NODES = 13
SERVICES = ["first", "second"]
LEAVES = 5  # of each service
CONTACT_TIME_S = 4.0
LATE_REQUEST_LIMIT = 3
DOWN_TIME_S = 1.5  # of a crashed leaf
RESTARTED_NODE = 12


class CrashRun(soak.Soak):
    def __init__(self, node):
        super().__init__(node, seed=28, seconds=0)
        self.service, self.asked = SERVICES[0], 0
        self.crashed_at, self.late_requests, self.restarts = [], set(), []

    async def publish(self):
        self.version += 1
        await self.store.put("op/config", {
            "version": self.version,
            "routes": [{"host": "h.example", "timeoutMs": 1500, "sloMs": 300, "priority": 1, "maxAttempts": 1, "name": "one",
                        "prefix": "/one/", "routeType": "non_idempotent", "service": self.service}],
            "services": [{"name": name, "maxConns": 60, "rampPerS": 0} for name in SERVICES],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def serve_leaf(self, state, reader, writer):
        state.setdefault("writers", set()).add(writer)
        await super().serve_leaf(state, reader, writer)

    def crashes_leaf(self, state, start, request):
        now = time.monotonic()
        if len(self.crashed_at) >= 3 and now - self.crashed_at[2] > CONTACT_TIME_S:
            self.late_requests.add(request)
        if state.get("crashed"):
            return True
        state["crashed"] = True
        self.crashed_at.append(now)
        state["server"].close()
        for writer in state["writers"]:
            writer.transport.abort()
        self.restarts.append(asyncio.ensure_future(self.restart_leaf(state)))
        return True

    async def restart_leaf(self, state):
        await asyncio.sleep(DOWN_TIME_S)
        await self.store.remove("servers/" + state["id"])
        del self.leaves[state["id"]]
        await self.start_leaf(state["service"], state["id"] + "n", state["centre"])

    async def ask(self, node):
        """Sends the call once, as a request of its own."""
        self.asked += 1
        request = f"{self.asked:06x}"
        reader, writer = await asyncio.open_connection(f"{self.host}{node + 1}", 7104)
        await soak.write_message(writer, "POST /one/x HTTP/1.1", {
            "Host": "h.example", "X-Ibishold-Request-Id": request, "X-Ibishold-Deadline-Remaining": 1500},
            b"body")
        answer = await asyncio.wait_for(soak.read_message(reader), 4)
        writer.close()
        self.count(answer[0].split()[1] if answer else "no answer")

    async def move(self, service):
        self.service = service
        await self.publish()


async def play(run):
    await run.start_all()
    for service in SERVICES:
        for number in range(LEAVES):
            await run.start_leaf(service, f"{service}-{number}", f"dc{number % 2}")
    await asyncio.sleep(6)  # the VMs know each other
    for node in range(6):
        if len(run.crashed_at) < 3:
            await run.ask(node)
            await asyncio.sleep(0.5)
    run.processes[RESTARTED_NODE].send_signal(signal.SIGKILL)
    run.processes[RESTARTED_NODE].wait()
    run.start_node(RESTARTED_NODE)
    await asyncio.sleep(CONTACT_TIME_S)
    await run.move(SERVICES[1])
    await asyncio.sleep(2)
    # At the same moment, so that no VM can hear of the others' crashes first.
    await asyncio.gather(*[run.ask(node) for node in range(6, 12)])
    await run.ask(RESTARTED_NODE)
    if len(run.crashed_at) < 3:
        run.break_promise("the call has not crashed three leaves")
    if len(run.late_requests) > LATE_REQUEST_LIMIT:
        run.break_promise(f"{len(run.late_requests)} requests reached leaves later than {CONTACT_TIME_S} s after the third crash")
    await asyncio.gather(*run.restarts)
    run.stop_all()
    await asyncio.sleep(0.5)  # the connections of the processes end


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--node", required=True)
    run = CrashRun(parser.parse_args().node)
    asyncio.run(play(run))
    print(f"answers: {run.counts}; crashes: {len(run.crashed_at)}; late requests: {len(run.late_requests)}")
    for text in run.broken:
        print(f"BROKEN at {text}")
    return 1 if run.broken else 0


if __name__ == "__main__":
    sys.exit(main())
