"""HTTP/1.1 over asyncio streams, as far as the stand-ins and clients of a run need it."""

import asyncio

CRLF = b"\r\n"
HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024


class Cut(Exception):
    """The connection ended before a message was complete."""


class Message:
    """Head of a message: its first line and its headers, with names in lower case."""

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name, default)

    @property
    def chunked(self):
        return "chunked" in self.get("transfer-encoding")


async def read_head(reader):
    """Returns the next head, or None if the connection ended before its first byte."""
    try:
        raw = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        if getattr(error, "partial", b""):
            raise Cut("within a head") from error
        return None
    lines = raw[:-len(HEAD_END)].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Returns the next chunk, which is empty at the end of the body."""
    try:
        size = int((await reader.readuntil(CRLF)).split(b";")[0], 16)
        content = await reader.readexactly(size)
        if size == 0:
            while await reader.readuntil(CRLF) != CRLF:
                pass
        else:
            await reader.readexactly(len(CRLF))
        return content
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Cut("within a chunk") from error


async def read_body(reader, head, pause_seconds=0.0):
    """Returns the body of a message, read with a pause after each piece."""
    if head.chunked:
        pieces = []
        while True:
            piece = await read_chunk(reader)
            if not piece:
                return b"".join(pieces)
            pieces.append(piece)
            await asyncio.sleep(pause_seconds)
    left = int(head.get("content-length", "0"))
    pieces = []
    while left > 0:
        try:
            piece = await reader.read(min(left, 64 * 1024))
        except ConnectionError as error:
            raise Cut("within a body") from error
        if not piece:
            raise Cut("within a body")
        pieces.append(piece)
        left -= len(piece)
        if pause_seconds:
            await asyncio.sleep(pause_seconds)
    return b"".join(pieces)


def chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


def head_bytes(first_line, headers):
    return "".join([first_line, "\r\n"] + [f"{name}: {value}\r\n" for name, value in headers] + ["\r\n"]).encode()


async def serve(ip, handle, port=0):
    """Serves connections, each by a call of `handle` with a reader and a writer, which is closed after it."""

    async def connected(reader, writer):
        try:
            await handle(reader, writer)
        except (Cut, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, ip, port, limit=MAX_HEAD_BYTES, backlog=1024)
