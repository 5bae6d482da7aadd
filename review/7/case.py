"""One entry is cut off for a moment while a part of prompts crashes workers: a sound part is refused from then on."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "harness-2"))

import deployment as d  # noqa: E402
import http1  # noqa: E402

MODEL_SERVICE = "draft-model"
RANKS = 12
FIRST_PART, CRASHING_PART = "5c1e07a2", "dead0bad"
REQUESTS_PER_SECOND = 39  # as on the sheet
FIRST_EVENT_SECONDS, EVENT_SECONDS, EVENTS = 0.3, 0.06, 12
STALL_SECONDS, DOWN_SECONDS, FORM_SECONDS = 1.5, 2.0, 0.6  # stall_ms, "back after some seconds", form_ms
CALM_SECONDS, CRASHES_SECONDS, AFTER_SECONDS = 8, 22, 20
CUT_SECONDS = 1.5  # the site's own days cut single machines off for up to 12 s, with reset for 8 s
CONTACT = d.BOUNDS["contactMs"] / 1000


class Group:
    """Ranks that run each pass together: when one crashes, all stall, and it is formed again when that one is back."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.epoch = 1
        self.open = True
        self.ranks = []
        self.lost = ""
        self.crashes = []  # times
        self.broken = asyncio.Event()

    async def start(self):
        for number in range(RANKS):
            rank = Rank(f"m-{number}-1", self.deployment, self, number)
            await rank.listen()
            self.ranks.append(rank)
            await rank.register()

    async def crash(self, rank):
        if not self.open:
            return
        self.open = False
        self.crashes.append(time.monotonic())
        self.lost = f"{rank.ip}:{rank.port}"
        self.broken.set()
        self.deployment.record.say(f"crash {len(self.crashes)}: {rank.name} has begun to write on part {CRASHING_PART}")
        rank.end()
        await self.register_all(except_rank=rank)
        await asyncio.sleep(DOWN_SECONDS)
        successor = Rank(f"m-{rank.number}-{len(self.crashes) + 1}", self.deployment, self, rank.number)
        await successor.listen(rank.port)
        self.ranks[rank.number] = successor
        await self.deployment.store.put("servers", rank.name, None)
        await successor.register()
        await asyncio.sleep(FORM_SECONDS)
        self.epoch += 1
        self.open = True
        self.broken = asyncio.Event()
        await self.register_all()

    async def register_all(self, except_rank=None):
        for rank in self.ranks:
            if rank is not except_rank:
                await rank.register()


class Rank(d.Worker):
    def __init__(self, name, deployment, group, number):
        super().__init__(name, deployment)
        self.group = group
        self.number = number

    def entry(self, state="ready"):
        return {**super().entry(state), "service": MODEL_SERVICE, "stage": "prefill_decode",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "group": {"name": "g-1", "epoch": self.group.epoch, "rank": self.number,
                          "state": "open" if self.group.open else "broken"}}

    async def respond(self, run, head, body, writer):
        common = [("Firwheel-Attempt-Id", run.attempt)]
        group = self.group
        broken = group.broken
        refusal = http1.head_bytes("HTTP/1.1 503 Service Unavailable", common + [
            ("Firwheel-Not-Executed", "1"), ("At-Server", group.lost), ("Content-Length", 0)])
        if not group.open or await self.stalls(broken, FIRST_EVENT_SECONDS):
            writer.write(refusal)
            return True
        if CRASHING_PART in head.get("firwheel-prompt-prefix"):
            run.executed = True
            asyncio.ensure_future(group.crash(self))
            return False
        run.executed = True
        self.record.write(self.name, f"begins {run.attempt}")
        writer.write(http1.head_bytes("HTTP/1.1 200 OK", common + [
            ("Firwheel-Response-Seal", f"seal.{run.attempt}"), ("Firwheel-Weight-Versions", 1),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for number in range(int(head.get("last-event-id", "0")) + 1, EVENTS + 1):
            writer.write(http1.chunk(f"id: {number}\ndata: {run.attempt} {number}\n\n".encode()))
            await writer.drain()
            if await self.stalls(broken, EVENT_SECONDS):
                return False
        writer.write(b"0\r\n\r\n")
        return True

    async def stalls(self, broken, seconds):
        """Works for a time; returns whether the group was broken meanwhile, after the time for which its ranks stall."""
        try:
            await asyncio.wait_for(broken.wait(), seconds)
        except asyncio.TimeoutError:
            return False
        await asyncio.sleep(STALL_SECONDS)
        return True


async def make(folder):
    return d.Deployment(folder, entries=4, zones=("zone-a", "zone-b", "zone-c"))


async def send_sound(deployment, program):
    while True:
        deployment.spawn(send(deployment, program, f"{random.getrandbits(32):08x}:600"))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def send_crashing(deployment, program):
    """Requests with the part that crashes workers, no two alike."""
    while True:
        deployment.spawn(send(deployment, program, f"{CRASHING_PART}:100,{random.getrandbits(32):08x}:300", "crashing"))
        await asyncio.sleep(1)


async def send(deployment, program, parts, kind="sound"):
    exchange = await deployment.request(
        program, "POST", f"/drafts/{kind}", b'{"draft":"%016x"}' % random.getrandbits(64), deadline_millis=8000, headers=[
            ("Firwheel-Model", "m"), ("Firwheel-Token-Count", "640,60"),
            ("Firwheel-Prompt-Prefix", f"{FIRST_PART}:40,{parts}")])
    return exchange


def begun(deployment, since, until):
    """Returns how many sound requests were sent in a time, and how many of them a worker began."""
    began = {run.attempt for run in deployment.runs if run.executed}
    sent = [e for e in deployment.exchanges if e.path == "/drafts/sound" and since <= e.sent < until]
    return len(sent), sum(exchange.attempt in began for exchange in sent)


async def cut_off(deployment, group, program):
    """Cuts one entry off from all other machines: what it has open is reset, and new connections are too.

    No other entry has clients now, so that the workers close their listeners for the time.
    """
    deployment.record.write("link", f"{program.name} is cut off from all other machines, with resets")
    deployment.store.links[program.ip].cut()
    for rank in group.ranks:
        rank.end()
    await asyncio.sleep(CUT_SECONDS)
    for rank in group.ranks:
        await rank.listen(rank.port)
    await deployment.store.links[program.ip].heal()
    deployment.record.write("link", f"{program.name} reaches all others again")


async def run(deployment, trouble):
    cuts = trouble and os.environ.get("CUT", "1") != "0"
    await deployment.configure(routes=[
        deployment.route("drafts", "streaming", timeoutMs=8000, targetLatencyMs=400, priority=1, resumable=True,
                         sticky=True, gapAimMs=120, service=MODEL_SERVICE)])
    group = Group(deployment)
    await group.start()
    await deployment.start_entries()
    program = deployment.programs[0]
    deployment.spawn(send_sound(deployment, program))
    await asyncio.sleep(2)
    calm = time.monotonic()
    await asyncio.sleep(CALM_SECONDS)
    crashes = time.monotonic()
    if trouble:
        deployment.spawn(send_crashing(deployment, program))
    await asyncio.sleep(CRASHES_SECONDS)
    if cuts:
        await cut_off(deployment, group, program)
    else:
        await asyncio.sleep(CUT_SECONDS)
    cut_ended = time.monotonic()
    await asyncio.sleep(CONTACT + AFTER_SECONDS)
    until = time.monotonic() - 1  # what was sent later may not have begun yet
    since = max([cut_ended + CONTACT] + [moment + 2 * CONTACT for moment in group.crashes[:5]])
    before, after = begun(deployment, calm, crashes - 1), begun(deployment, since, until)
    deployment.record.say(f"{len(group.crashes)} crashes; sound requests begun at the first attempt: {before[1]} of"
                          f" {before[0]} outside disruption, {after[1]} of {after[0]} from 2 x contactMs after the crashes"
                          " and contactMs after the cut on")
    others = []
    for other in deployment.programs[1:]:
        others += [(await send(deployment, other, f"{random.getrandbits(32):08x}:600")).status for _ in range(3)]
    deployment.record.say(f"answers to three sound requests at each of the other entries, after all: {others}")
    if deployment.judge(False, 0) is None or min(before[0], after[0]) < 20:
        return None
    return after[1] / after[0] >= 0.5 * before[1] / before[0]


if __name__ == "__main__":
    d.play(sys.modules[__name__])
