"""Turns changes of workers, zones and profiles into scheduler events."""

from __future__ import annotations

from egretloft._internal.gangs.context import OwnerContext
from egretloft._internal.gangs.inventory import WorkerInventory
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling.events import (
    Event,
    ProfileChanged,
    ProfileRetired,
    WorkerAvailable,
    WorkerLeaving,
    WorkerRemoved,
    ZoneChanged,
)


class ClusterWatch:
    """Compares topology and view with the state last sent to the scheduler."""

    def __init__(self, context: OwnerContext, inventory: WorkerInventory) -> None:
        self.context = context
        self.inventory = inventory
        self.workers: dict[str, Worker] = {}
        self.leaving: set[str] = set()
        self.zones: dict[str, bool] = {}
        self.profiles: dict[str, Profile] = {}
        # Workers of adopted gangs. The scheduler is notified of them even if their
        # tasks have not been listed yet.
        self.adopted_workers: set[str] = set()

    def changes(self) -> list[Event]:
        """Return the events for all changes since the previous call."""
        return [*self._worker_events(), *self._zone_events(), *self._profile_events()]

    def _worker_events(self) -> list[Event]:
        events: list[Event] = []
        listed = {
            worker_id: worker
            for worker_id, worker in self.context.topology.workers.items()
            if worker.region == self.context.jobs.region
            and (
                self.inventory.tasks_known(worker_id)
                or worker_id in self.adopted_workers
            )
        }
        for worker_id in [w for w in self.workers if w not in listed]:
            del self.workers[worker_id]
            self.leaving.discard(worker_id)
            events.append(WorkerRemoved(worker_id))
        for worker_id, worker in listed.items():
            leaving = self.context.topology.is_leaving(worker_id)
            returned = worker_id in self.leaving and not leaving
            if self.workers.get(worker_id) != worker or returned:
                self.workers[worker_id] = worker
                self.leaving.discard(worker_id)
                events.append(WorkerAvailable(worker))
            if leaving and worker_id not in self.leaving:
                self.leaving.add(worker_id)
                events.append(WorkerLeaving(worker_id))
        return events

    def _zone_events(self) -> list[Event]:
        view = self.context.view
        names = {worker.zone for worker in self.workers.values()}
        names.update(zone for p in view.profiles.values() for zone in p.zones)
        events: list[Event] = []
        for zone in sorted(names):
            in_service = view.zone_in_service(zone)
            if self.zones.get(zone, True) != in_service:
                events.append(ZoneChanged(zone, in_service))
            self.zones[zone] = in_service
        return events

    def _profile_events(self) -> list[Event]:
        current = {
            name: profile
            for name, profile in self.context.view.profiles.items()
            if profile.region == self.context.jobs.region
        }
        events: list[Event] = [
            ProfileRetired(name) for name in self.profiles if name not in current
        ]
        events.extend(
            ProfileChanged(profile)
            for name, profile in current.items()
            if self.profiles.get(name) != profile
        )
        self.profiles = current
        return events
