"""The store returns from an older copy that has a worker which has left: entries take the worker back at once."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "harness-2"))

import deployment as d  # noqa: E402

ROUNDS = 5
AWAY_SECONDS = 0.5  # "away for a moment"
COPY_AGE_SECONDS = 2.0  # "a copy some seconds old"
HEARTBEAT_SECONDS = 1.2
REQUESTS_PER_SECOND = 30
WORK_SECONDS = 0.1
CONTACT = d.BOUNDS["contactMs"] / 1000


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


async def return_from_copy(store, rows, history, version):
    """Takes the store away for a moment, and back with what it had in an older copy."""
    for link in store.links.values():
        link.cut()
    store.rows, store.history, store.version = rows, history, version
    store.era += 1
    await asyncio.sleep(AWAY_SECONDS)
    for link in store.links.values():
        await link.heal()


async def play_round(deployment, number, trouble):
    store = deployment.store
    worker = d.Worker(f"i-leaves-{number}", deployment, work_seconds=WORK_SECONDS)
    await worker.listen()
    await worker.register()
    await asyncio.sleep(3)
    kept = (dict(store.rows), list(store.history), store.version)
    await asyncio.sleep(0.2)
    await worker.unregister()
    await asyncio.sleep(COPY_AGE_SECONDS - 0.2)
    if trouble:
        await return_from_copy(store, *kept)
        deployment.record.say(f"the store is back from a copy {COPY_AGE_SECONDS} s old, in era {store.era}")
    back = time.monotonic()
    await asyncio.sleep(0.3)
    for other in deployment.workers:  # what the operator and the workers wrote is written again
        await other.register()
    if trouble:
        deployment.version -= 1
    await deployment.configure()
    await asyncio.sleep(back + 3 * HEARTBEAT_SECONDS - time.monotonic())
    if trouble:  # three heartbeat intervals of silence
        await store.put("servers", worker.name, None)
    await asyncio.sleep(1)
    worker.end()
    return worker, back


def late_requests(deployment, worker, back):
    """Requests that break DRAIN: at the worker later than drainMs after its removal, and sent in touch."""
    sent = {exchange.attempt: exchange for exchange in deployment.exchanges}
    late = []
    for run in deployment.runs:
        exchange = sent.get(run.attempt)
        if run.worker is worker and exchange is not None and run.executed:
            if run.arrived > worker.removed + d.BOUNDS["drainMs"] / 1000 and exchange.sent > back + CONTACT:
                late.append((run, exchange))
    return late


async def run(deployment, trouble):
    await deployment.configure()
    for i in range(3):
        worker = d.Worker(f"i-{i}", deployment, work_seconds=WORK_SECONDS)
        await worker.listen()
        await worker.register()
        deployment.workers.append(worker)
    await deployment.start_entries()
    for program in deployment.programs:
        deployment.spawn(send_all(deployment, program))
    await asyncio.sleep(4)
    broken = 0
    for number in range(ROUNDS):
        worker, back = await play_round(deployment, number, trouble)
        late = late_requests(deployment, worker, back)
        entries = sorted({exchange.program.name for _, exchange in late})
        deployment.record.say(f"round {number}: {len(late)} requests reached {worker.name} over {d.BOUNDS['drainMs']} ms"
                              f" after the store had dropped its entry, sent over contactMs after the store was back"
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
