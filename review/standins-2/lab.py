"""Stand-ins of the platform, the leaves and the callers, written after the published pages.

All of them run on the event loop of the script; the system's own programs run as separate
processes with the command of the deploy file. Only loopback addresses are used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HISTORY_S = 20.0  # platform.historyS
PAGE_BYTES = 1_000_000  # a page of a list holds about 500 items or 1 MB
PAGE_ITEMS = 500


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self(text)
        print(f"{self.now():8.3f} {text}", flush=True)


async def read_head(reader):
    """Reads one HTTP message head. Returns its first line and its headers, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's store: list, read and watch, one revision counter, 20 s of history."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.port = 0
        self.items = {}  # key: (value, revision, createRevision, the item as JSON)
        self.log = []  # (time, revision, key, the event as JSON)
        self.revision = 100
        self.dropped = 0  # the newest revision whose event is no longer kept
        self.era = None  # Store-Era; None: the header is not sent
        self.changed = asyncio.Event()  # replaced at each change
        self.up = True
        self.largest_answer = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        text = self.item(key, value, self.revision, created)
        self.items[key] = (value, self.revision, created, text)
        self.log.append((time.monotonic(), self.revision, key, text))
        self.announce()
        return self.revision

    async def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        text = json.dumps({"key": key, "revision": self.revision, "removed": True}).encode()
        self.log.append((time.monotonic(), self.revision, key, text))
        self.announce()

    def announce(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def trim(self):
        oldest = time.monotonic() - HISTORY_S
        while self.log and self.log[0][0] < oldest:
            self.dropped = self.log.pop(0)[1]

    def copy(self):
        return dict(self.items), list(self.log), self.revision

    def away(self):
        """The store is away: it resets its connections and accepts none."""
        self.up = False
        for writer in list(self.connections):
            writer.transport.abort()

    async def back_from(self, copy):
        """The store comes back from a copy; its era rises by one."""
        self.items, self.log, self.revision = dict(copy[0]), list(copy[1]), copy[2]
        self.era = (self.era or 1) + 1
        self.up = True

    @staticmethod
    def item(key, value, revision, created):
        return json.dumps(
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": revision,
                "createRevision": created,
                "lease": 0,
            }
        ).encode()

    def list_page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        items, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or (after and key <= after):
                continue
            text = self.items[key][3]
            if items and (len(items) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                more = True
                break
            items.append(text)
            size += len(text)
        return 200, items, b'{"items":[%s],"hasMore":%s,"asOf":%d}' % (
            b",".join(items), b"true" if more else b"false", self.revision)

    def events_after(self, prefix, after):
        return [
            text for _, revision, key, text in self.log if revision > after and key.startswith(prefix)
        ]

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(30000, int(query.get("waitMs", "0"))) / 1000
        while True:
            self.trim()
            if after < self.dropped or after > self.revision:
                return 410, [], b'{"asOf":%d}' % self.revision
            events = self.events_after(prefix, after)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, events, b'{"events":[%s],"asOf":%d}' % (b",".join(events), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        if not self.up:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while True:
                line, _ = await read_head(reader)
                target = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
                if target.path == "/v1/kv-range":
                    status, entries, text = self.list_page(query)
                elif target.path == "/v1/kv-watch":
                    status, entries, text = await self.watch(query)
                else:
                    found = self.items.get(query.get("key", ""))
                    status, entries, text = (200, [found], found[3]) if found else (404, [], b"{}")
                self.largest_answer = max(self.largest_answer, len(text))
                self.record(
                    f"store: {target.path}?{target.query} -> {status}, as of {self.revision},"
                    f" {len(entries)} entries, {len(text)} bytes"
                )
                era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
                writer.write(
                    f"HTTP/1.1 {status} {'OK' if status == 200 else 'Gone'}\r\n{era}"
                    f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass  # the peer closed the connection, or the script ends
        finally:
            self.connections.discard(writer)
            writer.close()


class Leaf:
    """A sound leaf: runs a request for work_s and echoes the request's id."""

    def __init__(self, lab, service, zone, number, work_s=0.02, body_bytes=400):
        self.lab, self.service, self.zone = lab, service, zone
        self.id = f"i-{service}-{number}"
        self.work_s, self.body_bytes = work_s, body_bytes
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []  # (time, request id)
        self.port = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.lab.leaf_address, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.publish()

    async def publish(self):
        entry = {
            "service": self.service,
            "address": f"{self.lab.leaf_address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "warmupLeftMs": 0,
            "seqNo": 1,
            "born": self.born,
        }
        await self.lab.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                length = int(headers.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                path = line.split(" ")[1]
                if path == "/health":
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nX-Ibishold-Instance-Id: {self.id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                expected = headers.get("x-ibishold-expect-instance", self.id)
                if expected != self.id:
                    writer.write(
                        f"HTTP/1.1 421 Misdirected Request\r\nX-Ibishold-Instance-Id: {self.id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                request = headers.get("x-ibishold-request-id", "")
                if not request:
                    writer.write(
                        b"HTTP/1.1 400 Bad Request\r\nX-Ibishold-Not-Executed: 1\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    continue
                self.runs.append((self.lab.record.now(), request))
                self.lab.record(f"run: {request} {line.split(' ')[0]} {path} at {self.id} ({self.service})")
                await asyncio.sleep(self.work_s)
                body = os.urandom(self.body_bytes // 16 * 16)
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Ibishold-Request-Id: {request}\r\n"
                    f"X-Ibishold-Response-Stamp: {self.service}.{self.id}.{request}\r\n"
                    f"X-Ibishold-Server-Load: 0,0,4\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass  # the peer closed the connection, or the script ends
        finally:
            self.connections.discard(writer)
            writer.close()


class Answer:
    def __init__(self, status, headers, body, request):
        self.status, self.headers, self.body, self.request = status, headers, body, request

    @property
    def services(self):
        """The services whose leaves answered, by their stamps."""
        stamps = self.headers.get("x-ibishold-part-stamps") or self.headers.get(
            "x-ibishold-response-stamp", ""
        )
        return {stamp.strip().split(".")[0] for stamp in stamps.split(",") if stamp.strip()}


class Caller:
    """One kept connection of a caller to the front address of a VM.

    Status 0 of an answer: the connection ended without one; -1: the caller gave up.
    """

    def __init__(self, lab, vm):
        self.lab, self.vm = lab, vm
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.vm.address, self.vm.front), 1.0
        )

    async def ask(self, path, time_left_ms, method="GET", body=b""):
        """Sends one request and reads its answer."""
        request = self.lab.new_request_id()
        if self.writer is None:
            await self.connect()
        self.lab.record(f"sent: {request} {method} {path} to {self.vm.name}")
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.lab.host}\r\n"
            f"X-Ibishold-Request-Id: {request}\r\n"
            f"X-Ibishold-Deadline-Remaining: {time_left_ms}\r\n{length}\r\n".encode() + body
        )
        try:
            line, headers = await asyncio.wait_for(read_head(self.reader), time_left_ms / 1000)
            content = await self.reader.readexactly(int(headers.get("content-length", "0")))
        except asyncio.TimeoutError:  # a subclass of OSError in newer versions
            self.close()
            self.lab.record(f"gave up: {request}")
            return Answer(-1, {}, b"", request)
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            self.close()
            self.lab.record(f"ended: {request} connection ended without an answer ({error!r})")
            return Answer(0, {}, b"", request)
        if headers.get("connection", "").lower() == "close":
            self.close()
        answer = Answer(int(line.split(" ")[1]), headers, content, request)
        self.lab.record(
            f"answered: {request} {answer.status} by {self.vm.name},"
            f" from {','.join(sorted(answer.services)) or '-'}"
        )
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Vm:
    """One machine with one process of the system."""

    def __init__(self, lab, zone, number):
        self.lab, self.zone, self.name = lab, zone, f"front-{zone}-{number}"
        self.address = lab.new_address()
        self.front, self.ready, self.control = 8104, 8108, 8106
        self.process = None
        self.starts = 0
        self.seeds = []

    def write_settings(self):
        self.path = os.path.join(self.lab.folder, self.name + ".conf")
        values = dict(
            self.lab.bounds,
            **{
                "nodeName": self.name,
                "role": "node",
                "machineClass": "front",
                "serves": "front,control",
                "ip": self.address,
                "zone": self.zone,
                "region": "addis",
                "listen.front": f"{self.address}:{self.front}",
                "listen.ready": f"{self.address}:{self.ready}",
                "listen.control": f"{self.address}:{self.control}",
                "portRange": "7380,7395",
                "seeds": ",".join(self.seeds),
                "bootstrap": "true" if self.starts == 0 else "false",
                "platform.address": f"{self.lab.store.address}:{self.lab.store.port}",
            },
        )
        for zone in self.lab.zones:
            values[f"zones.{zone}"] = "addis"
        with open(self.path, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in values.items())

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split()
        self.write_settings()
        self.starts += 1
        self.output = open(os.path.join(self.lab.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, command[0])] + command[1:],
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "IBISHOLD_NODE_FILE": self.path},
            stdin=subprocess.DEVNULL,
            stdout=self.output,
            stderr=subprocess.STDOUT,
        )
        self.lab.record(f"start: {self.name}, process {self.process.pid}, {self.address}")

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def send(self, number):
        self.lab.record(f"signal: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.ready), 0.5
            )
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Lab:
    """A small deployment with the settings of the Tesfa sheet."""

    host = "pupu76.example"
    zones = ["bole", "merkato", "kality"]

    def __init__(self, folder):
        self.folder_of_case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        self.next_address = 10
        self.next_request = random.getrandbits(40) << 24
        self.leaf_address = f"{self.net}.2"
        self.store = Store(f"{self.net}.1", self.record)
        self.vms, self.leaves = [], []
        self.version = 0
        self.bounds = {
            "limits.cpuShare": "0.17", "limits.cores": "1", "limits.memoryMb": "182",
            "limits.maxFds": "2870", "limits.linkMbps": "700.0", "limits.diskMb": "0",
            "discovery": "platform", "entry": "vip", "beatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,scatter,places,platform",
            "faultTolerance.machines": "1", "faultTolerance.zones": "1", "faultTolerance.regions": "0",
            "bounds.seedLagS": "3", "bounds.reuseAfterS": "2", "bounds.contactMs": "4000",
            "bounds.ackMs": "5000", "bounds.catchUpS": "4", "bounds.drainMs": "3000",
            "bounds.graceS": "6", "bounds.lossSlackMs": "200", "bounds.configMs": "3000",
            "bounds.rollbackSlackMs": "250", "bounds.maxSkewMs": "12000", "bounds.retryRatio": "0.2",
            "bounds.retryWindowS": "10", "bounds.retrySlack": "113", "bounds.warmupExcess": "1.5",
            "bounds.warmupSlack": "5", "bounds.evacMs": "5000", "bounds.recoverS": "12",
            "platform.form": "read", "platform.writesPerS": "400", "platform.readsPerS": "2000",
            "platform.historyS": "20", "platform.valueBytes": "1048576", "platform.ttlMinMs": "1000",
        }

    def new_address(self):
        self.next_address += 1
        return f"{self.net}.{self.next_address}"

    def new_request_id(self):
        self.next_request += 1
        return f"{self.next_request:016x}"

    async def add_leaves(self, service, count, **options):
        for number in range(count):
            leaf = Leaf(self, service, self.zones[number % len(self.zones)], number, **options)
            self.leaves.append(leaf)
            await leaf.start()

    def config(self, routes, services, max_body_bytes=262144):
        self.version += random.randint(1, 4)
        return json.dumps(
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {
                        "name": service, "healthPath": "/health", "maxConns": 208,
                        "protocol": "h1", "tls": False, "warmupS": 3.0, "rampPerS": 0.0,
                    }
                    for service in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384, "maxBodyBytes": max_body_bytes,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                },
            },
            separators=(",", ":"),
        ).encode()

    async def put_config(self, routes, services, **limits):
        """The operator writes a configuration. Returns the time of the store's confirmation."""
        return await self.put_text(self.config(routes, services, **limits))

    async def put_text(self, text):
        """Writes the text of a configuration that `config` has made before."""
        assert len(text) <= 1048576, "the configuration is above platform.valueBytes"
        revision = await self.store.put("op/config", text)
        version = text[: text.index(b",")].decode().partition(":")[2]
        self.record(f"operator: version {version}, {len(text)} bytes, revision {revision}")
        return self.record.now()

    async def start_vms(self, count):
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            self.vms.append(Vm(self, zone, number // len(self.zones) + 1))
        seeds = [f"{vm.address}:{vm.control}" for vm in self.vms[:3]]
        for vm in self.vms:
            vm.seeds = seeds
            vm.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if all([await vm.is_ready() for vm in self.vms]):
                self.record.say(f"{count} VMs are ready")
                return
            await asyncio.sleep(0.1)
        for vm in self.vms:
            with open(os.path.join(self.folder, f"{vm.name}.log"), encoding="utf-8") as file:
                log = file.read().splitlines()[-3:]
            self.record.say(f"{vm.name}: exit code {vm.process.poll()}, its last lines: {log}")
        raise RuntimeError("the VMs did not become ready")

    async def close(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(file, case, limit_s=115):
    """Runs `case(lab)`, which returns True if the rule held. Exits with 0, 1 or 2."""

    async def main():
        lab = Lab(os.path.dirname(os.path.abspath(file)))
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)  # the processes are ended below
        try:
            held = await asyncio.wait_for(case(lab), limit_s)
            lab.record.say(f"trouble {'on' if TROUBLE else 'off'}: the rule {'held' if held else 'was broken'}")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            lab.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await lab.close()
            lab.record.file.close()

    code = asyncio.new_event_loop().run_until_complete(main())
    sys.stdout.flush()
    os._exit(code)  # the connections of the stand-ins need no orderly end
