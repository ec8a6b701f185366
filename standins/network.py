"""TCP proxies in front of each process, with faults that are set at run time.

Each link listens at the address that is announced to other processes and forwards
bytes to the port where the process listens. ``POST /standin/links`` takes the faults
of each link by its name; ``DELETE`` clears the faults of all links.
"""

import asyncio
import contextlib

import click
import msgspec
from aiohttp import web

__all__ = ["Link", "LinkFaults", "Network"]

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class LinkFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of one link.

    :param broken: open connections are aborted and new ones rejected; bytes in
        flight are lost.
    :param stalled: nothing is delivered, but nothing is lost; bytes are delivered
        once the fault is cleared.
    :param late_ms: delay of all bytes; their order is kept.
    """

    broken: bool = False
    stalled: bool = False
    late_ms: int = 0


class Link:
    """A proxy for the connections to one process.

    :param port: where the link listens.
    :param target: the port where the process listens.
    """

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.faults = LinkFaults()
        self.unstalled = asyncio.Event()
        self.unstalled.set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> asyncio.Server:
        """Start to accept connections."""
        return await asyncio.start_server(self._handle_connection, HOST, self.port)

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults; ``broken`` aborts the open connections at once."""
        self.faults = faults
        if faults.stalled:
            self.unstalled.clear()
        else:
            self.unstalled.set()
        if faults.broken:
            for writer in self.writers:
                writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a connection in both directions until either end closes it."""
        if self.faults.broken:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target
            )
        except OSError:
            # The process is not listening: the caller gets an error here as well.
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self.writers |= writers
        forwarding = [
            asyncio.create_task(self._forward(reader, target_writer)),
            asyncio.create_task(self._forward(target_reader, writer)),
        ]
        await asyncio.wait(forwarding, return_when=asyncio.FIRST_COMPLETED)
        for task in forwarding:
            task.cancel()
        for connected in writers:
            connected.transport.abort()
        self.writers -= writers

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        in_flight: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivery = asyncio.create_task(self._deliver(in_flight, writer))
        read_clock = asyncio.get_running_loop().time
        try:
            while data := await reader.read(CHUNK_BYTES):
                in_flight.put_nowait((read_clock() + self.faults.late_ms / 1000, data))
        except ConnectionError:
            pass
        finally:
            delivery.cancel()

    async def _deliver(
        self, in_flight: asyncio.Queue, writer: asyncio.StreamWriter
    ) -> None:
        read_clock = asyncio.get_running_loop().time
        while True:
            due_at, data = await in_flight.get()
            await asyncio.sleep(max(0.0, due_at - read_clock()))
            await self.unstalled.wait()
            writer.write(data)


class Network:
    """All links, and the HTTP interface that sets their faults."""

    def __init__(self, links: dict[str, Link]) -> None:
        self.links = links

    async def serve(self, port: int) -> None:
        """Run the links and the HTTP interface until cancelled."""
        for link in self.links.values():
            await link.start()
        application = web.Application()
        application.router.add_post("/standin/links", self._set_link_faults)
        application.router.add_delete("/standin/links", self._clear_link_faults)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        try:
            await asyncio.Event().wait()
        finally:
            await runner.cleanup()

    async def _set_link_faults(self, request: web.Request) -> web.Response:
        faults_by_link = msgspec.json.decode(
            await request.read(), type=dict[str, LinkFaults]
        )
        for name, faults in faults_by_link.items():
            self.links[name].set_faults(faults)
        return web.json_response({})

    async def _clear_link_faults(self, request: web.Request) -> web.Response:
        for link in self.links.values():
            link.set_faults(LinkFaults())
        return web.json_response({})


async def _run(port: int, links: dict[str, tuple[int, int]]) -> None:
    links_by_name = {name: Link(*ports) for name, ports in links.items()}
    await Network(links_by_name).serve(port)


@click.command()
@click.option("--port", required=True, type=int, help="Port of the HTTP interface.")
@click.option(
    "--link",
    "links",
    multiple=True,
    type=(str, int, int),
    help="Name, listening port and port of the process.",
)
def main(port: int, links: tuple[tuple[str, int, int], ...]) -> None:
    """Run the network stand-in on the loopback."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(
            _run(
                port,
                {
                    name: (listen_port, target_port)
                    for name, listen_port, target_port in links
                },
            )
        )


if __name__ == "__main__":
    main()
