"""CONFIG: the store is silent for 4.5 s amid changes; nobody hears of the changes made after it is back."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from lab import STORE_PORT, Leaf, main, new_request_id  # noqa: E402

ZONES = ["bole", "bole", "merkato", "merkato", "kality"]
CONTACT_S, CONFIG_S = 4.0, 3.0  # bounds.contactMs, bounds.configMs
SILENT_S, STORM_S, GAP_S = 4.5, 3.0, 0.33
TIME_LIMIT_MS, WATCHED_S = 600, 10.0


async def case(lab):
    await lab.start(ZONES)

    def publish(version, names):
        lab.publish(version, [{
            "name": "r-" + name, "host": "pupu76.example", "prefix": f"/{name}/", "routeType": "idempotent",
            "timeoutMs": 6000, "sloMs": 600, "priority": 2, "service": "kafi81c", "maxAttempts": 2} for name in names],
            [{"name": "kafi81c", "healthPath": "/health", "maxConns": 208, "protocol": "h1", "tls": False,
              "warmupS": 3.0, "rampPerS": 0.0}])
    publish(2, ["timi402"])
    for zone in ("bole", "merkato", "kality"):
        await Leaf(lab, "kafi81c", zone, slots=4, queue=16, work_s=0.01).start()
    for index in range(len(ZONES)):
        lab.start_node(index)
    await lab.wait_until_ready()
    await asyncio.sleep(6)
    version, down_at = 2, time.monotonic() + STORM_S
    while time.monotonic() < down_at:  # configurations come in quick succession
        version += 3
        publish(version, ["timi402", f"idle{version}"])
        await asyncio.sleep(GAP_S)
    publish(version + 3, ["timi402", "idle"])
    version += 3
    await asyncio.sleep(0.05)
    if lab.trouble:
        ports = set(range(STORE_PORT, STORE_PORT + len(ZONES)))
        lab.store.silent = ports
        lab.note("the store gives no answers")
        await asyncio.sleep(SILENT_S)
        lab.store.silent = set()
        lab.note("the store answers again")
    await asyncio.sleep(CONTACT_S + 2)
    publish(version + 4, ["timi402", "novu7"])
    confirmed = time.monotonic()
    lab.note("it adds the route /novu7/")
    late = []

    async def look(index):
        while time.monotonic() < confirmed + WATCHED_S:
            request, at = new_request_id(), time.monotonic()
            answer = await lab.call(index, "GET", "/novu7/2f", request, TIME_LIMIT_MS)
            status = answer[0] if answer else None
            lab.note(f"{request} to /novu7/ sent to machine {index + 1} {at - confirmed:.2f} s after the confirmation "
                     f"gets {status}")
            if status == 404 and at > confirmed + CONFIG_S:
                late.append(index)
            await asyncio.sleep(0.5)
    await asyncio.gather(*[look(index) for index in range(len(ZONES))])
    if late:
        return [f"{len(late)} requests sent later than configMs after the confirmation are refused with 404 though the "
                f"route is there, by {len(set(late))} of {len(ZONES)} machines"]
    return []

if __name__ == "__main__":
    main(case, pathlib.Path(__file__).resolve().parent)
