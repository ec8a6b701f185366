"""A stand-in of the network before each process, with switches for its faults.

Each link listens at the address that other processes are told and passes bytes on
to where the process listens. ``POST /standin/links`` takes, by name of a link, how
it is from now on; ``DELETE`` makes all links right again.
"""

import asyncio
import contextlib

import click
import msgspec
from aiohttp import web

__all__ = ["Conduct", "Link", "Network"]

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class Conduct(msgspec.Struct, forbid_unknown_fields=True):
    """How a link is at the moment.

    :param broken: connections are closed and none is made; what was under way
        is lost.
    :param stalled: nothing passes and nothing is lost; it arrives once the link
        is right again.
    :param late_ms: everything arrives so much later, in order.
    """

    broken: bool = False
    stalled: bool = False
    late_ms: int = 0


class Link:
    """What passes towards one process.

    :param port: where it listens for others.
    :param target: the port of the process itself.
    """

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.conduct = Conduct()
        self.open = asyncio.Event()
        self.open.set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> asyncio.Server:
        """Listen."""
        return await asyncio.start_server(self._connected, HOST, self.port)

    def behave(self, conduct: Conduct) -> None:
        """Be like this from now on."""
        self.conduct = conduct
        if conduct.stalled:
            self.open.clear()
        else:
            self.open.set()
        if conduct.broken:
            for writer in self.writers:
                writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on what one connection brings, until either end closes it."""
        if self.conduct.broken:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            # The process is not there: the caller is to see it as without us.
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self.writers |= both
        passing = [
            asyncio.create_task(self._pass(reader, far_writer)),
            asyncio.create_task(self._pass(far_reader, writer)),
        ]
        await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        for task in passing:
            task.cancel()
        for one in both:
            one.transport.abort()
        self.writers -= both

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        under_way: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivering = asyncio.create_task(self._deliver(under_way, writer))
        clock = asyncio.get_running_loop().time
        try:
            while data := await reader.read(CHUNK_BYTES):
                under_way.put_nowait((clock() + self.conduct.late_ms / 1000, data))
        except ConnectionError:
            pass
        finally:
            delivering.cancel()

    async def _deliver(
        self, under_way: asyncio.Queue, writer: asyncio.StreamWriter
    ) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            due, data = await under_way.get()
            await asyncio.sleep(max(0.0, due - clock()))
            await self.open.wait()
            writer.write(data)


class Network:
    """All links, and their switches over HTTP."""

    def __init__(self, links: dict[str, Link]) -> None:
        self.links = links

    async def serve(self, port: int) -> None:
        """Serve until the process is ended."""
        for link in self.links.values():
            await link.start()
        application = web.Application()
        application.router.add_post("/standin/links", self._set)
        application.router.add_delete("/standin/links", self._clear)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        try:
            await asyncio.Event().wait()
        finally:
            await runner.cleanup()

    async def _set(self, request: web.Request) -> web.Response:
        wanted = msgspec.json.decode(await request.read(), type=dict[str, Conduct])
        for name, conduct in wanted.items():
            self.links[name].behave(conduct)
        return web.json_response({})

    async def _clear(self, request: web.Request) -> web.Response:
        for link in self.links.values():
            link.behave(Conduct())
        return web.json_response({})


async def _run(port: int, links: dict[str, tuple[int, int]]) -> None:
    made = {name: Link(*ports) for name, ports in links.items()}
    await Network(made).serve(port)


@click.command()
@click.option("--port", required=True, type=int, help="Of the switches.")
@click.option(
    "--link",
    "links",
    multiple=True,
    type=(str, int, int),
    help="Its name, where it listens, and the port of the process.",
)
def main(port: int, links: tuple[tuple[str, int, int], ...]) -> None:
    """Run the network stand-in on the loopback."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(port, {name: (near, far) for name, near, far in links}))


if __name__ == "__main__":
    main()
