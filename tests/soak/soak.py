#!/usr/bin/env python3
"""Randomized fault soak of real ibishold-node processes on loopback.

Starts several nodes, stand-ins of the platform's store and leaves, and a proxy between nodes and store. While callers
send requests over kept connections, faults are injected from outside: processes are stopped, paused, killed and
restarted by signals; connections to the store are delayed, reset, cut or silenced; the store comes back from an older
copy; leaves drain, vanish and come back; the configuration changes. Promises are checked while it runs, from what callers and leaves see:

- a success holds only signatures that leaves gave to this very request, at most one of each shard, and states the number
  of missing shards truly; the body is the merge of the named parts;
- a request that may run once runs at most once, and never if it was answered as not run;
- no leaf receives work later than the drain time after its entry said that it drains;
- a configuration is in force within the configuration time and never goes back within one run of a process;
- a kept connection is not closed without an answer while its process runs.

Usage: soak.py --node PATH [--seed N] [--seeds N] [--seconds S]. Exit code 1 if a promise was broken.
"""
import argparse
import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

NODES = 5
SHARDS = 6
DRAIN_TIME_S = 3.0
CONFIG_TIME_S = 3.0
STOP_TIME_S = 6
SLACK_S = 0.7  # of this machine's scheduling, on top of a promised time


class Store:
    """The platform's store: one revision counter, list and watch. It can be away, and come back from an older copy."""

    def __init__(self):
        self.items, self.log, self.revision = {}, [], 1
        self.changed = asyncio.Condition()
        self.epoch = 1
        self.available = asyncio.Event()
        self.available.set()

    def copy(self):
        return dict(self.items), list(self.log), self.revision

    def restore(self, copy):
        """Comes back from the copy: forgets what was written since, and assigns its revisions again."""
        self.items, self.log, self.revision = dict(copy[0]), list(copy[1]), copy[2]
        self.epoch += 1
        self.available.set()

    async def put(self, key, value):
        await self.available.wait()
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                           "createRevision": self.revision, "lease": 0}
        self.log.append(self.items[key])
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        await self.available.wait()
        if self.items.pop(key, None):
            self.revision += 1
            self.log.append({"key": key, "revision": self.revision, "removed": True})
            async with self.changed:
                self.changed.notify_all()

    async def answer(self, target):
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        if path.endswith("kv-range"):
            items = [self.items[key] for key in sorted(self.items)]
            return 200, {"items": items, "hasMore": False, "asOf": self.revision}
        after, end = int(fields["after"]), time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            if after > self.revision:
                return 410, {"asOf": self.revision}
            events = [event for event in self.log if event["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


async def read_message(reader):
    """Start line, headers in lower case, body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:] if line}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def write_message(writer, start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()


class Proxy:
    """Between the nodes and the store: passes on, delays, silences, cuts or resets."""

    def __init__(self, target):
        self.target, self.mode, self.delay, self.open = target, "pass", 0.0, set()

    async def serve(self, reader, writer):
        if self.mode == "cut":
            writer.transport.abort()
            return
        self.open.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        except ConnectionError:
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def pump(self, source, sink):
        while data := await source.read(65536):
            while self.mode == "silent":
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.delay)
            sink.write(data)
            await sink.drain()
        sink.close()

    def reset(self):
        for writer in list(self.open):
            writer.transport.abort()


class Soak:
    def __init__(self, node, seed, seconds):
        self.node, self.random, self.seconds, self.seed = node, random.Random(seed), seconds, seed
        self.host = f"127.{90 + seed % 30}.0."
        self.store, self.broken, self.counts = Store(), [], {}
        self.processes, self.paused, self.stopping, self.killed_at = {}, set(), set(), {}
        self.leaves, self.given, self.runs, self.promised = {}, {}, {}, set()
        self.version, self.routes, self.seen_version, self.begun = 1, [], {}, {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.calm_since = time.monotonic()

    def break_promise(self, text):
        self.broken.append(f"{time.monotonic() - self.start:.2f} s: {text}")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    # ---- leaves ---------------------------------------------------------------------------------

    async def start_leaf(self, service, leaf, centre):
        state = {"id": leaf, "service": service, "centre": centre, "draining_at": None, "slow": 0.0, "fail": 0.0}
        state["server"] = await asyncio.start_server(
            lambda r, w: self.serve_leaf(state, r, w), self.host + "200", 0)
        state["port"] = state["server"].sockets[0].getsockname()[1]
        self.leaves[leaf] = state
        await self.register(state)

    async def register(self, state):
        await self.store.put("servers/" + state["id"], {
            "service": state["service"], "address": f"{self.host}200:{state['port']}", "zone": state["centre"],
            "version": "v1", "slots": 4, "state": "draining" if state["draining_at"] else "ready", "warmupLeftMs": 0,
            "seqNo": 1, "born": state.setdefault("born", int(time.time() * 1000))})

    async def serve_leaf(self, state, reader, writer):
        try:
            while message := await read_message(reader):
                start, headers, body = message
                request = headers.get("x-ibishold-request-id", "")
                if headers.get("x-ibishold-expect-instance") != state["id"]:
                    await write_message(writer, "HTTP/1.1 421 Misdirected Request", {"X-Ibishold-Not-Executed": 1})
                    continue
                late = state["draining_at"] and time.monotonic() - state["draining_at"] - DRAIN_TIME_S - SLACK_S
                if late and late > 0 and self.calm(DRAIN_TIME_S + 4):
                    self.break_promise(f"leaf {state['id']} got {request} {late:.1f} s too late after its drain")
                if self.crashes_leaf(state, start, request):
                    return
                method = start.split()[0]
                if method == "POST":
                    self.runs[request] = self.runs.get(request, 0) + 1
                    if self.runs[request] > 1:
                        self.break_promise(f"{request} ran {self.runs[request]} times")
                    if request in self.promised:
                        self.break_promise(f"{request} ran after it was answered as not run")
                await asyncio.sleep(self.random.uniform(0.001, 0.01) + state["slow"])
                kind = self.random.random()
                if kind < state["fail"] / 2:
                    writer.transport.abort()
                    return
                if kind < state["fail"]:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut")
                    writer.close()
                    return
                signature = hashlib.sha1(f"{request}{state['id']}".encode()).hexdigest()[:20]
                records = b"".join(hashlib.md5(f"{request}{state['service']}{i}".encode()).digest() for i in range(5))
                self.given[signature] = (request, state["service"], records)
                await write_message(writer, "HTTP/1.1 200 OK", {
                    "X-Ibishold-Request-Id": request, "X-Ibishold-Response-Stamp": signature,
                    "X-Ibishold-Server-Load": "1,0,4", **self.answer_headers(state)}, records)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def crashes_leaf(self, state, start, request):
        """Tests override this: true if the leaf has crashed under the request."""
        return False

    def answer_headers(self, state):
        """Tests override this: more headers of the leaf's answers."""
        return {}

    # ---- configuration --------------------------------------------------------------------------

    async def publish(self):
        self.version += self.random.randint(1, 3)
        marker = f"/v{self.version}/"
        shards = [f"shard-{i}" for i in range(SHARDS)]
        base = {"host": "h.example", "timeoutMs": 1500, "sloMs": 300, "priority": 1, "maxAttempts": 2}
        self.routes.append((time.monotonic(), self.version, marker))
        self.published = {
            "version": self.version,
            "routes": [{**base, "name": "all", "prefix": "/all/", "routeType": "idempotent", "gather": shards, "topK": 7,
                        "minCoverage": 0.5},
                       {**base, "name": "once", "prefix": "/once/", "routeType": "non_idempotent", "service": "single"},
                       {**base, "name": "marker", "prefix": marker, "routeType": "idempotent", "service": "single"}],
            "services": [{"name": name, "maxConns": 60, "rampPerS": 0} for name in shards + ["single"]],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        await self.store.put("op/config", self.published)

    def calm(self, seconds):
        return time.monotonic() - self.calm_since > seconds

    # ---- nodes ----------------------------------------------------------------------------------

    def settings(self, index):
        ip = f"{self.host}{index + 1}"
        seeds = ",".join(f"{self.host}{i + 1}:7106" for i in range(3))
        path = self.folder / f"node-{index}.conf"
        path.write_text(
            f"nodeName=node-{index}\nip={ip}\nzone=dc{index % 2}\nlisten.front={ip}:7104\nlisten.ready={ip}:7108\n"
            f"listen.control={ip}:7106\nseeds={seeds}\nplatform.address={self.host}100:7200\nbounds.graceS={STOP_TIME_S}\n"
            f"bounds.retrySlack=100\nlimits.cpuShare=0.2\n")
        return path

    def start_node(self, index):
        log = open(self.folder / f"node-{index}.log", "ab")
        self.processes[index] = subprocess.Popen([self.node, str(self.settings(index))], stdout=log, stderr=log)
        self.seen_version[index] = 0
        self.begun[index] = time.monotonic()
        self.stopping.discard(index)

    async def fault(self):
        """One fault; overlaps with others, since nobody waits for its end."""
        chosen = self.random.choice(["kill", "term", "pause", "store", "leaf", "config", "config", "drain", "reset",
                                     "restore"])
        self.count("fault " + chosen)
        if chosen in ("kill", "term", "pause"):
            index = self.random.randrange(NODES)
            process = self.processes[index]
            if process.poll() is not None or index in self.paused or index in self.stopping:
                return
            self.calm_since = time.monotonic()
            self.stopping.add(index)
            if chosen == "pause":
                self.paused.add(index)
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.3, 3))
                process.send_signal(signal.SIGCONT)
                self.paused.discard(index)
                self.stopping.discard(index)
            else:
                process.send_signal(signal.SIGKILL if chosen == "kill" else signal.SIGTERM)
                self.killed_at[index] = time.monotonic()
                limit = time.monotonic() + STOP_TIME_S + 1
                while process.poll() is None and time.monotonic() < limit:
                    await asyncio.sleep(0.05)
                if process.poll() is None:
                    self.break_promise(f"node-{index} still runs {STOP_TIME_S + 1} s after SIGTERM")
                    process.kill()
                await asyncio.sleep(self.random.uniform(0, 1))
                self.start_node(index)
            self.calm_since = time.monotonic()
        elif chosen == "store":
            self.proxy.mode = self.random.choice(["silent", "cut", "delay"])
            self.proxy.delay = 0.2 if self.proxy.mode == "delay" else 0
            self.calm_since = time.monotonic()
            await asyncio.sleep(self.random.uniform(0.5, 3))
            self.proxy.mode, self.proxy.delay = "pass", 0
            self.calm_since = time.monotonic()
        elif chosen == "restore":
            copy = self.store.copy()
            await asyncio.sleep(self.random.uniform(0.5, 3))
            self.proxy.mode = "cut"
            self.proxy.reset()
            self.store.available.clear()
            self.calm_since = time.monotonic()
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            self.store.restore(copy)
            self.proxy.mode = "pass"
            self.calm_since = time.monotonic()
            await asyncio.sleep(self.random.uniform(0.1, 1))
            await self.write_again()
            self.calm_since = time.monotonic()
        elif chosen == "reset":
            self.calm_since = time.monotonic()
            self.proxy.reset()
        elif chosen == "leaf":
            leaf = self.random.choice(list(self.leaves.values()))
            leaf["slow"], leaf["fail"] = self.random.choice([0, 0.3]), self.random.choice([0, 0.3])
            await asyncio.sleep(2)
            leaf["slow"], leaf["fail"] = 0, 0
        elif chosen == "drain":
            leaf = self.random.choice(list(self.leaves.values()))
            if leaf["draining_at"] is None:
                leaf["draining_at"] = time.monotonic()
                await self.register(leaf)
                await asyncio.sleep(DRAIN_TIME_S + 2)
                await self.store.remove("servers/" + leaf["id"])
                leaf["server"].close()
                del self.leaves[leaf["id"]]
                await self.start_leaf(leaf["service"], leaf["id"] + "n", leaf["centre"])
        else:
            await self.publish()

    async def write_again(self):
        """The operator and the leaves write what the restored store lacks; entries of leaves that are gone expire."""
        await self.store.put("op/config", self.published)
        for state in list(self.leaves.values()):
            await self.register(state)
        for key in list(self.store.items):
            if key.startswith("servers/") and key.removeprefix("servers/") not in self.leaves:
                await self.store.remove(key)

    # ---- callers --------------------------------------------------------------------------------

    async def caller(self, number):
        serial = 0
        while time.monotonic() < self.end:
            index = self.random.randrange(NODES)
            try:
                reader, writer = await asyncio.open_connection(f"{self.host}{index + 1}", 7104)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            run = self.processes[index]
            for _ in range(self.random.randint(1, 40)):
                serial += 1
                request = f"{self.seed:04x}{number:02x}{serial:06x}"
                if not await self.call(index, run, request, reader, writer) or time.monotonic() > self.end:
                    break
                await asyncio.sleep(self.random.expovariate(25))
            writer.close()

    async def call(self, index, run, request, reader, writer):
        kind = self.random.choice(["all", "all", "once", "marker"])
        sent, marker = time.monotonic(), self.routes[-1]
        path = marker[2] if kind == "marker" else f"/{kind}/"
        try:
            await write_message(writer, f"{'POST' if kind == 'once' else 'GET'} {path}x HTTP/1.1", {
                "Host": "h.example", "X-Ibishold-Request-Id": request, "X-Ibishold-Deadline-Remaining": 1500},
                b"body" if kind == "once" else b"")
            answer = await asyncio.wait_for(read_message(reader), 4)
        except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            self.count("no answer")
            undisturbed = run.poll() is None and index not in self.stopping and self.processes[index] is run
            if undisturbed and self.begun[index] < sent - 1 and self.calm(4):
                self.break_promise(f"{request} to node-{index} got no answer while its process ran undisturbed")
            return False
        status = int(answer[0].split()[1])
        self.count(f"{kind} {status}")
        self.check(index, run, kind, marker, sent, request, status, answer[1], answer[2])
        return answer[1].get("connection") != "close"

    def check(self, index, run, kind, marker, sent, request, status, headers, body):
        if status in (408, 421, 429, 503) and kind == "once":
            self.promised.add(request)
            if self.runs.get(request):
                self.break_promise(f"{request} was answered {status} and has run")
        # A newer version drops the marker's route, so that 404 is right from its publication on.
        if kind == "marker" and self.processes[index] is run and self.routes[-1] is marker:
            if status == 200:
                self.seen_version[index] = max(self.seen_version[index], marker[1])
            late = sent - marker[0] > CONFIG_TIME_S + SLACK_S
            if status == 404 and late and self.calm(4) and self.begun[index] < sent - CONFIG_TIME_S:
                self.break_promise(f"{request}: version {marker[1]} not in force at node-{index} after "
                                   f"{sent - marker[0]:.1f} s")
            if status == 404 and self.seen_version[index] >= marker[1]:
                self.break_promise(f"{request}: node-{index} went back behind version {marker[1]}")
        if status != 200:
            return
        if kind != "all":
            given = self.given.get(headers.get("x-ibishold-response-stamp"))
            if given is None or given[0] != request or given[2] != body:
                self.break_promise(f"{request} got an answer that is not its own")
            return
        names = [name.strip() for name in headers.get("x-ibishold-part-stamps", "").split(",")]
        parts = [self.given.get(name) for name in names]
        if any(part is None or part[0] != request for part in parts):
            self.break_promise(f"{request} names a part that is not its own")
            return
        if len({part[1] for part in parts}) != len(parts):
            self.break_promise(f"{request} names two parts of one shard")
        if len(parts) + int(headers.get("x-ibishold-parts-missing", 0)) != SHARDS or len(parts) < SHARDS * 0.5:
            self.break_promise(f"{request} misstates its coverage: {len(parts)} parts, {headers}")
        records = sorted((part[2][i:i + 16] for part in parts for i in range(0, 80, 16)), reverse=True)
        if body != b"".join(records[:7]):
            self.break_promise(f"{request}: the body is not the merge of its parts")

    # ---- the run --------------------------------------------------------------------------------

    async def start_all(self):
        async def serve_store(reader, writer):
            try:
                while message := await read_message(reader):
                    status, body = await self.store.answer(message[0].split()[1])
                    await write_message(writer, f"HTTP/1.1 {status} OK", {
                        "Content-Type": "application/json", "Store-Era": self.store.epoch}, json.dumps(body).encode())
            except (ConnectionError, asyncio.CancelledError):
                pass  # the end of a watch
            finally:
                writer.close()
        self.start = time.monotonic()
        store_server = await asyncio.start_server(serve_store, self.host + "101", 0)
        self.proxy = Proxy(store_server.sockets[0].getsockname()[:2])
        proxy_server = await asyncio.start_server(self.proxy.serve, self.host + "100", 7200)
        self.servers = [proxy_server, store_server]
        await self.publish()
        for service in [f"shard-{i}" for i in range(SHARDS)] + ["single"]:
            for replica in range(2):
                await self.start_leaf(service, f"{service}-{replica}", f"dc{replica}")
        for index in range(NODES):
            self.start_node(index)
        await asyncio.sleep(2)

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in self.servers:
            server.close()

    async def run(self):
        await self.start_all()
        self.calm_since = time.monotonic()
        self.end = time.monotonic() + self.seconds
        callers = [asyncio.create_task(self.caller(number)) for number in range(12)]
        faults = []
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.expovariate(1 / 0.8))
            faults.append(asyncio.create_task(self.fault()))
        await asyncio.gather(*callers, *faults)
        served = sum(count for name, count in self.counts.items() if name.endswith(" 200"))
        asked = sum(count for name, count in self.counts.items() if not name.startswith("fault"))
        if served < asked * 0.5:
            self.break_promise(f"only {served} of {asked} requests were served")
        self.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--node", required=True)
    parser.add_argument("--seed", type=int, default=int.from_bytes(os.urandom(2), "big"))
    parser.add_argument("--seeds", type=int, default=1, help="as many runs, with seeds that follow --seed")
    parser.add_argument("--seconds", type=float, default=12)
    arguments = parser.parse_args()
    failed = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        soak = Soak(arguments.node, seed, arguments.seconds)
        try:
            asyncio.run(soak.run())
        finally:
            for process in soak.processes.values():
                if process.poll() is None:
                    process.kill()
        print(f"seed {seed}: {dict(sorted(soak.counts.items()))}", flush=True)
        for text in soak.broken[:10]:
            print(f"seed {seed} BROKEN at {text}", flush=True)
        if soak.broken:
            failed.append(seed)
            print(f"seed {seed}: logs in {soak.folder}", flush=True)
    print(f"soak: {arguments.seeds - len(failed)} of {arguments.seeds} seeds passed"
          + (f"; failed: {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
