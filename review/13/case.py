"""A leaf that has restarted under its id asks every VM to hold off, and gets work all the same once its new entry is read.

13 VMs. All leaves of one shard of four crash (srv_crash) and are back after 2 s under the same ids. They listen at once and report to the store
with their first beat, 1 s later. While they come up they turn the first request of each VM away with 503 and Retry-After.
"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from fleet import TROUBLE, CannotRun, Fleet, Leaf, play, write_message  # noqa: E402

ZONES = ["bole"] * 7 + ["merkato"] * 4 + ["kality"] * 2
DOWN_S, FIRST_BEAT_S = 2.0, 1.0
RETRY_AFTER_S, REACTION_S, ALLOWED = 5.0, 0.5, 2
CALLS_PER_S = 78.0
SHARDS = [f"desk-{number}" for number in range(4)]


class RestartingLeaf(Leaf):
    """Keeps its id and its address when it starts again."""
    asks = False  # turns the next request of each VM away
    vm_of = None  # request id: VM that the caller sent it to

    async def start(self, cold=False):
        self.asked, self.arrivals = {}, []
        if getattr(self, "id", None) is None:
            return await super().start()
        self.born = time.time()
        self.running, self.waiting, self.free = 0, 0, asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.fleet.leaf_host, self.port, backlog=512)
        self.sequence = 0

        async def beat_later():
            await asyncio.sleep(FIRST_BEAT_S)
            await self.beat()
        self.beats = asyncio.create_task(beat_later())

    def crash(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def turn_away(self, request, echo, writer):
        """True if the request was turned away."""
        vm, now = self.vm_of.get(request), time.monotonic()
        self.arrivals.append((now, vm, request))
        if not self.asks or vm in self.asked:
            return False
        self.asked[vm] = now
        self.fleet.say(f"leaf {self.id} answers VM {vm} 503 with Retry-After {RETRY_AFTER_S} ({request})")
        await write_message(writer, "HTTP/1.1 503 Service Unavailable",
                            {**echo, "X-Ibishold-Not-Executed": 1, "Retry-After": RETRY_AFTER_S})
        return True


async def case(fleet):
    await fleet.start_vms()
    leaves = [RestartingLeaf(fleet, SHARDS[0], zone, 0.02) for zone in ("bole", "merkato")]
    for service in SHARDS[1:]:
        for zone in ("bole", "merkato"):
            await Leaf(fleet, service, zone, 0.02).start()
    vm_of = {}
    for leaf in leaves:
        leaf.vm_of = vm_of
        await leaf.start()
    route = {"name": "r-ledger", "host": "pupu76.example", "prefix": "/ledger/", "routeType": "idempotent", "timeoutMs": 1500,
             "sloMs": 150, "priority": 1, "gather": SHARDS, "maxAttempts": 2, "topK": 20, "minCoverage": 0.75}
    await fleet.config(1, [route], [{"name": name} for name in SHARDS])
    await fleet.wait_ready()
    await asyncio.sleep(4)
    calls, tasks = [], []

    async def one_call(vm):
        request = f"{fleet.random.getrandbits(64):016x}"
        vm_of[request] = vm
        calls.append(await fleet.ask(vm, "GET", "/ledger/2f", 1500, request=request))

    async def load(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for vm in range(len(ZONES)):
                tasks.append(asyncio.create_task(one_call(vm)))
                await asyncio.sleep(1 / CALLS_PER_S)

    running = asyncio.create_task(load(4 + DOWN_S + RETRY_AFTER_S + 4))
    await asyncio.sleep(4)
    if TROUBLE:
        for leaf in leaves:
            leaf.crash()
        fleet.say("the leaves of the shard crash", show=True)
        await asyncio.sleep(DOWN_S)
        for leaf in leaves:
            await leaf.start()
        fleet.say("the leaves are back under their ids; their first beat comes 1 s later", show=True)
    for leaf in leaves:
        leaf.asks = True
    await asyncio.sleep(FIRST_BEAT_S)
    for leaf in leaves:
        leaf.asks = False
    fleet.say("the leaves turn no further VM away", show=True)
    await running
    await asyncio.gather(*tasks)
    broken = 0
    for leaf in leaves:
        for vm, asked in sorted(leaf.asked.items()):
            early = [request for at, sender, request in leaf.arrivals
                     if sender == vm and asked + REACTION_S < at < asked + RETRY_AFTER_S]
            if len(early) > ALLOWED:
                broken += 1
                fleet.say(f"BUDGET: leaf {leaf.id} got {len(early)} requests from VM {vm} in the time that it had asked for: "
                          f"{early[:5]}", show=broken <= 6)
    asked = sum(len(leaf.asked) for leaf in leaves)
    kinds = {status: sum(entry[1] == status for entry in calls) for status in sorted({entry[1] for entry in calls})}
    fleet.say(f"{len(calls)} calls, answers {kinds}; leaves asked {asked} times to hold off, {broken} times in vain", show=True)
    if asked < 5:
        raise CannotRun("too few requests came while the leaves came up")
    return broken > 0


play(case, Fleet(pathlib.Path(__file__).resolve().parent / "record.txt", ZONES))
