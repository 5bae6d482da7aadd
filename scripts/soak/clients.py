"""Clients that use open connections until these are closed, and the record of each exchange."""

import asyncio
import time

from soak import http1
from soak.processes import CALLERS_PORT

DEADLINE_SECONDS = 6.0
KEY = "key-1"
REQUESTS_PER_CONNECTION = 40
RECONNECT_SECONDS = 0.05


class Exchange:
    """One request with what its client saw of the response. Times are of the monotonic clock.

    `first` says whether it was the first on its connection, `sent` is None until its last byte was sent.
    """

    def __init__(self, attempt, kind, path, body):
        self.attempt = attempt
        self.kind = kind
        self.path = path
        self.body = body
        self.first = False
        self.entry = None
        self.life = None
        self.begun = None
        self.sent = None
        self.ended = None
        self.status = 0
        self.seal = ""
        self.content = b""
        self.complete = False
        self.timed_out = False

    def __str__(self):
        times = " ".join(f"{name} +{moment - self.begun:.3f}" for name, moment in
                         [("sent", self.sent), ("ended", self.ended)] if moment is not None)
        signals = " ".join(f"{name} {moment - self.begun:+.3f}" for name, moment in self.life.signals)
        return (f"{self.attempt} {self.path} body {len(self.body)} at {self.entry.name} life {self.life.number}: "
                f"status {self.status}, {len(self.content)} bytes, {'complete' if self.complete else 'incomplete'}, "
                f"{times}; signals {signals or 'none'}")


class Client:
    """Sends requests one after the other on one connection, and opens another one when it is closed."""

    def __init__(self, name, random, entries, record, think_seconds):
        self.name = name
        self.random = random
        self.entries = entries
        self.record = record
        self.think_seconds = think_seconds
        self.count = 0

    async def run(self, until):
        while time.monotonic() < until:
            in_rotation = [entry for entry in self.entries if entry.in_rotation] or self.entries
            entry = self.random.choice(in_rotation)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(entry.ip, CALLERS_PORT, limit=http1.MAX_HEAD_BYTES), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                await self.use(entry, reader, writer, until)
            finally:
                writer.close()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def use(self, entry, reader, writer, until):
        life = entry.life
        for i in range(self.random.randint(1, REQUESTS_PER_CONNECTION)):
            exchange = self.next_exchange()
            exchange.first = i == 0
            exchange.entry, exchange.life, exchange.begun = entry, life, time.monotonic()
            self.record.append(exchange)
            reusable = await self.exchange(exchange, reader, writer)
            exchange.ended = time.monotonic()
            if not reusable or time.monotonic() > until:
                return
            await asyncio.sleep(self.random.expovariate(1 / self.think_seconds))
            if reader.at_eof():
                return

    def next_exchange(self):
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        kind = self.random.choice(["safe", "unsafe", "stream", "stream", "once", "extra"])
        work_millis = self.random.choice([0, 0, 20, 100, 400, 1000, 2500])
        if kind in ("stream", "once"):
            size = self.random.randint(1, 12)
        else:
            size = self.random.choice([100, 2_000, 60_000, 800_000 if self.random.random() < 0.1 else 500])
        body = b"" if self.random.random() < 0.3 else self.random.randbytes(
            self.random.choice([10, 3_000, 200_000 if self.random.random() < 0.1 else 50]))
        return Exchange(attempt, kind, f"/{kind}/{work_millis}/{size}", body)

    async def exchange(self, exchange, reader, writer):
        """Sends a request and reads its response; returns whether the connection can be used again."""
        try:
            return await asyncio.wait_for(self.converse(exchange, reader, writer), DEADLINE_SECONDS + 0.5)
        except asyncio.TimeoutError:
            exchange.timed_out = True
        except (http1.Cut, ConnectionError):
            pass
        return False

    async def converse(self, exchange, reader, writer):
        sending = asyncio.ensure_future(self.send(exchange, writer))
        try:
            head = await http1.read_head(reader)
            if head is None:
                return False
            exchange.status = int(head.first_line.split(" ")[1])
            exchange.seal = head.get("firwheel-response-seal")
            pause_seconds = self.random.choice([0, 0, 0, 0.05])
            exchange.content = await self.read_content(exchange, reader, head, pause_seconds)
            exchange.complete = True
            return sending.done() and head.get("connection").lower() != "close"
        finally:
            sending.cancel()

    async def read_content(self, exchange, reader, head, pause_seconds):
        if not head.chunked:
            return await http1.read_body(reader, head, pause_seconds)
        while True:
            piece = await http1.read_chunk(reader)
            if not piece:
                return exchange.content
            exchange.content += piece

    async def send(self, exchange, writer):
        headers = [("Host", "h.example"), ("Firwheel-Attempt-Id", exchange.attempt),
                   ("Firwheel-Deadline-Ms", int(DEADLINE_SECONDS * 1000)), ("Authorization", f"Token {KEY}")]
        pieces = self.split(exchange.body)
        chunked = bool(exchange.body) and self.random.random() < 0.5
        headers.append(("Transfer-Encoding", "chunked") if chunked else ("Content-Length", len(exchange.body)))
        pause_seconds = self.random.choice([0, 0, 0, 0.02, 0.2])
        try:
            writer.write(http1.head_bytes(f"POST {exchange.path} HTTP/1.1", headers))
            for piece in pieces:
                await asyncio.sleep(pause_seconds)
                writer.write(http1.chunk(piece) if chunked else piece)
                await writer.drain()
            if chunked:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            exchange.sent = time.monotonic()
        except ConnectionError:
            pass  # what the reader sees decides

    def split(self, body):
        if not body:
            return []
        count = self.random.randint(1, 4)
        size = len(body) // count + 1
        return [body[i:i + size] for i in range(0, len(body), size)]
