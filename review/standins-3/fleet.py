"""A small deployment on loopback: the platform's store, leaves and callers as stand-ins, and real ibishold-node processes.

The processes are started with the `run` command of deploy/system.toml from the root of the repository, each on addresses
of its own in 127.0.0.0/8. Store, leaves and callers follow the users' pages; where a page is silent, they are sound.
"""
import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, CONTROL, STORE = 8104, 8108, 8106, 20000
BEAT_S = 1.2


class CannotRun(Exception):
    pass


def exit_as_not_run(kind, problem, trace):
    """An exit with 1 would say that the rule was broken."""
    traceback.print_exception(kind, problem, trace)
    sys.stdout.flush()
    os._exit(2)


sys.excepthook = exit_as_not_run


def read_command():
    """The `run` command of the role in deploy/system.toml."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.partition("=")[2].strip().strip('"').split()
    raise CannotRun("deploy/system.toml has no run command")


class Store:
    """One revision counter, lists and watches. Each VM has a port of its own, so that the store can leave one without answer."""

    def __init__(self):
        self.items, self.log, self.revision = {}, [], 100
        self.changed = asyncio.Condition()
        self.unanswered = set()  # numbers of VMs that get no answer
        self.servers = []

    async def listen(self, host, vm):
        self.servers.append(await asyncio.start_server(lambda r, w: self.serve(vm, r, w), host, STORE + vm))

    async def put(self, key, value):
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(), "revision": self.revision,
                "createRevision": self.items.get(key, {}).get("createRevision", self.revision), "lease": 0}
        self.items[key] = item
        await self.tell(item)

    async def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            await self.tell({"key": key, "revision": self.revision, "removed": True})

    async def tell(self, event):
        self.log.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, target):
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        if path == "/v1/kv-range":
            prefix, after = fields.get("prefix", ""), fields.get("after", "")
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {"items": items[:500], "hasMore": len(items) > 500, "asOf": self.revision}
        after, end = int(fields["after"]), time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            events = [event for event in self.log if event["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, vm, reader, writer):
        try:
            while message := await read_message(reader):
                cut = vm in self.unanswered
                status, body = await self.answer(message[0].split()[1])
                if cut or vm in self.unanswered:
                    await reader.read()  # a connection on which an answer is lost returns nothing further
                    return
                await write_message(writer, f"HTTP/1.1 {status} OK", {"Content-Type": "application/json", "Store-Era": 1},
                                    json.dumps(body).encode())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def read_message(reader):
    """Start line, headers with names in lower case, body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:] if line}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def write_message(writer, start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    await writer.drain()


class Leaf:
    """A server. It reports to the store, runs `slots` requests at a time and lets `queue` more wait."""

    def __init__(self, fleet, service, zone, work_s, slots=4, queue=16, warmup_s=0.0):
        self.fleet, self.service, self.zone, self.work_s = fleet, service, zone, work_s
        self.slots, self.queue, self.warmup_s = slots, queue, warmup_s
        self.running, self.waiting, self.free = 0, 0, asyncio.Semaphore(slots)
        self.writers, self.server, self.beats, self.sequence = set(), None, None, 0
        self.on_arrival = None  # called with the request id; returns True if the leaf crashes

    async def start(self, cold=False):
        """Each start is a new boot with a new id."""
        self.id = f"i-{self.fleet.random.getrandbits(32):08x}"
        self.born = time.time()
        self.running, self.waiting, self.free = 0, 0, asyncio.Semaphore(self.slots)
        self.cold_until = self.born + self.warmup_s if cold else 0.0
        self.server = await asyncio.start_server(self.serve, self.fleet.leaf_host, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        written = None
        while True:
            self.sequence += 1
            left = max(0, int(1000 * (self.cold_until - time.time())))
            entry = {
                "service": self.service, "address": f"{self.fleet.leaf_host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "warmupLeftMs": left, "born": int(self.born * 1000)}
            # The entry changes only when more than seqNo changes, so a calm store tells its watchers nothing.
            if entry != written:
                written = entry
                await self.fleet.store.put("servers/" + self.id, {**entry, "seqNo": self.sequence})
            await asyncio.sleep(BEAT_S)

    def crash(self):
        """The process dies: nothing is sent, its connections are reset, its entry lapses after three intervals."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        leaf_id = self.id
        asyncio.get_running_loop().call_later(
            3 * BEAT_S, lambda: asyncio.ensure_future(self.fleet.store.remove("servers/" + leaf_id)))

    def answer_headers(self, request):
        """Cases override this: more headers of the leaf's answers."""
        return {}

    async def turn_away(self, request, echo, writer):
        """Cases override this: True if the leaf has answered the request without running it."""
        return False

    async def serve(self, reader, writer):
        own_id = self.id
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                start, headers, body = message
                request = headers.get("x-ibishold-request-id", "")
                echo = {"X-Ibishold-Request-Id": request}
                if headers.get("x-ibishold-expect-instance", own_id) != own_id:
                    await write_message(writer, "HTTP/1.1 421 Misdirected Request", {**echo, "X-Ibishold-Instance-Id": own_id})
                    continue
                if self.on_arrival and self.on_arrival(self, request):
                    self.crash()
                    return
                if await self.turn_away(request, echo, writer):
                    continue
                if self.waiting >= self.queue:
                    await write_message(writer, "HTTP/1.1 503 Service Unavailable", {**echo, "X-Ibishold-Not-Executed": 1})
                    continue
                self.waiting += 1
                async with self.free:
                    self.waiting -= 1
                    self.fleet.runs.append((time.monotonic(), request, self.service, own_id, len(body)))
                    self.running += 1
                    await asyncio.sleep(self.fleet.random.uniform(0.7, 1.3) * self.work_s)
                    self.running -= 1
                stamp = hashlib.sha1(f"{request}{own_id}".encode()).hexdigest()[:20]
                records = b"".join(hashlib.md5(f"{request}{self.service}{i}".encode()).digest() for i in range(5))
                await write_message(writer, "HTTP/1.1 200 OK", {
                    **echo, "X-Ibishold-Response-Stamp": stamp,
                    "X-Ibishold-Server-Load": f"{self.running},{self.waiting},{self.slots}",
                    **self.answer_headers(request)}, records)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Fleet:
    def __init__(self, record, zones, cpu_shares=None, seed=1):
        """`record`: path of the case's record.txt; `zones`: the zone of each VM, in order."""
        self.zones, self.random = zones, random.Random(seed)
        self.cpu_shares = cpu_shares or [0.17] * len(zones)
        self.net = f"127.{100 + os.getpid() % 100}.{1 + os.getpid() // 100 % 200}"
        self.leaf_host = f"{self.net}.250"
        self.store, self.processes, self.runs = Store(), {}, []
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        # Line by line, so that the record holds what happened before an end from outside.
        self.record = open(record, "w", buffering=1, encoding="utf-8")
        self.begun = time.monotonic()
        self.command = read_command()
        self.say(f"disruption: {'yes' if TROUBLE else 'no'} (TROUBLE)")

    def say(self, text, show=False):
        line = f"{time.monotonic() - self.begun:8.3f} {text}"
        self.record.write(line + "\n")
        if show:
            print(line, flush=True)

    def ip(self, vm):
        return f"{self.net}.{vm + 1}"

    def settings(self, vm):
        ip = self.ip(vm)
        seeds = ",".join(f"{self.ip(i)}:{CONTROL}" for i in range(0, len(self.zones), max(1, len(self.zones) // 3)))
        names = sorted(set(self.zones))
        return "\n".join([
            f"nodeName=front-{self.zones[vm]}-{vm}", "role=node", "machineClass=front", "serves=front,control", f"ip={ip}",
            f"zone={self.zones[vm]}", "region=addis", *[f"zones.{name}=addis" for name in names],
            f"listen.front={ip}:{FRONT}", f"listen.ready={ip}:{READY}", f"listen.control={ip}:{CONTROL}",
            f"seeds={','.join(seeds.split(',')[:3])}", "bootstrap=true", "inFaultSet=false",
            f"limits.cpuShare={self.cpu_shares[vm]}", "limits.cores=1", "limits.memoryMb=182", "limits.maxFds=2870",
            "limits.linkMbps=700.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "beatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,scatter,places,platform", "faultTolerance.machines=1",
            "faultTolerance.zones=1", "faultTolerance.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2",
            "bounds.contactMs=4000", "bounds.ackMs=5000", "bounds.catchUpS=4", "bounds.drainMs=3000", "bounds.graceS=6",
            "bounds.lossSlackMs=200", "bounds.configMs=3000", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=12000",
            "bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retrySlack=113", "bounds.warmupExcess=1.5",
            "bounds.warmupSlack=5", "bounds.evacMs=5000", "bounds.recoverS=12",
            f"platform.address={self.net}.251:{STORE + vm}", "platform.form=read", "platform.readsPerS=2000",
            "platform.historyS=20", ""])

    async def start_vms(self):
        program = ROOT / self.command[0]
        if not program.exists():
            raise CannotRun(f"{self.command[0]} is not built")
        for vm in range(len(self.zones)):
            await self.store.listen(f"{self.net}.251", vm)
            path = self.temporary / f"{vm}.conf"
            path.write_text(self.settings(vm))
            log = open(self.temporary / f"{vm}.log", "ab")
            self.processes[vm] = subprocess.Popen(
                [str(program), *self.command[1:]], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C", "IBISHOLD_NODE_FILE": str(path)})

    def plan(self, vm):
        """The last plan that the VM logged."""
        lines = [line for line in (self.temporary / f"{vm}.log").read_text().splitlines() if '"event":"plan"' in line]
        return json.loads(lines[-1]) if lines else {}

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        for vm in self.processes:
            while True:
                if time.monotonic() > end or self.processes[vm].poll() is not None:
                    raise CannotRun(f"VM {vm} is not ready")
                try:
                    reader, writer = await asyncio.open_connection(self.ip(vm), READY)
                    await write_message(writer, "GET /v1/readiness HTTP/1.1", {"Host": "x"})
                    message = await read_message(reader)
                    writer.close()
                    if message and " 200 " in message[0] + " ":
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    async def ask(self, vm, method, path, time_left_ms, body=b"", request=None):
        """One attempt of a caller on a new connection. Returns id, status ('closed' without an answer) and headers."""
        request = request or f"{self.random.getrandbits(64):016x}"
        sent = time.monotonic()
        status, headers = "closed", {}
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip(vm), FRONT), 1)
            await write_message(writer, f"{method} {path} HTTP/1.1", {
                "Host": "pupu76.example", "X-Ibishold-Request-Id": request, "X-Ibishold-Deadline-Remaining": time_left_ms},
                body)
            message = await asyncio.wait_for(read_message(reader), time_left_ms / 1000 + 0.5)
            if message:
                status, headers = message[0].split()[1], message[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer:
                writer.close()
        self.say(f"caller {request} VM {vm} {method} {path} sent {sent - self.begun:.3f} answer {status}")
        return request, status, headers, sent

    async def config(self, version, routes, services, limits=None):
        await self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"healthPath": "/health", "maxConns": 208, "protocol": "h1", "tls": False, "warmupS": 3.0,
                          "rampPerS": 0.0, **service} for service in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                       **(limits or {})}})
        self.say(f"store version {version} confirmed", show=True)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for at, request, service, leaf, size in self.runs:
            self.say(f"run {request} service {service} leaf {leaf} at {at - self.begun:.3f} body {size}")
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def play(case, fleet):
    """Runs the case and ends the process: 1 the rule was broken, 0 it held, 2 the case could not run."""
    def end(code):
        fleet.stop()
        sys.stdout.flush()
        os._exit(code)  # without the event loop's words on connections that are still open

    async def limited():
        code = 2
        try:
            code = 1 if await asyncio.wait_for(case(fleet), 112) else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as problem:
            fleet.say(f"cannot run: {problem!r}", show=True)
        finally:
            end(code)
    for name in (signal.SIGTERM, signal.SIGINT):
        signal.signal(name, lambda *_: end(2))
    asyncio.run(limited())
