"""Runs the daemon: start-up, serving and graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
import socket

import structlog
from aiohttp import web

from egretloft import __version__
from egretloft._internal.daemon.instance import create_instance, create_routes
from egretloft._internal.settings import Settings

log = structlog.get_logger(__name__)

EXIT_STOPPED = 0
EXIT_USAGE = 2
EXIT_BIND_FAILED = 3
EXIT_DRAIN_TIMED_OUT = 4
LISTEN_BACKLOG = 512
SUPERSEDED_PERIOD_SECONDS = 1.0


async def run_daemon(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        listener = open_listener(settings.http_host, settings.http_port)
        instance = await create_instance(settings, listener.getsockname()[1])
    except OSError as error:
        log.error(
            "address cannot be bound",
            error=str(error),
            http=f"{settings.http_host}:{settings.http_port}",
            peers=f"{settings.peer_host}:{settings.peer_port}",
        )
        return EXIT_BIND_FAILED
    runner = web.AppRunner(create_routes(instance), access_log=None)
    await runner.setup()
    # The drain waits for requests in flight, so connections that are still open at
    # shutdown are idle.
    await web.SockSite(runner, listener, shutdown_timeout=1.0).start()
    log.info(
        "instance started",
        version=__version__,
        http=instance.member.address,
        peers=instance.member.peer_address,
    )
    await instance.refresh_topology()
    await instance.coordination.roster.join()
    refusal = await instance.confirm_time_zone()
    if refusal is not None:
        log.error("setting refused", setting="--account-time-zone", why=refusal.message)
        await runner.cleanup()
        await instance.close()
        return EXIT_USAGE

    async def stop_if_superseded() -> None:
        # A newer process has registered under this instance id. Two processes must not
        # act as the same instance.
        if instance.coordination.roster.superseded:
            stop.set()

    instance.subscribe_timers()
    instance.timers.subscribe(
        "superseded", SUPERSEDED_PERIOD_SECONDS, stop_if_superseded
    )
    instance.timers.start()
    await stop.wait()
    log.info("planned stop begins")
    finished = await instance.drain()
    await runner.cleanup()
    await instance.close()
    log.info("planned stop ends", finished=finished)
    return EXIT_STOPPED if finished else EXIT_DRAIN_TIMED_OUT


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; raises ``OSError`` if the address cannot be bound."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
