"""Start and stop the HTTP servers of a process."""

import ssl

from aiohttp import web

from cactuswalk.settings import HttpSettings

__all__ = ["HttpServer"]

# A caller sends its headers in one piece; more than this is no caller of ours.
MAX_HEADER_BYTES = 16_384


class HttpServer:
    """One listening application.

    :param finish_seconds: how long requests in flight may take at a stop.
    """

    def __init__(
        self,
        application: web.Application,
        settings: HttpSettings,
        drain_seconds: float,
    ) -> None:
        self.settings = settings
        # A handler has to learn that its caller has gone.
        self.runner = web.AppRunner(
            application,
            access_log=None,
            # Encoded bodies are refused; unpacking them first would only let a
            # small body grow, or a broken one fill the log.
            auto_decompress=False,
            handler_cancellation=True,
            shutdown_timeout=drain_seconds,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        self.port = 0

    async def start(self) -> None:
        """Listen; ``port`` is the one in use from now on."""
        await self.runner.setup()
        site = web.TCPSite(
            self.runner,
            self.settings.host,
            self.settings.port,
            ssl_context=_tls_context(self.settings),
        )
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Take no more connections, finish what is in flight, and close."""
        await self.runner.cleanup()


def _tls_context(settings: HttpSettings) -> ssl.SSLContext | None:
    if not settings.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
