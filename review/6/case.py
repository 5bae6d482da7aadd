"""All agents are killed while orders are late: a new controller holds the group at a step whose end is still on its way."""

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "harness-2"))

import deployment as d  # noqa: E402
import http1  # noqa: E402

SERVICE = "draft-model"
RANKS, SETS, EXPERTS, PLACES, SPARE = 4, 2, 16, 6, 2
HOLD_RANK = RANKS - 1
PASS_SECONDS, EXPERT_LOAD_SECONDS, PICKS = 0.012, 0.035, 600
SHORT_EVENTS, LONG_EVENTS = 3, 25
LEAD_STEPS = 2  # from the last pass of an idle group to the step of a hold
LATE_SECONDS = (2.0, 12.0)  # "carried out 2 to 12 s later"
AFTER_NEWER_SECONDS = 0.35
FIRST_FEW = 3
DISRUPTION_SECONDS = 5.5  # and
LATE_SHARE = 0.35  # of the orders, as the largest applied_late of the site; twice in a cycle
UNANSWERED_GOS = 3  # to end the hold at one step
CYCLES = 3


class Rank:
    def __init__(self, number, group, ip):
        self.number, self.group, self.ip = number, group, ip
        self.version, self.highest, self.seq, self.running = 0, 0, 0, 0
        self.experts = [[e for e in range(EXPERTS) if e % RANKS == number] for _ in range(SETS)]
        self.prepared, self.prepared_experts, self.preparing = None, None, None
        self.armed, self.armed_step, self.held = None, None, None
        self.counts = [0] * (SETS * EXPERTS)

    async def listen(self):
        self.server = await http1.serve(self.ip, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    def membership(self):
        return {"name": "g-1", "epoch": 1, "rank": self.number, "state": "open"}

    def entry(self):
        return {"service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": "zone-a", "version": "v1", "slots": 8,
                "state": "ready", "coldRemainingMs": 0, "stage": "prefill_decode", "seq": 1, "born": self.group.born,
                "models": [{"name": "m", "version": 1, "adapters": []}], "group": self.membership()}

    def report(self):
        return {"stage": "prefill_decode", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.preparing is not None, "seq": self.seq, "waiting": 0, "running": self.running, "kvUsed": 0,
                "kvTotal": 248000, "handles": 0, "pace": 1, "size": RANKS, "step": self.group.step,
                "born": self.group.born, "group": self.membership(), "map": {"version": self.version},
                "prepared": None if self.prepared is None else {"version": self.prepared},
                "armed": None if self.armed is None else {"version": self.armed, "step": self.armed_step},
                "held": self.held}

    def picked(self, lists):
        if not lists:
            return {"step": self.group.step, "epoch": 1, "counts": self.counts, "born": self.group.born}
        answer = {"step": self.group.step, "epoch": 1, "born": self.group.born,
                  "map": {"version": self.version, "experts": self.experts}}
        if self.prepared is not None:
            answer["prepared"] = {"version": self.prepared, "experts": self.prepared_experts}
        return answer

    async def handle(self, reader, writer):
        while True:
            head = await http1.read_head(reader)
            if head is None:
                return
            body = await http1.read_body(reader, head)
            path = head.first_line.split(" ")[1]
            if path.startswith("/report"):
                self.answer(writer, 200, self.report())
            elif path.startswith("/picked"):
                self.answer(writer, 200, self.picked("lists" in path))
            elif path == "/order":
                status = self.group.take(self, json.loads(body))
                if status is None:
                    await asyncio.sleep(15)
                    return
                self.answer(writer, status, {})
            else:
                await self.stream(head, path, writer)
            await writer.drain()

    @staticmethod
    def answer(writer, status, fields):
        content = json.dumps(fields).encode()
        writer.write(http1.head_bytes(f"HTTP/1.1 {status} X", [
            ("Content-Type", "application/json"), ("Content-Length", len(content))]) + content)

    async def stream(self, head, path, writer):
        attempt = head.get("firwheel-attempt-id")
        writer.write(http1.head_bytes("HTTP/1.1 200 OK", [
            ("Firwheel-Attempt-Id", attempt), ("Firwheel-Response-Seal", f"seal.{attempt}"),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        self.running += 1
        try:
            for number in range(int(head.get("last-event-id", "0")) + 1, int(path.split("/")[2]) + 1):
                before = self.group.step
                while self.group.step == before:
                    await asyncio.sleep(0.002)
                writer.write(http1.chunk(f"id: {number}\ndata: token\n\n".encode()))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Group:
    """A lock-step group of model workers with expert maps, as PROTOCOL.md describes it."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record
        self.born = int(time.time() * 1000)
        self.step, self.hot = 1, 0
        self.ranks = [Rank(i, self, f"{deployment.network}.{10 + i}") for i in range(RANKS)]
        self.broken = False
        self.late_until = 0.0
        self.orders, self.unanswered, self.gos = 0, 0, {}
        self.orders_before, self.unanswered_before = 0, 0
        self.late_gos = {}  # step -> times at which orders to end a hold there were taken and not answered
        self.on_hold = lambda step: None
        self.tries = []

    async def run_passes(self):
        while True:
            await asyncio.sleep(PASS_SECONDS)
            following = self.step + 1
            if any(rank.running for rank in self.ranks) and all(rank.held != following for rank in self.ranks):
                self.begin_pass(following)

    def begin_pass(self, following):
        self.step = following
        for rank in self.ranks:
            if rank.armed is not None and rank.armed_step == following:
                rank.version, rank.experts, rank.armed, rank.armed_step = rank.armed, rank.prepared_experts, None, None
                self.record.write(f"rank {rank.number}", f"switches to map {rank.version} at pass {following}")
            if rank.running:
                for i in range(SETS * EXPERTS):
                    hot = i % EXPERTS % RANKS == self.hot
                    rank.counts[i] += 5 * PICKS // EXPERTS if hot else PICKS // EXPERTS // 3
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1 and not self.broken:
            self.broken = True
            self.record.say(f"MAP: pass {following} begins with maps {versions}")

    def begin_disruption(self):
        self.report_share()
        self.late_until = time.monotonic() + DISRUPTION_SECONDS
        self.orders_before, self.unanswered_before = self.orders, self.unanswered

    def report_share(self):
        self.record.write("case", f"{self.unanswered - self.unanswered_before} of {self.orders - self.orders_before} orders"
                          " were not answered since the latest disruption began")

    def is_late(self):
        """Returns whether an order may be left unanswered, by the length of the disruption and the share in it so far.

        The first few are let pass, as the share is that of the whole time.
        """
        late = self.unanswered - self.unanswered_before + 1
        return time.monotonic() < self.late_until and late <= FIRST_FEW + LATE_SHARE * (self.orders - self.orders_before)

    def take(self, rank, order):
        """Carries out an order and returns the status of its answer, or leaves it unanswered and returns None."""
        self.orders += 1
        operation, step = order["operation"], order.get("step")
        late = operation == "arm" and rank.number == 0
        if operation == "go" and rank.number == HOLD_RANK and rank.held == step:
            self.gos[step] = self.gos.get(step, 0) + 1
            late = self.gos[step] <= UNANSWERED_GOS
        brief = " ".join(str(order[field]) for field in ("operation", "version", "step") if field in order)
        if late and self.is_late():
            self.unanswered += 1
            self.record.write(f"rank {rank.number}", f"takes and does not answer {brief}")
            if operation == "go":
                self.late_gos.setdefault(step, []).append(time.monotonic())
            else:
                self.deployment.spawn(self.carry_out_late(rank, order, brief, random.uniform(*LATE_SECONDS)))
            return None
        status = self.carry_out(rank, order)
        self.record.write(f"rank {rank.number}", f"answers {status} to {brief}")
        if operation == "hold" and status == 202:
            self.tries.append(step)
            # Orders to end a hold at this step that were taken seconds ago are carried out after the newer one.
            for taken in self.late_gos.pop(step, []):
                delay = time.monotonic() + AFTER_NEWER_SECONDS - taken
                if LATE_SECONDS[0] <= delay <= LATE_SECONDS[1]:
                    self.deployment.spawn(self.carry_out_late(rank, {"operation": "go", "step": step, "epoch": 1},
                                                              f"go {step} of {delay:.1f} s before",
                                                              AFTER_NEWER_SECONDS))
            self.on_hold(step)
        return status

    async def carry_out_late(self, rank, order, brief, seconds):
        await asyncio.sleep(seconds)
        status = self.carry_out(rank, order)
        self.record.write(f"rank {rank.number}", f"carries out late {brief}: {status}")

    def carry_out(self, rank, order):
        if order.get("epoch", 1) != 1:
            return 409
        return getattr(self, order["operation"])(rank, order)

    def prepare(self, rank, order):
        version = order["version"]
        if version <= rank.highest or rank.armed is not None:
            return 409
        placement = [layer[rank.number] for layer in order["map"]]
        new = [len(set(placement[s]) - set(rank.experts[s])) for s in range(SETS)]
        if max(new) > SPARE:
            return 409
        rank.highest, rank.preparing = version, version
        rank.seq += 1

        async def copy():
            await asyncio.sleep(sum(new) * EXPERT_LOAD_SECONDS)
            if rank.preparing == version:
                rank.prepared, rank.prepared_experts, rank.preparing = version, placement, None

        self.deployment.spawn(copy())
        return 202

    def arm(self, rank, order):
        version, step = order["version"], order["step"]
        if rank.armed == version and rank.armed_step == step:
            return 200
        if rank.prepared != version or rank.preparing is not None or step <= self.step:
            return 409
        rank.armed, rank.armed_step = version, step
        rank.seq += 1
        return 202

    def disarm(self, rank, order):
        if rank.version == order["version"]:
            return 409
        if rank.armed != order["version"]:
            return 200
        rank.armed, rank.armed_step = None, None
        rank.seq += 1
        return 202

    def hold(self, rank, order):
        if rank.held == order["step"]:
            return 200
        if rank.held is not None or order["step"] <= self.step:
            return 409
        rank.held = order["step"]
        rank.seq += 1
        return 202

    def go(self, rank, order):
        if rank.held != order["step"]:
            return 200
        rank.held = None
        rank.seq += 1
        return 202

    def calm(self):
        return all(rank.held is None and rank.armed is None for rank in self.ranks)


async def make(folder):
    return d.Deployment(folder, entries=1)


async def request(deployment, events):
    return await deployment.request(
        deployment.programs[0], "POST", f"/drafts/{events}", b"draft", deadline_millis=8000, headers=[
            ("Firwheel-Model", "m"), ("Firwheel-Token-Count", "100,50"), ("Firwheel-Prompt-Prefix", "5c1e07a2:100")])


async def until(condition, seconds):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.002)
    return True


def events_to_meet(group):
    """Returns the length of a request after which a controller without memory holds at a step that was used before."""
    now = time.monotonic()
    lengths = [step - LEAD_STEPS - group.step for step, taken in group.late_gos.items() if now - min(taken) < 10]
    return max([length for length in lengths if 1 <= length <= 20], default=SHORT_EVENTS)


async def play_cycle(deployment, group, agents, number, trouble):
    """Lets a controller try to change the map of an idle group, kills all agents, and lets the next one try."""
    group.hot = (group.hot + 1) % RANKS
    group.tries, group.gos, group.late_gos = [], {}, {}
    if trouble:
        group.begin_disruption()
    for _ in range(2):
        await request(deployment, SHORT_EVENTS)
    idle = group.step
    await until(lambda: len(group.tries) >= 5 and group.calm(), DISRUPTION_SECONDS)
    await until(group.calm, 3)
    deployment.record.say(f"cycle {number}: the group is idle at pass {idle}; held at {group.tries}")
    before = [rank.highest for rank in group.ranks]
    if trouble:
        for agent in agents:
            agent.signal("KILL")
        for agent in agents:
            await agent.child.wait()
            await agent.start()
        # The next controller prepares a version of its own at each rank before it does anything else.
        await until(lambda: all(rank.highest > old for rank, old in zip(group.ranks, before)), 8)
        await asyncio.sleep(0.6)
        group.begin_disruption()
    events = events_to_meet(group)
    group.tries, group.gos = [], {}
    group.hot = (group.hot + 1) % RANKS
    requests = []
    group.on_hold = lambda step: requests or requests.append(deployment.spawn(request(deployment, LONG_EVENTS)))
    await request(deployment, events)
    await until(lambda: group.broken or (requests and requests[0].done()), 7)
    group.on_hold = lambda step: None
    deployment.record.say(f"cycle {number}: the next controller held it at {group.tries}; pass {group.step}")
    await until(group.calm, 4)


async def run(deployment, trouble):
    await deployment.store.put("op", "config", {
        "version": 7, "routes": [deployment.route(
            "drafts", "streaming", timeoutMs=8000, targetLatencyMs=400, priority=1, resumable=True, sticky=True,
            gapAimMs=120, service=SERVICE)],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 386, "protocol": "h1", "tls": False,
                      "engine": {"slots": 8, "kvCapacityTokens": 248000, "linkMbps": 180000.0, "stride": 5,
                                 "step_ms": 5.85, "per_seq_ms": 0.53, "context_per_k": 0.054, "read_per_s": 61200.0,
                                 "pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200.0,
                                 "usual": {"prompt": 835, "answer": 139}, "sets": SETS, "experts": EXPERTS,
                                 "places": PLACES, "spare": SPARE, "expertMb": 780.0, "expertShare": 0.85,
                                 "form_ms": 600.0}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": [d.KEY], "priority": 1}]})
    group = Group(deployment)
    for rank in group.ranks:
        await rank.listen()
        await deployment.store.put("servers", f"m-{rank.number}", rank.entry())
    deployment.spawn(group.run_passes())
    await deployment.start_entries()
    ports = json.loads(deployment.programs[0].settings.read_text())["peerPort"]
    agents = [await deployment.make_program("agent", rank.number, rank.ip, ports, {},
                                            app=f"{rank.ip}:{rank.port}", service=SERVICE) for rank in group.ranks]
    for agent in agents:
        await agent.start()
    await asyncio.sleep(5)
    for _ in range(3):
        group.hot = (group.hot + 1) % RANKS
        await request(deployment, 60)
    if not await until(lambda: group.ranks[0].version > 0, 8):
        deployment.record.say("no map was rolled out")
        return None
    for number in range(CYCLES):
        await play_cycle(deployment, group, agents, number, trouble)
        if group.broken:
            break
    deployment.record.say(f"{group.orders} orders, {group.unanswered} of them without an answer")
    group.report_share()
    return deployment.judge(group.broken, 0.9)


if __name__ == "__main__":
    d.play(sys.modules[__name__])
