"""HTTP server of one application."""

import ssl

from aiohttp import web

from cactuswalk.settings import HttpSettings

__all__ = ["HttpServer"]

# Legitimate callers send less; larger headers are rejected.
MAX_HEADER_BYTES = 16_384


class HttpServer:
    """Serves one application on one port.

    :param drain_seconds: maximum time for requests in flight to finish at a stop.
    """

    def __init__(
        self,
        application: web.Application,
        settings: HttpSettings,
        drain_seconds: float,
    ) -> None:
        self.settings = settings
        # handler_cancellation lets a handler detect that its caller disconnected.
        self.runner = web.AppRunner(
            application,
            access_log=None,
            # Encoded bodies are rejected; decompressing them first would only let a
            # small body grow, or a corrupt one fill the log.
            auto_decompress=False,
            handler_cancellation=True,
            shutdown_timeout=drain_seconds,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        self.port = 0

    async def start(self) -> None:
        """Start listening and set ``port`` to the port in use."""
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
        """Stop accepting connections, finish requests in flight, and close."""
        await self.runner.cleanup()


def _tls_context(settings: HttpSettings) -> ssl.SSLContext | None:
    if not settings.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
