"""Stand-in targets, and the record of what each of them has run."""

import asyncio
import hashlib
import time

from soak import http1

SERVICE = "svc"
SEAL = "soak"
SERVES_AFTER_LEAVING_SECONDS = 4.0


def fraction(name):
    """Returns a number from 0 to 1 that depends on `name` only."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], "big") / 2 ** 32


def plain_content(attempt, body, size):
    """Returns the content of the response to a plain request."""
    line = f"{attempt} {hashlib.sha256(body).hexdigest()}\n".encode()
    return (line * (size // len(line) + 1))[:max(size, len(line))]


def event(attempt, number):
    return f"id: {number}\ndata: {attempt} piece-{number}\n\n".encode()


class Run:
    """One request at one target, with times of the monotonic clock.

    `ended` is None until its response is written, `cut` unless the entry closed the connection before that.
    """

    def __init__(self, target, path):
        self.target = target
        self.path = path
        self.arrived = time.monotonic()
        self.ended = None
        self.cut = None
        self.refused = False
        self.broken_off = False


class Target:
    """A target whose responses are determined by path, attempt and body. Some refuse or break off at first, as the
    attempt says."""

    def __init__(self, name, ledger, ip):
        self.name = name
        self.ledger = ledger
        self.ip = ip
        self.left = None

    async def listen(self):
        self.server = await http1.serve(self.ip, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    def registration(self, state):
        return {"service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": "zone-a", "version": "v1", "slots": 64,
                "state": state, "coldRemainingMs": 0, "seq": 1, "born": int(time.time() * 1000)}

    async def register(self, store):
        await store.put("servers", self.name, self.registration("ready"))

    async def leave(self, store, announced):
        """Leaves as the platform does: announces it or is removed, serves on for a time, and ends."""
        value = self.registration("draining") if announced else None
        self.left = await store.put("servers", self.name, value)
        await asyncio.sleep(SERVES_AFTER_LEAVING_SECONDS)
        await store.put("servers", self.name, None)
        self.server.close()

    async def handle(self, reader, writer):
        while True:
            head = await http1.read_head(reader)
            if head is None:
                return
            body = await http1.read_body(reader, head)
            path = head.first_line.split(" ")[1]
            attempt = head.get("firwheel-attempt-id")
            run = Run(self, path)
            self.ledger.setdefault(attempt, []).append(run)
            try:
                await self.respond(run, attempt, head, body, writer)
            except ConnectionError:
                run.cut = time.monotonic()
                return
            if run.broken_off:
                return

    async def respond(self, run, attempt, head, body, writer):
        first = len(self.ledger[attempt]) == 1
        common = [("Firwheel-Attempt-Id", attempt), ("Keep-Alive", "timeout=5")]
        if first and fraction("refuses " + attempt) < 0.03:
            run.refused = True
            headers = common + [("Firwheel-Not-Executed", "1"), ("Content-Length", 0)]
            writer.write(http1.head_bytes("HTTP/1.1 503 X", headers))
            await writer.drain()
            return
        _, kind, work_millis, size, *_ = run.path.split("/")
        common.append(("Firwheel-Response-Seal", SEAL))
        if kind in ("stream", "once"):
            breaks_off = first and kind == "stream" and fraction("breaks off " + attempt) < 0.05
            await self.stream(run, attempt, head, common, int(work_millis) / 1000, int(size), breaks_off, writer)
        else:
            await asyncio.sleep(int(work_millis) / 1000)
            content = plain_content(attempt, body, int(size))
            writer.write(http1.head_bytes("HTTP/1.1 200 OK", common + [("Content-Length", len(content))]) + content)
            await writer.drain()
        run.ended = None if run.broken_off else time.monotonic()

    async def stream(self, run, attempt, head, headers, work_seconds, events, breaks_off, writer):
        first = int(head.get("last-event-id", "0")) + 1
        await asyncio.sleep(work_seconds / (events + 1))
        headers = headers + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(http1.head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(first, events + 1):
            content = event(attempt, number)
            if breaks_off and number == events // 2 + 1:
                writer.write(http1.chunk(content[:-4]))
                await writer.drain()
                run.broken_off = True
                return
            writer.write(http1.chunk(content))
            await writer.drain()
            await asyncio.sleep(work_seconds / (events + 1))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
