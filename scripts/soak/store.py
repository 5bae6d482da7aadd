"""Stand-in for the platform's store of rows."""

import asyncio
import base64
import json
import time
import urllib.parse

from soak import http1

UNAVAILABLE = 503
PRECONDITION_FAILED = 412


class Store:
    """Rows in tables, with a feed of changes. Can be made unavailable."""

    def __init__(self):
        self.version = 10
        self.rows = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.available = True
        self.disruptions = []
        self.started = time.monotonic()

    async def listen(self, ip):
        self.server = await http1.serve(ip, self.handle)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, table, key, value):
        """Writes a row and returns the time of the acknowledgement."""
        async with self.changed:
            self.apply(table, key, None if value is None else base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()
        return time.monotonic()

    async def disrupt(self, seconds):
        """Answers all calls with 503 for a time."""
        begin = time.monotonic()
        self.available = False
        async with self.changed:
            self.changed.notify_all()
        await asyncio.sleep(seconds)
        self.available = True
        self.disruptions.append((begin, time.monotonic()))

    def disrupted_since(self, moment):
        return not self.available or any(end >= moment for _, end in self.disruptions)

    def apply(self, table, key, encoded):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row.update({"removed": True} if encoded is None else {"value": encoded})
        self.history.append(row)
        if encoded is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = row

    async def handle(self, reader, writer):
        while True:
            head = await http1.read_head(reader)
            if head is None:
                return
            body = await http1.read_body(reader, head)
            url = urllib.parse.urlsplit(head.first_line.split(" ")[1])
            query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
            status, answer = await self.answer(url.path, query, body)
            answer.update(ver=self.version, nowMs=int((time.monotonic() - self.started) * 1000))
            content = json.dumps(answer).encode()
            headers = [("Store-Era", "1"), ("Content-Type", "application/json"), ("Content-Length", len(content))]
            writer.write(http1.head_bytes(f"HTTP/1.1 {status} X", headers) + content)
            await writer.drain()

    async def answer(self, path, query, body):
        if not self.available:
            return UNAVAILABLE, {}
        if path == "/rows-get":
            found = [row for (table, key), row in sorted(self.rows.items())
                     if table == query["table"] and key >= query.get("from", "")]
            return 200, {"rows": found, "truncated": False}
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("waitMs", "0")) / 1000)
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    async def feed(self, table, after, wait_seconds):
        def changes():
            return [row for row in self.history if row["table"] == table and row["ver"] > after]

        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: changes() or not self.available), max(wait_seconds, 0.001))
            except asyncio.TimeoutError:
                pass
        return (200, {"rows": changes()}) if self.available else (UNAVAILABLE, {})

    async def transact(self, transaction):
        async with self.changed:
            for condition in transaction.get("expectedRevision", []):
                row = self.rows.get((condition["table"], condition["key"]))
                if (row["ver"] if row else 0) != condition["ver"]:
                    return PRECONDITION_FAILED, {"rows": [row] if row else []}
            for write in transaction.get("writes", []):
                self.apply(write["table"], write["key"], write["value"])
            for drop in transaction.get("drop", []):
                self.apply(drop["table"], drop["key"], None)
            self.changed.notify_all()
        return 200, {}
