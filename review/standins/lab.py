"""Stand-ins for the scripts under review/: the platform's store, leafs, consumers, and the processes of the system.

Everything runs on loopback addresses of one network 127.A.B.0/24 that is free when the script starts. The stand-ins
follow PROTOCOL.md; where it is silent, they behave like a sound server, client or platform.
"""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = REPOSITORY / "target/daemons/ibishold-node"
CALLER_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT, STORE_PORT = 8104, 8106, 8108, 9464, 8102
HOST = "pupu76.example"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class CannotRun(Exception):
    """The case could not run; the script then exits with 2."""


class HttpServer(asyncio.Protocol):
    """One HTTP/1.1 connection of a server: one request at a time; closing the connection drops the request."""

    def __init__(self, owner):
        self.owner, self.buffer, self.task, self.transport = owner, b"", None, None

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.owner.connections.add(self)

    def connection_lost(self, error):
        self.owner.connections.discard(self)
        if self.task:
            self.task.cancel()

    def data_received(self, data):
        self.buffer += data
        self.next_request()

    def next_request(self):
        if self.task is not None:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines[1:]}
        length = int(headers.get("content-length", 0))
        if len(self.buffer) < end + 4 + length:
            return
        body = self.buffer[end + 4:end + 4 + length]
        self.buffer = self.buffer[end + 4 + length:]
        method, target, _ = lines[0].split(" ", 2)
        self.task = asyncio.ensure_future(self.answer(method, target, headers, body))

    async def answer(self, method, target, headers, body):
        try:
            reply = await self.owner.serve(method, target, headers, body, self)
        except asyncio.CancelledError:
            return
        if reply is None or self.transport.is_closing():
            return
        status, fields, content = reply
        head = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        head += [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(content)}", "", ""]
        self.transport.write("\r\n".join(head).encode() + content)
        self.task = None
        self.next_request()


class Store:
    """The platform's store: one revision counter, range and watch; every answer is linearizable."""

    def __init__(self, lab):
        self.lab, self.items, self.log, self.revision = lab, {}, [], 1
        self.connections, self.changed = set(), asyncio.Event()
        self.silent = set()  # ports whose machines get no answer

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(), "revision": self.revision,
                "createRevision": self.items.get(key, {}).get("createRevision", self.revision), "lease": 0}
        self.items[key] = item
        self.log.append(item)
        self.notify()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.log.append({"key": key, "revision": self.revision, "removed": True})
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, method, target, headers, body, connection):
        """Answers one call. While its port is silent, calls and answers are lost, and the connection returns nothing more."""
        port = connection.transport.get_extra_info("sockname")[1]
        lost = port in self.silent
        answer = await self.find_answer(target)
        if lost or port in self.silent:
            await asyncio.get_running_loop().create_future()
        return answer

    async def find_answer(self, target):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        prefix = fields.get("prefix", "")
        if path == "/v1/kv-range":
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
            return 200, {"Content-Type": "application/json"}, json.dumps(
                {"items": items, "hasMore": False, "asOf": self.revision}).encode()
        if path != "/v1/kv-watch":
            return 404, {}, b""
        end = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [event for event in self.log
                      if event["revision"] > int(fields["after"]) and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"Content-Type": "application/json"}, json.dumps(
                    {"events": events, "asOf": self.revision}).encode()
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Leaf:
    """One leaf. `slots` requests run at a time, `queue` more wait, others are rejected without having run."""

    ids = itertools.count(1)

    def __init__(self, lab, service, zone, slots=2, queue=12, work_s=0.02):
        self.lab, self.service, self.zone = lab, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.connections, self.server, self.port = set(), None, 0
        self.running, self.waiting, self.sequence = 0, [], 0
        self.decide = None  # may be set to a function (leaf, request) -> "", "crash" or "lose"
        self.start_run()

    def start_run(self):
        self.id = f"i-{next(Leaf.ids):04x}{random.getrandbits(16):04x}"
        self.born = int(time.time() * 1000)
        self.up = False

    async def start(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HttpServer(self), self.lab.leaf_ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True
        self.register()

    def register(self, warm_up_left_ms=0):
        self.sequence += 1
        self.lab.store.put("servers/" + self.id, {
            "service": self.service, "address": f"{self.lab.leaf_ip}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "warmupLeftMs": warm_up_left_ms, "seqNo": self.sequence,
            "born": self.born})

    async def crash(self, down_s):
        """Ends at once, says nothing, and is back after down_s as a new boot with a new id at the same address."""
        if not self.up:
            return
        self.up = False
        old_id = self.id
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.running, self.waiting = 0, []
        self.lab.note(f"leaf {old_id} of {self.service} crashes")
        # The entry goes after three status report intervals of silence.
        asyncio.get_running_loop().call_later(3 * self.lab.beat_s, self.lab.store.remove, "servers/" + old_id)
        await asyncio.sleep(down_s)
        self.start_run()
        await self.start()
        self.lab.note(f"leaf {self.id} of {self.service} is up in place of {old_id}")

    def load(self):
        return f"{self.running},{len(self.waiting)},{self.slots}"

    async def serve(self, method, target, headers, body, connection):
        own = {"X-Ibishold-Server-Load": self.load()}
        if target == "/health":
            return 200, {"X-Ibishold-Instance-Id": self.id, **own}, b""
        request = headers.get("x-ibishold-request-id", "")
        arrived = time.monotonic()
        if not request:
            return 400, {"X-Ibishold-Not-Executed": 1, **own}, b""
        own["X-Ibishold-Request-Id"] = request
        if headers.get("x-ibishold-expect-instance", self.id) != self.id:
            return 421, {"X-Ibishold-Instance-Id": self.id, "X-Ibishold-Not-Executed": 1, **own}, b""
        self.lab.arrivals.append((arrived, self, request, target))
        limit = float(headers.get("x-ibishold-deadline-remaining", 3600000)) / 1000
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return 503, {"X-Ibishold-Not-Executed": 1, **own}, b""
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await asyncio.wait_for(turn, limit)
            except asyncio.TimeoutError:
                return 503, {"X-Ibishold-Not-Executed": 1, **own}, b""
            finally:
                if turn in self.waiting:
                    self.waiting.remove(turn)
        run = self.id
        self.running += 1
        try:
            self.lab.on_run(self, request, method, target, body, limit)
            fate = self.decide(self, request, target) if self.decide else ""
            if fate == "crash":
                await asyncio.sleep(0.005)
                asyncio.ensure_future(self.crash(self.lab.crash_down_s))
                return None
            left = limit - (time.monotonic() - arrived)
            work = self.work_s
            if left < work:
                await asyncio.sleep(max(0.0, left))
                return 504, {"X-Ibishold-Response-Stamp": self.stamp(), **own}, b""
            await asyncio.sleep(work)
            if fate == "lose":
                self.lab.note(f"leaf {self.id} ran {request}; its answer is lost, the connection is reset")
                connection.transport.abort()
                return None
            own["X-Ibishold-Server-Load"] = self.load()
            return 200, {"X-Ibishold-Response-Stamp": self.stamp(), **own}, self.content()
        finally:
            if self.id == run:
                self.running -= 1
                while self.waiting and self.running < self.slots:
                    turn = self.waiting.pop(0)
                    if not turn.done():
                        turn.set_result(None)
                        break

    @staticmethod
    def stamp():
        return f"{random.getrandbits(16):04x}.07.5a2.600.0.{random.getrandbits(32):08x}"

    @staticmethod
    def content():
        return os.urandom(16 * 5)


class Lab:
    """One deployment: the store, leafs, and the processes of the system, with a record of what happened."""

    def __init__(self, folder, settings=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(folder)
        self.record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.extra_settings = settings or {}
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="ibishold-review-"))
        self.nodes, self.arrivals, self.runs, self.tasks = {}, [], {}, []
        self.beat_s, self.crash_down_s = 1.2, 3.0
        self.first_start = True
        self.network = ""
        self.store = None

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:9.3f} s  {text}\n")

    # ---- addresses ------------------------------------------------------------------------------

    def choose_network(self, nodes):
        for _ in range(200):
            network = f"127.{random.randint(20, 250)}.{random.randint(0, 255)}."
            wanted = [(network + "250", STORE_PORT + index) for index in range(nodes)] + [
                (f"{network}{index + 1}", port) for index in range(nodes)
                for port in (CALLER_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT)]
            if all(self.is_free(*address) for address in wanted):
                self.network = network
                return
        raise CannotRun("no free loopback network")

    @staticmethod
    def is_free(ip, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
        return True

    @property
    def leaf_ip(self):
        return self.network + "240"

    def node_ip(self, index):
        return f"{self.network}{index + 1}"

    # ---- processes of the system ----------------------------------------------------------------

    async def start(self, zones):
        """`zones` holds the zone of each machine."""
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(REPOSITORY)} is missing: run the build of deploy/system.toml")
        self.zones = zones
        self.choose_network(len(zones))
        self.store = Store(self)
        loop = asyncio.get_running_loop()
        for index in range(len(zones)):  # one port of the store for each machine
            await loop.create_server(lambda: HttpServer(self.store), self.network + "250", STORE_PORT + index)

    def write_settings(self, index):
        ip = self.node_ip(index)
        firsts = [self.zones.index(zone) for zone in dict.fromkeys(self.zones)][:3]
        values = {
            "nodeName": f"front-{self.zones[index]}-{index + 1}", "role": "node", "machineClass": "front",
            "serves": "front,control", "ip": ip, "zone": self.zones[index], "region": "addis",
            **{f"zones.{zone}": "addis" for zone in dict.fromkeys(self.zones)},
            "listen.front": f"{ip}:{CALLER_PORT}", "listen.ready": f"{ip}:{READY_PORT}",
            "listen.control": f"{ip}:{CONTROL_PORT}", "portRange": "7380,7395",
            "seeds": ",".join(f"{self.node_ip(first)}:{CONTROL_PORT}" for first in firsts),
            "bootstrap": "true" if self.first_start else "false", "inFaultSet": "false", "limits.cpuShare": 0.17,
            "limits.cores": 1, "limits.memoryMb": 182, "limits.maxFds": 2870, "limits.linkMbps": 700.0,
            "limits.diskMb": 0, "discovery": "platform", "entry": "vip", "beatMs": int(self.beat_s * 1000),
            "contracts": "base,drain,config,cost,retry,recover,scatter,places,platform", "faultTolerance.machines": 1,
            "faultTolerance.zones": 1, "faultTolerance.regions": 0, "bounds.seedLagS": 3, "bounds.reuseAfterS": 2,
            "bounds.contactMs": 4000, "bounds.ackMs": 5000, "bounds.catchUpS": 4, "bounds.drainMs": 3000,
            "bounds.graceS": 6, "bounds.lossSlackMs": 200, "bounds.configMs": 3000, "bounds.rollbackSlackMs": 250,
            "bounds.maxSkewMs": 12000, "bounds.retryRatio": 0.2, "bounds.retryWindowS": 10, "bounds.retrySlack": 113,
            "bounds.warmupExcess": 1.5, "bounds.warmupSlack": 5, "bounds.evacMs": 5000, "bounds.recoverS": 12,
            "platform.address": f"{self.network}250:{STORE_PORT + index}", "platform.form": "read", "platform.writesPerS": 400,
            "platform.readsPerS": 2000, "platform.historyS": 20, "platform.valueBytes": 1048576,
            "platform.ttlMinMs": 1000, **self.extra_settings}
        path = self.temporary / f"{index}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        return path

    def start_node(self, index):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["IBISHOLD_NODE_FILE"] = str(self.write_settings(index))
        log = open(self.temporary / f"{index}.log", "ab")
        self.nodes[index] = subprocess.Popen([str(PROGRAM)], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
                                             stdout=log, stderr=log)
        log.close()

    def log_lines(self, index, word):
        text = (self.temporary / f"{index}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]

    async def wait_until_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for index in self.nodes:
            while True:
                answer = await self.call(index, "GET", "/v1/readiness", "", 1000, port=READY_PORT)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"machine {index + 1} did not become ready")
                await asyncio.sleep(0.1)

    # ---- configuration --------------------------------------------------------------------------

    def publish(self, version, routes, services, body_bytes=262144):
        self.store.put("op/config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": body_bytes, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.note(f"the operator's version {version} is confirmed")

    # ---- consumers ------------------------------------------------------------------------------

    async def call(self, index, method, target, request, time_left_ms, body=b"", port=CALLER_PORT):
        """One attempt of a consumer on a new connection. Returns (status, headers, body), or None without an answer."""
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(self.node_ip(index), port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            if request:
                lines += [f"X-Ibishold-Request-Id: {request}", f"X-Ibishold-Deadline-Remaining: {int(time_left_ms)}"]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:] if line}
            content = await reader.readexactly(int(headers.get("content-length", 0)))
            return int(head[0].split()[1]), headers, content
        try:
            return await asyncio.wait_for(exchange(), time_left_ms / 1000)
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            return None
        finally:
            if writer:
                writer.close()

    def on_run(self, leaf, request, method, target, body, limit):
        self.runs.setdefault(request, []).append((time.monotonic(), leaf.id))
        self.note(f"leaf {leaf.id} of {leaf.service} runs {request} {method} {target} with {limit * 1000:.0f} ms left")

    # ---- end ------------------------------------------------------------------------------------

    def close(self):
        for process in self.nodes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def new_request_id():
    return f"{random.getrandbits(64):016x}"


def main(case, folder, settings=None):
    """Runs `case(lab)`, which returns the list of what broke the rule. Exits with 0, 1 or 2."""
    lab = Lab(folder, settings)

    async def limited():
        return await asyncio.wait_for(case(lab), 110)

    def end(*_):
        raise CannotRun("stopped by a signal")
    signal.signal(signal.SIGTERM, end)
    try:
        broken = asyncio.run(limited())
        for text in broken:
            lab.note("BROKEN: " + text)
            print("BROKEN:", text)
        verdict = "the rule was broken" if broken else "the rule held"
        lab.note(verdict)
        print(verdict)
        code = 1 if broken else 0
    except Exception as problem:  # whatever goes wrong, the case says nothing on the rule
        lab.note(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        code = 2
    finally:
        lab.close()
    sys.exit(code)
