"""Creates and connects the components of one entry instance."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Collection
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from returns.result import Success

from egretloft._internal.accounts.service import (
    AccountService,
    create_account_service,
)
from egretloft._internal.coordination.assembly import (
    BEAT_PERIOD_SECONDS,
    REFRESH_PERIOD_SECONDS,
    TICK_PERIOD_SECONDS,
    Coordination,
    create_coordination,
)
from egretloft._internal.gangs.owner import (
    GangOwner,
    create_gang_owner,
    gangs_partition,
)
from egretloft._internal.gangs.records import create_job_table
from egretloft._internal.gangs.reports import GangReports, create_gang_reports
from egretloft._internal.gangs.service import JobService, create_job_service
from egretloft._internal.http import accounts as accounts_http
from egretloft._internal.http import configuration as configuration_http
from egretloft._internal.http import jobs as jobs_http
from egretloft._internal.http import requests as requests_http
from egretloft._internal.http import status as status_http
from egretloft._internal.http.app import create_app
from egretloft._internal.metrics import Metrics, create_metrics
from egretloft._internal.models.members import Member
from egretloft._internal.models.outcomes import Reason, Refusal
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.requests import Answer, ServiceRequest
from egretloft._internal.peers.network import PeerNetwork, create_peer_network
from egretloft._internal.platform.http_call import create_http_session
from egretloft._internal.platform.http_instance_list import create_http_instance_list
from egretloft._internal.platform.http_object_store import create_http_object_store
from egretloft._internal.platform.http_runner_client import create_http_runner_client
from egretloft._internal.platform.http_table_service import create_http_table_service
from egretloft._internal.platform.http_worker_client import create_http_worker_client
from egretloft._internal.platform.protocols import Clock
from egretloft._internal.platform.system_clock import create_system_clock
from egretloft._internal.platform.topology import Topology, create_topology
from egretloft._internal.requests.messages import FORWARD_TYPE, KEY_QUERY_TYPE
from egretloft._internal.requests.service import (
    TICK_SECONDS,
    RequestService,
    create_request_service,
    runner_partitions,
)
from egretloft._internal.scheduling.feasibility import check_job, check_profiles
from egretloft._internal.scheduling.scheduler import create_scheduler
from egretloft._internal.scheduling.settings import SchedulerSettings
from egretloft._internal.settings import Settings
from egretloft._internal.timers import TimerService, create_timer_service

# Connections per runner. The one above the number of slots is for status calls while
# all slots are in use.
RUNNER_CONNECTIONS = 10
TOPOLOGY_PERIOD_SECONDS = 1.0
GANG_PERIOD_SECONDS = 0.2
USAGE_PERIOD_SECONDS = 10.0


@dataclass(slots=True)
class Instance:
    """The components of one entry instance, with its start-up, drain and shutdown."""

    settings: Settings
    member: Member
    metrics: Metrics
    clock: Clock
    sessions: tuple[aiohttp.ClientSession, ...]
    topology: Topology
    network: PeerNetwork
    coordination: Coordination
    requests: RequestService
    jobs: JobService
    gang_owner: GangOwner
    reports: GangReports
    accounts: AccountService
    timers: TimerService
    draining: bool = False
    time_zone_confirmed: bool = False

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this instance."""
        return (
            not self.draining
            and self.time_zone_confirmed
            # Without any listed target, every request would be refused.
            and self.topology.has_targets()
            and self.coordination.view.is_fresh()
            and self.coordination.roster.is_full_member()
        )

    async def refresh_topology(self) -> None:
        """Read the instance list and update the partitions that need an owner."""
        await self.topology.refresh()
        region = self.settings.region
        partitions = runner_partitions(self.topology, region)
        if any(worker.region == region for worker in self.topology.workers.values()):
            partitions.add(gangs_partition(region))
        self.coordination.ownership.set_candidates(partitions)

    async def confirm_time_zone(self) -> Refusal | None:
        """Store the account time zone, or check that it matches the stored one.

        Returns a refusal if a different one is stored. Returns ``None`` if it matches
        or if the check could not be made, for example during a store outage.
        """
        if self.time_zone_confirmed:
            return None
        result = await self.accounts.confirm_time_zone()
        if isinstance(result, Success):
            self.time_zone_confirmed = True
            await self.accounts.refresh()
            return None
        refusal = result.failure()
        return refusal if refusal.reason is Reason.CONFLICT else None

    async def tick_gangs(self) -> None:
        """Run the gang owner's tick.

        Does nothing until the account time zone is confirmed, because ends of runs
        write account rows.
        """
        if self.time_zone_confirmed:
            await self.gang_owner.tick()

    async def confirm_and_flush(self) -> None:
        """Write the counted requests to the accounts if the time zone is confirmed."""
        await self.confirm_time_zone()
        if self.time_zone_confirmed:
            await self.accounts.flush()

    def subscribe_timers(self) -> None:
        """Subscribe the periodic work of all components to the timer service."""
        view = self.coordination.view
        roster = self.coordination.roster
        ownership = self.coordination.ownership
        for name, period, callback in (
            ("topology", TOPOLOGY_PERIOD_SECONDS, self.refresh_topology),
            ("view", REFRESH_PERIOD_SECONDS, view.refresh),
            ("roster", BEAT_PERIOD_SECONDS, roster.beat),
            ("ownership", TICK_PERIOD_SECONDS, ownership.tick),
            ("requests", TICK_SECONDS, self.requests.tick),
            ("gangs", GANG_PERIOD_SECONDS, self.tick_gangs),
            ("usage", USAGE_PERIOD_SECONDS, self.confirm_and_flush),
        ):
            self.timers.subscribe(name, period, callback)

    async def release(self) -> None:
        """Release all partitions; running gangs continue under their leases."""
        self.gang_owner.close()
        await self.timers.unsubscribe("ownership")
        await self.coordination.ownership.release_all()

    async def drain(self) -> bool:
        """Drain requests, release all partitions and leave the membership.

        Returns false if requests were still in flight at the drain timeout.
        """
        self.draining = True
        await asyncio.sleep(self.settings.drain_grace_seconds)
        finished = await self.requests.drain(
            self.release, self.settings.drain_timeout_seconds
        )
        if self.time_zone_confirmed:
            await self.accounts.flush()
        await self.coordination.roster.leave()
        return finished

    async def close(self) -> None:
        """Stop the timers and close peer connections and HTTP sessions."""
        await self.timers.stop()
        await self.network.stop()
        for session in self.sessions:
            await session.close()


async def create_instance(settings: Settings, http_port: int) -> Instance:
    """Return an instance that accepts peer connections; its timers are not started."""
    metrics = create_metrics()
    clock = create_system_clock()
    generator = random.Random()
    network = create_peer_network(
        settings.instance_id,
        settings.peer_host,
        settings.peer_port,
        clock,
        metrics,
        generator,
    )
    await network.start()
    member = Member(
        instance_id=settings.instance_id,
        incarnation=uuid.uuid4().hex,
        address=join_address(settings.http_host, http_port),
        peer_address=join_address(settings.peer_host, network.port),
        region=settings.region,
        zone=settings.zone,
    )
    platform_session = create_http_session()
    runner_session = create_http_session(RUNNER_CONNECTIONS)
    table = create_http_table_service(platform_session, settings.table_address)
    objects = create_http_object_store(platform_session, settings.objects_address)
    topology = create_topology(
        create_http_instance_list(
            platform_session, settings.instances_address, metrics=metrics
        ),
        clock,
        metrics,
    )

    def check_feasibility(profiles: Collection[Profile]) -> Refusal | None:
        return check_profiles(profiles, topology.workers.values())

    def known_zones() -> Collection[str]:
        return {record.zone for record in topology.records.values()}

    coordination = create_coordination(
        member,
        table,
        network,
        clock,
        metrics,
        generator,
        check_feasibility,
        known_zones,
        # Until the list has been read, no instance may be regarded as removed.
        lambda instance_id: (
            topology.listed_at is None or instance_id in topology.entries
        ),
    )
    accounts_result = create_account_service(
        instance_id=settings.instance_id,
        time_zone=settings.account_time_zone,
        table=table,
        objects=objects,
        writer=coordination.writer,
        clock=clock,
        metrics=metrics,
        incarnation=member.incarnation,
    )
    # The time zone name was validated with the settings, so this cannot fail.
    accounts = accounts_result.unwrap()

    def count_request(request: ServiceRequest, answer: Answer) -> None:
        accounts.count_request(
            request.organisation, request.service, answer.zone, clock.wall()
        )

    requests = create_request_service(
        settings.instance_id,
        settings.zone,
        view=coordination.view,
        ownership=coordination.ownership,
        topology=topology,
        network=network,
        table=table,
        objects=objects,
        writer=coordination.writer,
        client=create_http_runner_client(runner_session),
        clock=clock,
        metrics=metrics,
        generator=generator,
        link_seconds=settings.link_ms / 1000,
        on_completed=count_request,
    )
    network.register(FORWARD_TYPE, requests.handle_forward)
    network.register(KEY_QUERY_TYPE, requests.handle_key_query)
    network.heartbeat_sources.append(requests.heartbeat)
    job_table = create_job_table(settings.region, table, coordination.writer, metrics)
    gang_owner = create_gang_owner(
        jobs=job_table,
        clock=clock,
        sleep=asyncio.sleep,
        client=create_http_worker_client(platform_session),
        ownership=coordination.ownership,
        view=coordination.view,
        topology=topology,
        accounting=accounts,
        metrics=metrics,
        create_scheduler=lambda: create_scheduler(
            SchedulerSettings(), generator.getrandbits(32)
        ),
    )

    reports = create_gang_reports(
        settings.region, gang_owner, coordination.ownership, network
    )
    network.heartbeat_sources.append(reports.heartbeat)
    jobs = create_job_service(
        jobs=job_table,
        view=coordination.view,
        topology=topology,
        clock=clock,
        metrics=metrics,
        check_job=check_job,
        queued_jobs=reports.queued_jobs,
    )
    return Instance(
        settings=settings,
        member=member,
        metrics=metrics,
        clock=clock,
        sessions=(platform_session, runner_session),
        topology=topology,
        network=network,
        coordination=coordination,
        requests=requests,
        jobs=jobs,
        gang_owner=gang_owner,
        reports=reports,
        accounts=accounts,
        timers=create_timer_service(metrics),
    )


def join_address(host: str, port: int) -> str:
    """Return ``host:port``, with brackets around an IPv6 address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def create_routes(instance: Instance) -> web.Application:
    """Return the HTTP application of the instance."""
    app = create_app(instance.metrics, instance.is_ready)
    coordination = instance.coordination
    configuration_http.add_routes(app, coordination.configuration, coordination.view)
    requests_http.add_routes(app, instance.requests, instance.metrics)
    jobs_http.add_routes(app, instance.jobs, instance.clock, instance.metrics)
    accounts_http.add_routes(app, instance.accounts, instance.metrics)
    status_http.add_routes(
        app,
        instance_id=instance.settings.instance_id,
        coordination=coordination,
        topology=instance.topology,
        network=instance.network,
        metrics=instance.metrics,
        is_draining=lambda: instance.draining,
        degraded_guarantees=instance.reports.degraded_guarantees,
    )
    return app
