"""Handlers of ``/v1/status`` and ``/v1/metrics``, which describe this instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from aiohttp import web

from egretloft._internal.coordination.assembly import Coordination
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.topology import InstanceRecord
from egretloft._internal.peers.protocols import Peers
from egretloft._internal.platform.topology import Topology

GuaranteeReport = Callable[[], list[dict[str, Any]]]


def add_routes(
    app: web.Application,
    *,
    instance_id: str,
    coordination: Coordination,
    topology: Topology,
    network: Peers,
    metrics: Metrics,
    is_draining: Callable[[], bool],
    degraded_guarantees: GuaranteeReport,
) -> None:
    """Add ``/v1/status`` and ``/v1/metrics`` to ``app``."""

    async def status(request: web.Request) -> web.Response:
        view = coordination.view
        return web.json_response(
            {
                "instance": instance_id,
                "state": "draining" if is_draining() else "serving",
                "configuration_version": view.config_version,
                "view_fresh": view.is_fresh(),
                "store_reachable": view.reachable_since is not None,
                "full_member": coordination.roster.is_full_member(),
                "instances": describe_members(coordination, network),
                "partitions": [
                    {
                        "partition": partition,
                        "owner": row.owner,
                        "epoch": row.epoch,
                        "released": row.released,
                        "held_here": coordination.ownership.holds(partition)
                        is not None,
                    }
                    for partition, row in sorted(view.owners.items())
                ],
                "targets": describe_targets(topology),
                "guarantees": degraded_guarantees(),
            }
        )

    async def show_metrics(request: web.Request) -> web.Response:
        return web.json_response(metrics.snapshot())

    app.add_routes(
        [web.get("/v1/status", status), web.get("/v1/metrics", show_metrics)]
    )


def describe_members(
    coordination: Coordination, network: Peers
) -> list[dict[str, object]]:
    """Return a JSON object for each entry instance on the roster."""
    return [
        {
            "instance": member.instance_id,
            "zone": member.zone,
            "address": member.address,
            "alive": network.is_alive(member.instance_id),
        }
        for _, member in sorted(coordination.view.members.items())
    ]


def describe_targets(topology: Topology) -> list[dict[str, object]]:
    """Return the numbers of live and leaving instances for each zone and kind.

    Entry instances on the platform's list are counted too.
    """
    live: Counter[tuple[str, str]] = Counter()
    leaving: Counter[tuple[str, str]] = Counter()
    for record in topology.records.values():
        key = _zone_and_kind(record)
        if topology.is_leaving(record.instance_id):
            leaving[key] += 1
        else:
            live[key] += 1
    return [
        {
            "zone": zone,
            "kind": kind,
            "live": live[zone, kind],
            "leaving": leaving[zone, kind],
        }
        for zone, kind in sorted(live.keys() | leaving.keys())
    ]


def _zone_and_kind(record: InstanceRecord) -> tuple[str, str]:
    return record.zone, record.kind.value
