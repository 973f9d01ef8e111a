"""The platform's instance list over HTTP."""

from __future__ import annotations

import aiohttp
import msgspec
import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.metrics import Metrics, create_metrics
from egretloft._internal.models.topology import InstanceKind, InstanceRecord
from egretloft._internal.platform.http_call import send_request
from egretloft._internal.platform.protocols import ListFailure

log = structlog.get_logger(__name__)


def decode_records(
    body: bytes, metrics: Metrics
) -> Result[tuple[InstanceRecord, ...], ListFailure]:
    """Return the records of a list body.

    A malformed or unusable record is left out and counted, so that one faulty entry
    does not hide the others.
    """
    try:
        items = msgspec.json.decode(body, type=list[msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(ListFailure(f"unreadable instance list: {error}"))
    records: dict[str, InstanceRecord] = {}
    for item in items:
        try:
            record = msgspec.json.decode(item, type=InstanceRecord)
        except (msgspec.DecodeError, RecursionError) as error:
            metrics.count("instance_records_malformed")
            log.warning("instance record ignored: cannot be decoded", error=str(error))
            continue
        if not is_usable(record) or record.instance_id in records:
            metrics.count("instance_records_malformed")
            log.warning(
                "instance record ignored: invalid fields or duplicate id",
                instance=record.instance_id,
            )
            continue
        records[record.instance_id] = record
    return Success(tuple(records.values()))


def is_usable(record: InstanceRecord) -> bool:
    """Return whether the record can be used.

    It needs an id, a zone, a valid address and no negative sizes; a runner also needs
    a service and at least one slot.
    """
    host, separator, port = record.address.rpartition(":")
    if not (record.instance_id and record.zone and host and separator):
        return False
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    if not 0 < int(port) <= 65535:
        return False
    sizes = (
        record.cores,
        record.memory_gb,
        record.accelerators,
        record.slots,
        record.connections,
    )
    if any(size < 0 for size in sizes):
        return False
    if record.kind is InstanceKind.RUNNER:
        return bool(record.service) and record.slots > 0
    return True


class HttpInstanceList:
    """An ``InstanceList`` at one address.

    Reads are conditional (``If-None-Match``, RFC 9110), because reading the whole list
    of 1,500 workers each second takes more than a node may spend on control traffic. A
    platform that sends no ``ETag`` answers with the whole list.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_seconds: float,
        metrics: Metrics,
    ) -> None:
        self.session = session
        self.address = address
        self.timeout_seconds = timeout_seconds
        self.metrics = metrics
        self.entity_tag = ""
        self.records: tuple[InstanceRecord, ...] = ()

    async def list(self) -> Result[tuple[InstanceRecord, ...], ListFailure]:
        """Return all listed instances.

        Returns the same tuple again if the platform answers that nothing has changed.
        """
        url = f"http://{self.address}/instances"
        headers = {"If-None-Match": self.entity_tag} if self.entity_tag else None
        match await send_request(
            self.session, "GET", url, self.timeout_seconds, headers=headers
        ):
            case Success(answer) if answer.status == 304 and self.entity_tag:
                return Success(self.records)
            case Success(answer) if answer.status == 200:
                decoded = decode_records(answer.body, self.metrics)
                if isinstance(decoded, Success):
                    self.records = decoded.unwrap()
                    self.entity_tag = answer.headers.get("ETag", "")
                return decoded
            case Success(answer):
                return Failure(ListFailure(f"{url}: status {answer.status}"))
            case Failure(failure):
                return Failure(ListFailure(failure.message))
        raise AssertionError("unreachable")


def create_http_instance_list(
    session: aiohttp.ClientSession,
    address: str,
    timeout_seconds: float = 1.0,
    metrics: Metrics | None = None,
) -> HttpInstanceList:
    """Return the instance list at ``address`` (``host:port``)."""
    return HttpInstanceList(
        session, address, timeout_seconds, metrics or create_metrics()
    )
