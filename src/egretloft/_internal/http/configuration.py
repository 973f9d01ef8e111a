"""Handlers of ``/v1/profiles`` and ``/v1/zones``, used by operators."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web
from returns.result import Failure, Result

from egretloft._internal.border.configuration import (
    decode_name,
    decode_profile,
    decode_version,
    decode_zone_change,
)
from egretloft._internal.coordination.configuration import Configuration
from egretloft._internal.coordination.view import View
from egretloft._internal.http.bodies import read_body
from egretloft._internal.http.responses import refusal_response
from egretloft._internal.models.outcomes import Reason, Refusal, not_run


class ConfigurationHandlers:
    """Handlers that read this instance's view and change the configuration."""

    def __init__(self, configuration: Configuration, view: View) -> None:
        self.configuration = configuration
        self.view = view

    async def list_profiles(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/profiles``."""
        profiles = [self.view.profiles[name] for name in sorted(self.view.profiles)]
        return self._view_response(profiles=msgspec.to_builtins(profiles))

    async def get_profile(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/profiles/{name}``."""
        name = request.match_info["name"]
        profile = self.view.profiles.get(name)
        if profile is None:
            return self._refuse(
                not_run(
                    Reason.UNKNOWN_PROFILE,
                    f"there is no profile {name!r}",
                    "list the profiles to see their names",
                )
            )
        return self._view_response(profile=msgspec.to_builtins(profile))

    async def put_profile(self, request: web.Request) -> web.Response:
        """Answer ``PUT /v1/profiles/{name}``."""
        body = await read_body(request)
        decoded = body.bind(
            lambda data: decode_profile(request.match_info["name"], data)
        )
        if isinstance(decoded, Failure):
            return self._refuse(decoded.failure())
        profile, expected_version = decoded.unwrap()
        return self._change_response(
            await self.configuration.put_profile(profile, expected_version)
        )

    async def delete_profile(self, request: web.Request) -> web.Response:
        """Answer ``DELETE /v1/profiles/{name}?expected_version=``."""
        field = "expected_version"
        version = decode_version(field, request.query.get(field))
        name = decode_name("name", request.match_info["name"])
        for decoded in (version, name):
            if isinstance(decoded, Failure):
                return self._refuse(decoded.failure())
        return self._change_response(
            await self.configuration.retire_profile(name.unwrap(), version.unwrap())
        )

    async def list_zones(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/zones``.

        A zone that was never taken out has no state and is in service.
        """
        names = {*self.configuration.known_zones(), *self.view.zones}
        zones = [
            {"zone": zone, "in_service": self.view.zone_in_service(zone)}
            for zone in sorted(names)
        ]
        return self._view_response(zones=zones)

    async def take_out(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/zones/{zone}/take-out``."""
        return await self._set_zone(request, in_service=False)

    async def bring_back(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/zones/{zone}/bring-back``."""
        return await self._set_zone(request, in_service=True)

    async def _set_zone(self, request: web.Request, in_service: bool) -> web.Response:
        zone = decode_name("zone", request.match_info["zone"])
        version = (await read_body(request)).bind(decode_zone_change)
        for decoded in (zone, version):
            if isinstance(decoded, Failure):
                return self._refuse(decoded.failure())
        return self._change_response(
            await self.configuration.set_zone(
                zone.unwrap(), in_service, version.unwrap()
            )
        )

    def _view_response(self, **content: Any) -> web.Response:
        # ``fresh`` is false if other instances may already have a newer configuration.
        head = {"version": self.view.config_version, "fresh": self.view.is_fresh()}
        return web.json_response({**head, **content})

    def _change_response(self, result: Result[int, Refusal]) -> web.Response:
        if isinstance(result, Failure):
            return self._refuse(result.failure())
        return web.json_response({"version": result.unwrap()})

    def _refuse(self, refusal: Refusal) -> web.Response:
        return refusal_response(refusal, self.configuration.metrics)


def add_routes(app: web.Application, configuration: Configuration, view: View) -> None:
    """Add the routes of ``/v1/profiles`` and ``/v1/zones`` to ``app``."""
    handlers = ConfigurationHandlers(configuration, view)
    app.add_routes(
        [
            web.get("/v1/profiles", handlers.list_profiles),
            web.get("/v1/profiles/{name}", handlers.get_profile),
            web.put("/v1/profiles/{name}", handlers.put_profile),
            web.delete("/v1/profiles/{name}", handlers.delete_profile),
            web.get("/v1/zones", handlers.list_zones),
            web.post("/v1/zones/{zone}/take-out", handlers.take_out),
            web.post("/v1/zones/{zone}/bring-back", handlers.bring_back),
        ]
    )
