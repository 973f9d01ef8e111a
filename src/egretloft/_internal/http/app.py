"""The daemon's HTTP application: body limit, error responses and health checks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from egretloft._internal.border.requests import MAX_BODY_BYTES
from egretloft._internal.http.responses import refusal_response
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import Reason, not_run, outcome_unknown

log = structlog.get_logger(__name__)


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def create_app(metrics: Metrics, is_ready: Callable[[], bool]) -> web.Application:
    """Return an application that has only the health checks."""

    @web.middleware
    async def handle_errors(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            return refusal_response(
                not_run(
                    Reason.TOO_LARGE, f"the body is larger than {MAX_BODY_BYTES} bytes"
                ),
                metrics,
            )
        except web.HTTPException as error:
            if error.status < 400:
                raise
            # aiohttp raises this for an unknown path or method, so no handler ran.
            metrics.count("refusals", reason="http")
            return web.json_response(
                {
                    "outcome": "not_run",
                    "reason": "http",
                    "message": f"{request.method} {request.path}: {error.reason}",
                    "hint": "check the method and the path",
                },
                status=error.status,
            )
        except Exception:
            # A bug in a handler: the request may have taken effect, so the outcome is
            # unknown. The traceback goes only to the log.
            metrics.count("handler_errors")
            log.exception("HTTP request handler failed", path=request.path)
            return refusal_response(
                outcome_unknown(Reason.FAILED, "internal error"), metrics
            )

    async def health(request: web.Request) -> web.Response:
        return web.json_response({"status": "alive"})

    async def ready(request: web.Request) -> web.Response:
        ready_now = is_ready()
        return web.json_response(
            {"status": "ready" if ready_now else "not_ready"},
            status=200 if ready_now else 503,
        )

    app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[handle_errors])
    app.add_routes([web.get("/healthz", health), web.get("/readyz", ready)])
    return app
