"""Handlers of ``/v1/accounts``, which answer with the account as plain text."""

from __future__ import annotations

from aiohttp import web
from returns.result import Failure, Result, Success

from egretloft._internal.accounts.service import AccountService
from egretloft._internal.http.responses import refusal_response
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import Refusal


class AccountHandlers:
    """Handlers that call the account service of this instance."""

    def __init__(self, service: AccountService, metrics: Metrics) -> None:
        self.service = service
        self.metrics = metrics

    async def get(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/accounts/{month}``."""
        return self._account_response(
            await self.service.render(request.match_info["month"])
        )

    async def close(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/accounts/{month}/close`` with the stored account."""
        return self._account_response(
            await self.service.close(request.match_info["month"])
        )

    def _account_response(self, result: Result[str, Refusal]) -> web.Response:
        match result:
            case Success(text):
                return web.Response(text=text, content_type="text/plain")
            case Failure(refusal):
                return refusal_response(refusal, self.metrics)
        raise AssertionError("a result is a success or a failure")


def add_routes(app: web.Application, service: AccountService, metrics: Metrics) -> None:
    """Add the routes of ``/v1/accounts`` to ``app``."""
    handlers = AccountHandlers(service, metrics)
    app.router.add_get("/v1/accounts/{month}", handlers.get)
    app.router.add_post("/v1/accounts/{month}/close", handlers.close)
