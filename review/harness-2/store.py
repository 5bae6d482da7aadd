"""Stand-in for the platform's store, as PROTOCOL.md describes its rows: tables, transactions, reads and a feed."""

import asyncio
import base64
import json
import time
import urllib.parse

import http1

ANSWER_SECONDS = 0.004


class Link:
    """The way of one caller to the store, which can be cut so that connections are refused."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def listen(self, ip, port=0):
        async def connected(reader, writer):
            self.writers.add(writer)
            try:
                await self.handle(reader, writer)
            finally:
                self.writers.discard(writer)

        self.server = await http1.serve(ip, connected, port)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]
        return f"{self.ip}:{self.port}"

    def cut(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def heal(self):
        await self.listen(self.ip, self.port)


class Store:
    """Rows in tables. Each entry or agent has a port of its own, so that it is known who calls."""

    def __init__(self, record):
        self.record = record
        self.version = 100
        self.rows = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.pending = {}  # caller -> {call number: (table, time at which the poll began)}
        self.era = 1
        self.oldest = 0
        self.calls = 0
        self.links = {}
        self.called = {}  # caller -> times of its calls
        self.delay = lambda caller, path, query, answer: 0.0  # how much later an answer reaches its caller

    async def listen(self, ip, caller):
        async def handle(reader, writer):
            await self.handle(caller, reader, writer)

        self.links[caller] = link = Link(handle)
        return await link.listen(ip)

    async def put(self, table, key, value):
        """Writes a row, or drops it if `value` is None; returns the time of the acknowledgement."""
        async with self.changed:
            self.apply(table, key, None if value is None else base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()
        acknowledged = time.monotonic()
        self.record.write("store", f"{table}/{key} ver {self.version} " + ("dropped" if value is None else json.dumps(value)[:400]))
        return acknowledged

    def apply(self, table, key, encoded):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row.update({"removed": True} if encoded is None else {"value": encoded})
        self.history.append(row)
        if encoded is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = row

    def polls(self, caller, table):
        """Returns the times at which the pending polls of a caller for changes to a table began."""
        return [began for polled, began in self.pending.get(caller, {}).values() if polled == table]

    async def handle(self, caller, reader, writer):
        while True:
            head = await http1.read_head(reader)
            if head is None:
                return
            body = await http1.read_body(reader, head)
            self.called.setdefault(caller, []).append(time.monotonic())
            url = urllib.parse.urlsplit(head.first_line.split(" ")[1])
            query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
            status, answer = await self.answer(caller, url.path, query, body)
            answer.update(ver=self.version, nowMs=int((time.monotonic() - self.started) * 1000))
            content = json.dumps(answer).encode()
            await asyncio.sleep(ANSWER_SECONDS + self.delay(caller, url.path, query, answer))
            headers = [("Store-Era", self.era), ("Content-Type", "application/json"), ("Content-Length", len(content))]
            writer.write(http1.head_bytes(f"HTTP/1.1 {status} X", headers) + content)
            await writer.drain()

    async def answer(self, caller, path, query, body):
        if path == "/rows-get":
            found = [row for (table, key), row in sorted(self.rows.items())
                     if table == query["table"] and key >= query.get("from", "")]
            return 200, {"rows": found[:500], "truncated": len(found) > 500}
        if path == "/rows-feed":
            return await self.feed(caller, query["table"], int(query["after"]), int(query.get("waitMs", "0")) / 1000)
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    async def feed(self, caller, table, after, wait_seconds):
        """Answers with the newest state of each row that has changed since, as soon as there is one."""
        if after > self.version or after < self.oldest:
            return 410, {}

        def changes():
            newest = {row["key"]: row for row in self.history if row["table"] == table and row["ver"] > after}
            return sorted(newest.values(), key=lambda row: row["ver"])

        self.calls += 1
        call = self.calls
        self.pending.setdefault(caller, {})[call] = (table, time.monotonic())
        try:
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(changes), max(wait_seconds, 0.001))
        except asyncio.TimeoutError:
            pass
        finally:
            del self.pending[caller][call]
        return 200, {"rows": changes()}

    async def transact(self, transaction):
        async with self.changed:
            for condition in transaction.get("expectedRevision", []):
                row = self.rows.get((condition["table"], condition["key"]))
                if (row["ver"] if row else 0) != condition["ver"]:
                    return 412, {"rows": [row] if row else []}
            for write in transaction.get("writes", []):
                if write["table"] in ("op", "servers"):
                    return 403, {}
                self.apply(write["table"], write["key"], write["value"])
            for drop in transaction.get("drop", []):
                self.apply(drop["table"], drop["key"], None)
            self.changed.notify_all()
        return 200, {}
