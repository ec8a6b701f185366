"""A worker's address that answers with set bytes, and records its connections."""

import asyncio
import socket
import struct

import msgspec

from cactuswalk.platform.worker import START_PATH

__all__ = ["BODY", "RESPONSES", "PlainWorker"]

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b'{"clock_ms": 7}'
SIZED = OK + b"Content-Length: 15\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKED_BODY = b"8\r\n" + BODY[:8] + b"\r\n7\r\n" + BODY[8:] + b"\r\n0\r\n\r\n"
HUGE = 1 << 21
# Closing a socket with this option resets its connection.
LINGER = socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)

# By name, the parts of a response, and what becomes of the connection after them.
RESPONSES = {
    "nothing, and closes": ([], "close"),
    "half a head, and closes": ([OK + b"Content-Le"], "close"),
    "half a body, and closes": ([SIZED + b"\r\n" + BODY[:8]], "close"),
    "half a chunked body, and closes": ([CHUNKED + CHUNKED_BODY[:8]], "close"),
    "half a body, and resets": ([OK + b"\r\n" + BODY[:8]], "reset"),
    "garbage": ([b"\x00\x01garbage\r\n\r\n"], ""),
    "a garbled chunk": ([CHUNKED + b"zz\r\n"], ""),
    "a body that is too large": (
        [OK + b"Content-Length: %d\r\n\r\n" % HUGE, b" " * HUGE],
        "",
    ),
    "a chunked body without an end": ([CHUNKED, *[b"4\r\n    \r\n"] * (HUGE // 4)], ""),
    "a head that is too large": ([OK + b"X: " + b"x" * 20_000], ""),
    "a switch of protocols": (
        [b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"],
        "",
    ),
    "two responses at once": ([(SIZED + b"\r\n" + BODY) * 2], ""),
    "a body": ([SIZED + b"\r\n" + BODY], ""),
    "a body in pieces": ([SIZED, b"\r\n", BODY[:3], BODY[3:]], ""),
    "a chunked body": ([CHUNKED + CHUNKED_BODY[:9], CHUNKED_BODY[9:]], ""),
    "an interim response and a body": (
        [b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" + SIZED + b"\r\n" + BODY],
        "",
    ),
    "a body of another type of encoding": (
        [SIZED + b"Content-Encoding: gzip\r\n\r\n" + BODY],
        "",
    ),
    "a body that the connection ends": ([OK + b"\r\n" + BODY[:9], BODY[9:]], "close"),
    "a body and Connection: close": ([SIZED + b"Connection: close\r\n\r\n" + BODY], ""),
    "a body of HTTP/1.0": (
        [b"HTTP/1.0 200 OK\r\nContent-Length: 15\r\n\r\n" + BODY],
        "",
    ),
}


class PlainWorker:
    """A server that records calls and answers them as it is told.

    Each answer's clock is the number of its call, by which it is known.

    :ivar calls: number of the connection and path of each call; ``heads`` are those of
        the calls, and ``bodies`` their bodies.
    :ivar open: numbers of the connections that are open.
    :ivar called: set once a call has come.
    """

    def __init__(self):
        self.calls = []
        self.heads = []
        self.bodies = []
        self.connections = 0
        self.open = set()
        self.called = asyncio.Event()
        self.writers = []
        self.answer = self.answer_at_once

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await self.settle()

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        self.open.add(number)
        self.writers.append(writer)
        try:
            while True:
                await self.serve_call(number, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            self.open.discard(number)
            writer.transport.abort()

    async def serve_call(self, connection, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        size = head.lower().partition("content-length:")[2].partition("\r\n")[0]
        self.bodies.append(await reader.readexactly(int(size)))
        self.heads.append(head)
        self.calls.append((connection, head.split()[1]))
        self.called.set()
        await self.answer(len(self.calls), writer)

    async def answer_at_once(self, number, writer):
        body = msgspec.json.encode({"clock_ms": number})
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    async def answer_json(self, number, writer, status, body):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def answer_late(self, number, writer, seconds):
        if number == 1:
            await asyncio.sleep(seconds)
        await self.answer_at_once(number, writer)

    async def answer_each_late(self, number, writer, seconds):
        await asyncio.sleep(seconds)
        await self.answer_at_once(number, writer)

    async def answer_twice(self, number, writer, seconds):
        await self.answer_at_once(number, writer)
        if number == 1:
            await asyncio.sleep(seconds)
            await self.answer_at_once(number, writer)

    async def answer_and_close(self, number, writer, seconds):
        await self.answer_at_once(number, writer)
        await asyncio.sleep(seconds)
        writer.close()

    async def answer_no_starts(self, number, writer):
        if self.calls[number - 1][1] != START_PATH:
            await self.answer_at_once(number, writer)

    async def answer_with(self, number, writer, parts, end):
        for part in parts:
            writer.write(part)
            if len(parts) < 10:
                await writer.drain()
                await asyncio.sleep(0.01)
        if end == "close":
            writer.close()
        if end == "reset":
            writer.transport.get_extra_info("socket").setsockopt(*LINGER)
            writer.transport.abort()

    async def settle(self):
        """Wait until it has noticed which connections are closed."""
        await asyncio.sleep(0.1)
