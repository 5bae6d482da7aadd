"""An entry starts while its link loses packets, and a worker leaves: the entry takes the worker back, for good."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "harness-2"))

import deployment as d  # noqa: E402

ROUNDS = 6
RETRANSMISSION_SECONDS = 0.25  # after which TCP sends a lost packet of the store's answer once more
LEAVES_AFTER_SECONDS = 0.06  # after the entry has joined the others
SERVES_ON_SECONDS = 7.0  # after its entry is gone: "drainMs ... and a little longer (at times many seconds)"
REQUESTS_PER_SECOND = {True: 40, False: 10}  # through the entry that is restarted, and through each of the others
WORK_SECONDS = 0.1


async def make(folder):
    return d.Deployment(folder, entries=3)


async def send_all(deployment, program):
    """Clients of one entry, safe and unsafe requests in turn."""
    number = 0
    while True:
        number += 1
        kind, method = ("safe", "GET") if number % 2 else ("unsafe", "POST")
        deployment.spawn(deployment.request(program, method, f"/{kind}/{number}", b"" if method == "GET" else b"sheet"))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND[program is deployment.programs[-1]])


class Link:
    """The link between one entry and the store, which loses one packet of the answer to its first read of `servers`."""

    def __init__(self, deployment, program, loses):
        self.deployment, self.program, self.loses = deployment, program, loses
        self.joined = asyncio.Event()

    def delay(self, caller, path, query, answer):
        if caller != self.program.ip or path != "/rows-get":
            return 0.0
        if query["table"] == "servers" and self.loses:
            self.loses = False
            self.program.disturbed = time.monotonic() + RETRANSMISSION_SECONDS
            self.deployment.record.write("link", f"a packet of the answer about workers to {self.program.name} is lost;"
                                         f" sent again after {RETRANSMISSION_SECONDS} s")
            return RETRANSMISSION_SECONDS
        if query["table"] not in ("servers", "op"):
            self.joined.set()
        return 0.0


async def play_round(deployment, program, number, trouble):
    program.signal("TERM")
    worker = d.Worker(f"i-leaves-{number}", deployment, work_seconds=WORK_SECONDS)
    await worker.listen()
    await worker.register()
    await program.child.wait()
    link = Link(deployment, program, trouble)
    deployment.store.delay = link.delay
    await program.start()
    program.disturbed = time.monotonic()
    await link.joined.wait()
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    await worker.unregister()
    await program.await_ready()
    await asyncio.sleep(SERVES_ON_SECONDS)
    worker.end()
    ended = time.monotonic()
    await asyncio.sleep(1)
    return worker, [exchange for exchange in deployment.exchanges if lost_with(worker, ended, exchange, deployment)]


def lost_with(worker, ended, exchange, deployment):
    """Returns whether a request was at the worker when that ended, and its client got no success."""
    runs = [run for run in deployment.runs if run.attempt == exchange.attempt]
    return (any(run.worker is worker and run.executed and run.arrived <= ended for run in runs)
            and exchange.status != 200 and exchange.ended is not None and exchange.ended >= ended)


def late_requests(deployment, worker):
    """Requests that break DRAIN: taken by an entry in touch and at the worker later than drainMs after its removal."""
    sent = {exchange.attempt: exchange for exchange in deployment.exchanges}
    contact = d.BOUNDS["contactMs"] / 1000
    late = []
    for run in deployment.runs:
        exchange = sent.get(run.attempt)
        if run.worker is worker and exchange is not None and run.executed:
            in_touch = exchange.sent - exchange.program.disturbed > contact
            if run.arrived > worker.removed + d.BOUNDS["drainMs"] / 1000 and in_touch:
                late.append((run, exchange))
    return late


async def run(deployment, trouble):
    await deployment.configure()
    for i in range(3):
        worker = d.Worker(f"i-{i}", deployment, work_seconds=WORK_SECONDS)
        await worker.listen()
        await worker.register()
    await deployment.start_entries()
    for program in deployment.programs:
        deployment.spawn(send_all(deployment, program))
    await asyncio.sleep(4)
    broken = 0
    for number in range(ROUNDS):
        worker, lost = await play_round(deployment, deployment.programs[-1], number, trouble)
        late = late_requests(deployment, worker)
        deployment.record.say(f"round {number}: {len(late)} requests reached {worker.name} over {d.BOUNDS['drainMs']} ms"
                              f" after the store had dropped its entry, sent by entries in touch"
                              + (f", {len(lost)} were lost with it" if lost else "")
                              + (f"; the last {late[-1][0].arrived - worker.removed:.2f} s after it, by"
                                 f" {late[-1][1].program.name}" if late else ""))
        for run, exchange in late:
            deployment.record.write("broken", f"DRAIN: {run.attempt} at {worker.name} {run.arrived - worker.removed:.3f} s"
                                    f" after the acknowledgement, through {exchange.program.name}")
        broken += len(late) > 0
    served = sum(exchange.status == 200 for exchange in deployment.exchanges)
    deployment.record.say(f"{served} of {len(deployment.exchanges)} requests served; DRAIN broken in {broken} of {ROUNDS}"
                          " rounds")
    return deployment.judge(broken)


if __name__ == "__main__":
    d.play(sys.modules[__name__])
