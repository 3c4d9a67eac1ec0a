#!/usr/bin/env python3
"""Real ibishold-node processes send to a service whose leaves all limit their requests for a time.

Guards against leaves that get more than the limit that they state for all VMs together, and against callers that wait for
a share of it in vain. One VM is killed and starts again meanwhile.

Usage: limited_leaf_test.py --node PATH. Exit code 1 if a promise was broken.
"""
import argparse
import asyncio
import signal
import sys
import time

import soak

soak.NODES = 13
CALLS_PER_S = 60
LIMIT = 8.0           # requests/s of each of the two leaves
CONTACT_TIME_S = 4.0  # from the first statement on, the VMs learn of the limit
WINDOW_S = 4.0        # in which a leaf may get one and a half times its limit, and 5 requests more
ALLOWED = 1.5 * WINDOW_S * LIMIT + 5
LIMITED_TIME_S = 14.0
END_TIME_S = 2.0      # until the end of the limit is known everywhere
REFUSAL_TIME_S = 0.25
KILLED_NODE = 5


class LimitRun(soak.Soak):
    def __init__(self, node):
        super().__init__(node, seed=29, seconds=0)
        self.limited, self.arrivals, self.asked, self.calls = False, {}, 0, []

    async def publish(self):
        self.version += 1
        await self.store.put("op/config", {
            "version": self.version,
            "routes": [{"host": "h.example", "timeoutMs": 1500, "sloMs": 300, "priority": 1, "maxAttempts": 1, "name": "one",
                        "prefix": "/one/", "routeType": "non_idempotent", "service": "single"}],
            "services": [{"name": "single", "maxConns": 200, "rampPerS": 0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    def crashes_leaf(self, state, start, request):
        self.arrivals.setdefault(state["id"], []).append(time.monotonic())
        return False

    def answer_headers(self, state):
        return {"Server-Limit": LIMIT} if self.limited else {}

    async def ask(self):
        self.asked += 1
        request = f"{self.asked:06x}"
        node = self.random.randrange(soak.NODES)
        began = time.monotonic()
        answer = None
        try:
            reader, writer = await asyncio.open_connection(f"{self.host}{node + 1}", 7104)
            await soak.write_message(writer, "POST /one/x HTTP/1.1", {
                "Host": "h.example", "X-Ibishold-Request-Id": request, "X-Ibishold-Deadline-Remaining": 1500}, b"body")
            answer = await asyncio.wait_for(soak.read_message(reader), 4)
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        status = int(answer[0].split()[1]) if answer else None
        self.count(f"{status}")
        self.calls.append((began, node, status))
        if status != 503:
            return
        self.promised.add(request)
        if self.runs.get(request):
            self.break_promise(f"{request} was answered 503 and has run")
        if time.monotonic() - began > REFUSAL_TIME_S + soak.SLACK_S:
            self.break_promise(f"{request} was refused after {time.monotonic() - began:.2f} s")
        if float(answer[1].get("retry-after", -1)) < 0:
            self.break_promise(f"{request} was refused without a time to return")

    async def call_for(self, seconds):
        end, tasks = time.monotonic() + seconds, []
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(self.ask()))
            await asyncio.sleep(self.random.expovariate(CALLS_PER_S))
        await asyncio.gather(*tasks)

    async def restart_node(self):
        await asyncio.sleep(CONTACT_TIME_S + 2)
        self.processes[KILLED_NODE].send_signal(signal.SIGKILL)
        self.processes[KILLED_NODE].wait()
        await asyncio.sleep(0.5)
        self.start_node(KILLED_NODE)

    def check_arrivals(self, since, until):
        for leaf, times in self.arrivals.items():
            times = [at for at in times if since <= at < until]
            most = max((sum(first <= at < first + WINDOW_S for at in times) for first in times), default=0)
            if most > ALLOWED:
                self.break_promise(f"{leaf} got {most} requests in {WINDOW_S} s, allowed are {ALLOWED:.0f}")
            if len(times) < LIMIT * (until - since) / 2:
                self.break_promise(f"{leaf} got only {len(times)} requests in {until - since:.1f} s")
            self.count(f"most in a window at {leaf}: {most}")


async def play(run):
    await run.start_all()
    await asyncio.sleep(4)  # the VMs know each other
    await run.call_for(2)
    run.limited, limited_at = True, time.monotonic()
    await asyncio.gather(run.call_for(LIMITED_TIME_S), run.restart_node())
    run.limited, ended_at = False, time.monotonic()
    run.check_arrivals(limited_at + CONTACT_TIME_S, ended_at)
    await run.call_for(END_TIME_S + 2)
    late = [status for began, node, status in run.calls
            if began > ended_at + END_TIME_S + soak.SLACK_S and status != 200]
    if late:
        run.break_promise(f"{len(late)} calls were not served later than {END_TIME_S} s after the end of the limit")
    run.stop_all()
    await asyncio.sleep(0.5)  # the connections of the processes end


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--node", required=True)
    run = LimitRun(parser.parse_args().node)
    asyncio.run(play(run))
    print(f"answers: {run.counts}")
    for text in run.broken:
        print(f"BROKEN at {text}")
    return 1 if run.broken else 0


if __name__ == "__main__":
    sys.exit(main())
