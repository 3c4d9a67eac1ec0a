"""REFUSED: a machine freezes while requests that may run once wait there for a leaf; it wakes past their timeoutMs."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from lab import Leaf, main, new_request_id  # noqa: E402

PROMISES = (408, 421, 429, 503)
TIME_LIMIT_MS = 6000  # deposit-slip's time limit on tesfa-trays
TIMEOUT_MS = 2000     # the operator's timeoutMs for the route
FREEZE_S = 3.0        # the site's troubles name 4 s
BURST, GAP_S = 16, 0.008


async def consumer(lab, index, slip, answers):
    """Sends one slip; after a promise that it has not run, sends it once more, as the consumers of the sheet do."""
    end = time.monotonic() + TIME_LIMIT_MS / 1000
    for attempt in (1, 2):
        request = new_request_id()
        lab.note(f"consumer sends {request} (slip {slip}, attempt {attempt}) to machine {index + 1}")
        answer = await lab.call(index, "POST", f"/timi402/{slip}", request, (end - time.monotonic()) * 1000,
                                body=f"slip {slip}".encode())
        status = answer[0] if answer else None
        answers.append((request, slip, status))
        lab.note(f"consumer gets {status} for {request} (slip {slip})")
        if status not in PROMISES:
            return
        wait = float(answer[1].get("retry-after", 0.1))
        index = (index + 1) % len(lab.zones)
        await asyncio.sleep(min(wait, max(0.0, end - time.monotonic()) / 3))


async def case(lab):
    await lab.start(["bole", "merkato", "kality", "bole"])
    lab.publish(2, [{"name": "r-slip", "host": "pupu76.example", "prefix": "/timi402/", "routeType": "non_idempotent",
                     "timeoutMs": TIMEOUT_MS, "sloMs": 600, "priority": 2, "service": "kafi81c", "maxAttempts": 2}],
                [{"name": "kafi81c", "healthPath": "/health", "maxConns": 16, "protocol": "h1", "tls": False,
                  "warmupS": 3.0, "rampPerS": 0.0}])
    for zone in ("bole", "merkato"):
        leaf = Leaf(lab, "kafi81c", zone, slots=2, queue=12, work_s=0.16)
        await leaf.start()
    for index in range(4):
        lab.start_node(index)
    await lab.wait_until_ready()
    await asyncio.sleep(6)  # the machines know each other and are in touch
    answers = []
    for index in range(3):
        consumers = []
        for number in range(BURST):
            consumers.append(asyncio.create_task(consumer(lab, index, f"{index}-{number}", answers)))
            await asyncio.sleep(GAP_S)
        if lab.trouble:
            lab.nodes[index].send_signal(signal.SIGSTOP)
            lab.note(f"machine {index + 1} freezes")
            await asyncio.sleep(FREEZE_S)
            lab.nodes[index].send_signal(signal.SIGCONT)
            lab.note(f"machine {index + 1} wakes")
        await asyncio.gather(*consumers)
        await asyncio.sleep(1)
    broken = []
    for request, slip, status in answers:
        if status in PROMISES and lab.runs.get(request):
            again = [other for other, same, _ in answers if same == slip and other != request and lab.runs.get(other)]
            broken.append(f"{request} was answered {status} and has run"
                          + (f"; slip {slip} ran again as {again[0]}" if again else ""))
    statuses = [status for _, _, status in answers]
    lab.note(f"answers: { {status: statuses.count(status) for status in set(statuses)} }")
    return broken

if __name__ == "__main__":
    main(case, pathlib.Path(__file__).resolve().parent)
