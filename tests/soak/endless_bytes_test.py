#!/usr/bin/env python3
"""Real ibishold-node processes whose leaves send bytes without end that are no answer, until the VM closes the connection.

Guards against a VM that keeps what a faulty leaf sends: it runs out of memory and ends, and with it the requests of its
other callers. One of the leaves of each shard streams in the head, the body or the framing of a reply, or on an idle
connection, on many connections at the same time. The peak memory of each process stays below the memory of the smallest
VM, bytes in its receive buffers included; callers of other services are served meanwhile, and calls that meet such a
leaf are served by the other one.

Usage: endless_bytes_test.py --node PATH [--seconds S]. Exit code 1 if a promise was broken.
"""
import argparse
import asyncio
import sys
import time

import soak

soak.NODES = 3
MEMORY_MB = 112  # of the smallest VM in the site files
SHARDS = [f"shard-{number}" for number in range(120)]
KINDS = ["all", "single", "faulty"]  # of calls
CALLERS = 48
SERVED_SHARE = 0.95
BLOCK = b"x" * 65536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# First bytes, and bytes that are repeated without end.
STREAMS = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "no head": (b"", BLOCK),
    "one header field": (OK + b"X: ", BLOCK),
    "header fields": (OK, b"X: y\r\n" * 8192),
    "body without length": (OK + b"\r\n", BLOCK),
    "body with a large length": (OK + b"Content-Length: 6000000\r\n\r\n", BLOCK),
    "body with an excessive length": (OK + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 8192),
    "chunk size": (CHUNKED, b"0" * 65536),
    "chunk extension": (CHUNKED + b"5;a=", BLOCK),
    "trailer": (CHUNKED + b"0\r\nX: ", BLOCK),
    "trailer fields": (CHUNKED + b"0\r\n", b"X: y\r\n" * 8192),
    "informational replies": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "replies to other requests": (b"", (OK + b"X-Ibishold-Request-Id: other\r\nContent-Length: 0\r\n\r\n") * 1024),
    "idle connection": (None, BLOCK),  # after a whole reply
}


class EndlessBytesRun(soak.Soak):
    def __init__(self, node, seconds):
        super().__init__(node, seed=25, seconds=seconds)
        self.streamed = {name: 0 for name in STREAMS}  # bytes
        self.served, self.asked, self.peaks = {}, {}, {}
        self.most_unread = 0  # bytes in the receive buffers of all VMs

    def settings(self, index):
        path = super().settings(index)
        path.write_text(path.read_text() + f"limits.memoryMb={MEMORY_MB}\n")
        return path

    async def publish(self):
        self.version += 1
        base = {"host": "h.example", "timeoutMs": 3000, "sloMs": 1000, "priority": 1, "maxAttempts": 2, "routeType": "idempotent"}
        await self.store.put("op/config", {
            "version": self.version,
            "routes": [{**base, "name": "all", "prefix": "/all/", "gather": SHARDS, "topK": 7, "minCoverage": 0.5},
                       {**base, "name": "single", "prefix": "/single/", "service": "single"},
                       {**base, "name": "faulty", "prefix": "/faulty/", "service": "faulty"}],
            "services": [{"name": name, "maxConns": 400, "rampPerS": 0} for name in SHARDS + ["single", "faulty"]],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def serve_leaf(self, state, reader, writer):
        if "stream" not in state:
            await super().serve_leaf(state, reader, writer)
            return
        begin, block = STREAMS[state["stream"]]
        try:
            message = await soak.read_message(reader)
            if message is None:
                return
            if begin is None:
                request = message[1].get("x-ibishold-request-id", "")
                await soak.write_message(writer, "HTTP/1.1 503 Service Unavailable", {
                    "X-Ibishold-Request-Id": request, "X-Ibishold-Not-Executed": 1})
            else:
                writer.write(begin)
            while True:
                writer.write(block)
                self.streamed[state["stream"]] += len(block)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def caller(self, number, kind):
        serial, writer = 0, None
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.expovariate(8))
            serial += 1
            request = f"{number:04x}{serial:06x}"
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(f"{self.host}{number // len(KINDS) % soak.NODES + 1}", 7104)
                await soak.write_message(writer, f"GET /{kind}/{request} HTTP/1.1", {
                    "Host": "h.example", "X-Ibishold-Request-Id": request, "X-Ibishold-Deadline-Remaining": 3000})
                answer = await asyncio.wait_for(soak.read_message(reader), 4)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answer = None
            status = answer[0].split()[1] if answer else "none"
            self.count(f"{kind} {status}")
            self.asked[kind] = self.asked.get(kind, 0) + 1
            self.served[kind] = self.served.get(kind, 0) + (status == "200")
            if not answer or answer[1].get("connection") == "close":
                if writer:
                    writer.close()
                writer = None
        if writer:
            writer.close()

    def unread_bytes(self):
        """Bytes of leaves in the receive buffers of all VMs."""
        # Loopback addresses are in little-endian order there.
        leaves = "".join(f"{int(part):02X}" for part in reversed(f"{self.host}200".split(".")))
        with open("/proc/net/tcp", encoding="ascii") as file:
            fields = [line.split() for line in list(file)[1:]]
        return sum(int(field[4].split(":")[1], 16) for field in fields if field[2].startswith(leaves))

    async def watch_memory(self):
        """Records the peak of the resident memory of each process."""
        while time.monotonic() < self.end:
            self.most_unread = max(self.most_unread, self.unread_bytes())
            for index, process in self.processes.items():
                if process.poll() is not None:
                    self.break_promise(f"node-{index} ended by itself with {process.returncode}")
                    return
                with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
                    peak = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
                self.peaks[index] = max(self.peaks.get(index, 0), peak / 1024)
            await asyncio.sleep(0.1)


async def play(run):
    await run.start_all()
    streams = list(STREAMS)
    for number, service in enumerate(SHARDS + ["single", "faulty", "faulty"]):
        if f"{service}-0" not in run.leaves:
            await run.start_leaf(service, f"{service}-0", "dc0")
        if service != "single":
            leaf = f"{service}-bad{number}"
            await run.start_leaf(service, leaf, f"dc{number % 2}")
            run.leaves[leaf]["stream"] = streams[number % len(streams)]
    for leaf in [leaf for leaf in run.leaves if leaf.endswith("-1") and "bad" not in leaf and not leaf.startswith("single")]:
        await run.store.remove("servers/" + leaf)
    await run.publish()
    await asyncio.sleep(2)
    run.end = time.monotonic() + run.seconds
    await asyncio.gather(run.watch_memory(),
                         *[run.caller(number, KINDS[number % len(KINDS)]) for number in range(CALLERS)])
    for index, peak in run.peaks.items():
        if peak > MEMORY_MB:
            run.break_promise(f"node-{index} used {peak:.0f} MB of {MEMORY_MB}")
    for kind, asked in run.asked.items():
        if run.served[kind] < SERVED_SHARE * asked:
            run.break_promise(f"{run.served[kind]} of {asked} calls of {kind} were served")
    for name, count in run.streamed.items():
        if count == 0:
            run.break_promise(f"no VM met a leaf that streams: {name}")
    run.stop_all()
    await asyncio.sleep(0.5)  # the connections of the processes end


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--node", required=True)
    parser.add_argument("--seconds", type=float, default=10)
    arguments = parser.parse_args()
    run = EndlessBytesRun(arguments.node, arguments.seconds)
    try:
        asyncio.run(play(run))
    finally:
        for process in run.processes.values():
            if process.poll() is None:
                process.kill()
    print(f"answers: {dict(sorted(run.counts.items()))}")
    print(f"peak memory, MB: { {index: round(peak) for index, peak in run.peaks.items()} }")
    print(f"most unread, MB: {run.most_unread / 1e6:.1f}")
    print(f"streamed, MB: { {name: round(count / 1e6) for name, count in run.streamed.items()} }; logs in {run.folder}")
    for text in run.broken[:10]:
        print(f"BROKEN at {text}")
    return 1 if run.broken else 0


if __name__ == "__main__":
    sys.exit(main())
