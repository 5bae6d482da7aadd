"""The entry that reads the store is cut off from it for a second: all others go on sending to a worker that has left."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "harness-2"))

import deployment as d  # noqa: E402

ROUNDS = 9
CUT_SECONDS = 1.05  # the site's own days cut single machines off from the store for up to 5.5 s
LEAVES_AFTER_SECONDS = 0.1  # after the cut has begun
SERVES_ON_SECONDS = 5.0  # after its entry is gone: "drainMs ... and a little longer (at times many seconds)"
REQUESTS_PER_SECOND = 50  # through each entry
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
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def reader_of(deployment):
    """Returns the entry that polls the store for changes to the list of workers."""
    while True:
        reading = [program for program in deployment.programs if deployment.store.polls(program.ip, "servers")]
        if len(reading) == 1:
            return reading[0]
        await asyncio.sleep(0.1)


async def begin_of_poll(deployment, program, table):
    """Waits until an entry begins a poll for changes to a table, so that it has just had an answer."""
    since = time.monotonic()
    while not [moment for moment in deployment.store.polls(program.ip, table) if moment > since]:
        if time.monotonic() > since + 3:
            return
        await asyncio.sleep(0.002)


async def play_round(deployment, number, trouble):
    worker = d.Worker(f"i-leaves-{number}", deployment, work_seconds=WORK_SECONDS)
    await worker.listen()
    await worker.register()
    await asyncio.sleep(2)
    reader = await reader_of(deployment)
    await begin_of_poll(deployment, reader, "op")
    await asyncio.sleep(0.02)
    if trouble:
        deployment.record.write("link", f"{reader.name} is cut off from the store; connections are refused")
        deployment.store.links[reader.ip].cut()
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    await worker.unregister()
    await asyncio.sleep(CUT_SECONDS - LEAVES_AFTER_SECONDS)
    if trouble:
        await deployment.store.links[reader.ip].heal()
        reader.disturbed = time.monotonic()
        deployment.record.write("link", f"{reader.name} reaches the store again")
    await asyncio.sleep(SERVES_ON_SECONDS)
    worker.end()
    return worker


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
    await asyncio.sleep(5)
    broken = 0
    for number in range(ROUNDS):
        worker = await play_round(deployment, number, trouble)
        late = late_requests(deployment, worker)
        entries = sorted({exchange.program.name for _, exchange in late})
        deployment.record.say(f"round {number}: {len(late)} requests reached {worker.name} over {d.BOUNDS['drainMs']} ms"
                              f" after the store had dropped its entry, sent by entries in touch"
                              + (f"; the last {late[-1][0].arrived - worker.removed:.2f} s after it, by"
                                 f" {', '.join(entries)}" if late else ""))
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
