"""The instance's process: startup, serving, settings check, graceful shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
import uuid
from pathlib import Path

import structlog
from aiohttp import web
from returns.result import Failure

from egretloft import __version__
from egretloft._internal.fleet.instance import Identity, Instance, create_instance
from egretloft._internal.log_writer import LogWriter
from egretloft._internal.metrics import Metrics, create_metrics
from egretloft._internal.peers.network import PeerNetwork, create_peer_network
from egretloft._internal.peers.protocols import Peers
from egretloft._internal.platform.system_clock import create_system_clock
from egretloft.platform.decoding import create_platform_row_decoder
from egretloft.platform.ingress import create_ingress, create_readiness_handler
from egretloft.platform.rows import create_platform_row_store
from egretloft.platform.settings import PlatformSettings, read_settings
from egretloft.platform.targets import create_platform_targets

log = structlog.get_logger(__name__)

# The load balancer sends new connections until two checks, a second apart, have failed.
MIN_DRAIN_SECONDS = 2.6
# The process ends at the latest this long before the end of the platform's grace time.
GRACE_RESERVE_SECONDS = 1.2
# A handover takes a few store calls; after this time the shutdown does not wait for
# it any longer.
HANDOVER_TIMEOUT_SECONDS = 2.5
KEEPALIVE_SECONDS = 15.0
DRAIN_POLL_SECONDS = 0.05
METRICS_PATH = "/metrics"


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def listen(handler: web.Server, address: str) -> web.ServerRunner:
    """Serve ``handler`` at ``address``; raises ``OSError``."""
    runner = web.ServerRunner(
        handler, keepalive_timeout=KEEPALIVE_SECONDS, shutdown_timeout=0.5
    )
    await runner.setup()
    host, port = parse_address(address)
    await web.TCPSite(runner, host, port, backlog=512).start()
    return runner


def create_platform_instance(
    settings: PlatformSettings, peers: Peers, metrics: Metrics
) -> Instance:
    """Return the instance that the settings describe; needs a running event loop."""
    incarnation = uuid.uuid4().hex
    identity = Identity(
        settings.instance_id,
        incarnation,
        f"{settings.ip}:{settings.first_peer_port}",
        settings.zone,
        settings.region,
        settings.processors,
    )
    return create_instance(
        identity,
        create_platform_row_store(settings.store_address),
        create_platform_targets(settings.max_lease_seconds),
        create_platform_row_decoder(),
        peers,
        create_system_clock(),
        metrics,
        random.Random(),
    )


def create_platform_peers(settings: PlatformSettings, metrics: Metrics) -> PeerNetwork:
    """Return the network for connections to the other instances."""
    return create_peer_network(
        settings.instance_id,
        settings.ip,
        settings.first_peer_port,
        create_system_clock(),
        metrics,
        random.Random(),
    )


async def run_program(
    path: Path, settings: PlatformSettings, metrics_port: int, logs: LogWriter
) -> int:
    """Serve until SIGTERM or SIGINT, shut down gracefully, and return the exit code."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, path, settings)
    logs.start()
    metrics = create_metrics()
    peers = create_platform_peers(settings, metrics)
    instance = create_platform_instance(settings, peers, metrics)
    ingress = create_ingress(instance, settings.in_force_seconds)
    readiness = create_readiness_handler(instance.is_ready)

    async def check(request: web.BaseRequest) -> web.StreamResponse:
        return readiness(request)

    async def serve_metrics(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(text=metrics.render_text())

    metrics_address = f"{settings.ip}:{metrics_port}"
    runners = [
        await listen(web.Server(ingress.handle), settings.http_address),
        await listen(web.Server(check), settings.readiness_address),
        await listen(web.Server(serve_metrics), metrics_address),
    ]
    await peers.start()
    await instance.start()
    log.info("instance started", version=__version__, http=settings.http_address)
    await stop.wait()
    log.info("planned stop begins", in_flight=ingress.in_flight)
    started = loop.time()
    try:
        async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
            await instance.begin_shutdown()
    except TimeoutError:
        # Another instance takes over when heartbeats stop, so the shutdown continues.
        log.error(
            "handover timed out, shutdown continues", seconds=HANDOVER_TIMEOUT_SECONDS
        )
    latest = started + settings.grace_seconds - GRACE_RESERVE_SECONDS
    while loop.time() < latest:
        if loop.time() - started >= MIN_DRAIN_SECONDS and not ingress.in_flight:
            break
        await asyncio.sleep(DRAIN_POLL_SECONDS)
    for runner in runners:
        await runner.cleanup()
    await instance.stop()
    await peers.stop()
    log.info("planned stop ends", in_flight=ingress.in_flight)
    logs.flush()
    return 0


def reload_settings(path: Path, settings: PlatformSettings) -> None:
    """Check the settings file again; changes take effect only after a restart."""
    result = read_settings(path)
    if isinstance(result, Failure):
        log.error("settings refused", why=result.failure())
    else:
        log.info("settings reloaded", changed=result.unwrap() != settings)
