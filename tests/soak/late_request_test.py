#!/usr/bin/env python3
"""A planned stop of one real ibishold-node, in calm, while slow senders complete their requests late in the grace time.

Guards against requests that are taken and passed on when the process is about to end, and cut without an answer. Each
request that is complete before the process ends must be answered, and one that may run once must have run exactly if
its answer says so.

Usage: late_request_test.py --node PATH. Exit code 1 if a promise was broken.
"""
import argparse
import asyncio
import signal
import sys
import time

import soak

FIRST_BYTE_AT_S = 2.0    # after the signal; the VM still accepts connections
COMPLETE_AT_S = [2.5 + 0.1 * step for step in range(32)]  # up to 5.6 s, 0.1 s before the process ends by itself
LEAF_TIME_S = 0.2


async def send_slowly(run, index, complete_at, began):
    await asyncio.sleep(began + FIRST_BYTE_AT_S - time.monotonic())
    reader, writer = await asyncio.open_connection(f"{run.host}{index + 1}", 7104)
    request, body = f"{int(complete_at * 1000):06x}", b"body"
    writer.write(f"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Ibishold-Request-Id: {request}\r\n"
                 f"X-Ibishold-Deadline-Remaining: 6000\r\nContent-Length: {len(body)}\r\n\r\n".encode())
    await writer.drain()
    await asyncio.sleep(began + complete_at - time.monotonic())
    writer.write(body)
    answer = await soak.read_message(reader)
    writer.close()
    status = int(answer[0].split()[1]) if answer else None
    runs = run.runs.get(request, 0)
    run.count(f"{status}")
    if (status, runs) not in ((200, 1), (503, 0)):
        run.break_promise(f"the request that was complete {complete_at:.1f} s after the signal got {status} "
                          f"and ran {runs} times")


async def play(run):
    await run.start_all()
    for leaf in run.leaves.values():
        leaf["slow"] = LEAF_TIME_S
    await asyncio.sleep(2)
    began = time.monotonic()
    run.processes[0].send_signal(signal.SIGTERM)
    await asyncio.gather(*[send_slowly(run, 0, complete_at, began) for complete_at in COMPLETE_AT_S])
    run.stop_all()
    await asyncio.sleep(0.5)  # the connections of the processes end


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--node", required=True)
    run = soak.Soak(parser.parse_args().node, seed=25, seconds=0)
    asyncio.run(play(run))
    print(f"answers: {run.counts}")
    for text in run.broken:
        print(f"BROKEN at {text}")
    return 1 if run.broken else 0


if __name__ == "__main__":
    sys.exit(main())
