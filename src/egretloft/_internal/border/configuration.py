"""Validation of profile and zone bodies that operators send."""

from __future__ import annotations

import re
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from egretloft._internal.models.outcomes import Reason, Refusal, not_run
from egretloft._internal.models.profiles import (
    Adjacency,
    GuaranteedShape,
    Limits,
    Profile,
)

T = TypeVar("T")

# Names become parts of row keys and URL paths, so they must not contain a slash. The
# pattern ends with ``\Z`` because ``$`` would accept a trailing line feed.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z"
NAME_RULE = (
    "1 to 64 letters, digits, dots, underscores and hyphens, "
    "beginning with a letter or digit"
)
MAX_SHOWN_CHARACTERS = 80

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Version = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the bodies; a body with unknown fields is refused."""


class GuaranteeBody(Body, frozen=True):
    """One guaranteed shape in a profile body."""

    count: Annotated[int, Meta(ge=1, le=10_000)]
    accelerators: Annotated[int, Meta(ge=1, le=10_000)]
    adjacency: Adjacency


class LimitsBody(Body, frozen=True):
    """Limits in a profile body; omitted fields get the defaults of ``Limits``."""

    max_accelerators: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    max_queued_jobs: Annotated[int, Meta(ge=0, le=1_000_000)] = 10_000
    max_requests_in_flight: Annotated[int, Meta(ge=0, le=1_000_000)] = 1_000


class ProfileBody(Body, frozen=True):
    """Body of ``PUT /v1/profiles/{name}``."""

    organisation: Name
    region: Name
    zones: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=16)]
    expected_version: Version
    guarantees: Annotated[tuple[GuaranteeBody, ...], Meta(max_length=64)] = ()
    limits: LimitsBody = LimitsBody()
    services: Annotated[tuple[Name, ...], Meta(max_length=256)] = ()


class ZoneBody(Body, frozen=True):
    """Body of ``POST /v1/zones/{zone}/take-out`` and ``bring-back``."""

    expected_version: Version


def decode_profile(name: str, data: bytes) -> Result[tuple[Profile, int], Refusal]:
    """Return the profile and the expected configuration version from a body."""
    named = decode_name("name", name)
    if isinstance(named, Failure):
        return named
    decoded = _decode(data, ProfileBody)
    if isinstance(decoded, Failure):
        return decoded
    body = decoded.unwrap()
    for field, values in (("zones", body.zones), ("services", body.services)):
        repeated = sorted({value for value in values if values.count(value) > 1})
        if repeated:
            return Failure(
                _field_refusal(
                    Reason.MALFORMED, field, repeated[0], "each name only once"
                )
            )
    profile = Profile(
        name=name,
        organisation=body.organisation,
        region=body.region,
        zones=body.zones,
        guarantees=tuple(
            GuaranteedShape(shape.count, shape.accelerators, shape.adjacency)
            for shape in body.guarantees
        ),
        limits=Limits(
            max_accelerators=body.limits.max_accelerators,
            max_queued_jobs=body.limits.max_queued_jobs,
            max_requests_in_flight=body.limits.max_requests_in_flight,
        ),
        services=body.services,
    )
    return Success((profile, body.expected_version))


def decode_zone_change(data: bytes) -> Result[int, Refusal]:
    """Return the expected configuration version from a zone body."""
    return _decode(data, ZoneBody).map(lambda body: body.expected_version)


def decode_name(field: str, value: str) -> Result[str, Refusal]:
    """Return a name from a URL path if it is valid."""
    if re.fullmatch(NAME_PATTERN, value) is None:
        return Failure(_field_refusal(Reason.MALFORMED, field, value, NAME_RULE))
    return Success(value)


def decode_version(field: str, value: str | None) -> Result[int, Refusal]:
    """Return a configuration version from a query parameter."""
    try:
        return Success(msgspec.convert(value, Version, strict=False))
    except msgspec.ValidationError as error:
        return Failure(_field_refusal(Reason.MALFORMED, field, value, str(error)))


def _decode(data: bytes, type_: type[T]) -> Result[T, Refusal]:
    try:
        content = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(
            not_run(
                Reason.MALFORMED,
                f"the body is not valid JSON: {error}",
                "send a JSON object",
            )
        )
    try:
        return Success(msgspec.convert(content, type_))
    except msgspec.ValidationError as error:
        return Failure(_validation_refusal(content, str(error)))


def _validation_refusal(value: Any, error: str) -> Refusal:
    """Return a refusal that names the field, its value and the allowed values.

    The messages of msgspec end with the path of the field, as in
    ``Expected `int` >= 1 - at `$.guarantees[0].count` ``.
    """
    rule, _, path = error.partition(" - at `$")
    field = path.rstrip("`").lstrip(".")
    for key, index in re.findall(r"([^.\[\]]+)|\[(\d+)\]", field):
        value = value[int(index)] if index else value[key]
    rule = rule.replace(f"matching regex {NAME_PATTERN!r}", f"of {NAME_RULE}")
    reason = (
        Reason.INVALID_SHAPE if field.startswith("guarantees") else Reason.MALFORMED
    )
    return _field_refusal(reason, field or "body", value, rule)


def _field_refusal(reason: Reason, field: str, value: object, rule: str) -> Refusal:
    shown = repr(value)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        shown = shown[:MAX_SHOWN_CHARACTERS] + "..."
    return not_run(reason, f"{field} is {shown}", f"allowed for {field}: {rule}")
