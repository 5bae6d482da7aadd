"""HTTP/1.1 over asyncio streams, as far as the stand-ins and clients of the cases need it."""

import asyncio


class Cut(Exception):
    """The connection ended before a message was complete."""


class Message:
    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    """Returns the next head, or None if the connection ended before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        if getattr(error, "partial", b""):
            raise Cut("within a head") from error
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Returns the next chunk, which is empty at the end of the body."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        content = await reader.readexactly(size)
        await reader.readexactly(2)
        return content
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Cut("within a chunk") from error


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding"):
        pieces = []
        while True:
            piece = await read_chunk(reader)
            if not piece:
                return b"".join(pieces)
            pieces.append(piece)
    try:
        return await reader.readexactly(int(head.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Cut("within a body") from error


def chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


def head_bytes(first_line, headers):
    return "".join([first_line, "\r\n"] + [f"{name}: {value}\r\n" for name, value in headers] + ["\r\n"]).encode()


async def serve(ip, handle, port=0):
    """Serves connections, each by a call of `handle` with a reader and a writer, which is closed after it."""

    async def connected(reader, writer):
        try:
            await handle(reader, writer)
        except (Cut, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, ip, port, backlog=1024)
