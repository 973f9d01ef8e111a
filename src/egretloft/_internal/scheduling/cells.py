"""Free accelerators, cores and memory by worker, rack and zone."""

from __future__ import annotations

from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling.tables import Amount, Rack, WorkerRow, Zone


def choose_devices(free_mask: int, count: int) -> int:
    """Return the mask of ``count`` free devices, splitting as few blocks as possible.

    This is buddy allocation: blocks are aligned and their sizes are powers of two. The
    smallest free block that holds the request is split. A request that fits no single
    block takes whole blocks, largest first.
    """
    chosen = 0
    while count:
        size = 1 << (count - 1).bit_length()
        block = _find_block(free_mask, size)
        if block is None:
            while size > 1 and block is None:
                size >>= 1
                block = _find_block(free_mask, size)
            if block is None:
                raise ValueError("fewer free devices than requested")
        taken = min(count, size)
        part = ((1 << taken) - 1) << block
        chosen |= part
        free_mask &= ~part
        count -= taken
    return chosen


def _find_block(free_mask: int, size: int) -> int | None:
    """Return the offset of an aligned block of ``size`` free devices.

    The block lies in the smallest free block that holds it. Returns ``None`` if there
    is none.
    """
    width = free_mask.bit_length()
    while size <= width:
        full = (1 << size) - 1
        best = None
        for offset in range(0, width, size):
            if (free_mask >> offset) & full == full:
                buddy = offset ^ size
                # A block whose buddy is taken cannot merge, so it goes first.
                if (free_mask >> buddy) & full != full:
                    return offset
                if best is None:
                    best = offset
        if best is not None:
            return best
        size <<= 1
    return None


def device_indexes(mask: int) -> tuple[int, ...]:
    """Return the set bits of a mask in rising order."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


class Cells:
    """The topology and the free cells in it."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRow] = {}
        self.zones: dict[str, Zone] = {}

    def zone(self, name: str) -> Zone:
        """Return the zone; it is created if it is not known."""
        zone = self.zones.get(name)
        if zone is None:
            zone = self.zones[name] = Zone(name)
        return zone

    def add_worker(self, worker: Worker) -> WorkerRow:
        """Add a worker that is not yet known."""
        row = WorkerRow(
            worker,
            (1 << worker.accelerators) - 1,
            worker.accelerators,
            worker.cores,
            worker.memory_gb,
        )
        self.workers[worker.worker_id] = row
        zone = self.zone(worker.zone)
        row.in_service = zone.in_service
        rack = zone.racks.get(worker.rack)
        if rack is None:
            rack = zone.racks[worker.rack] = Rack(worker.rack, worker.zone)
        zone.workers[worker.worker_id] = row
        rack.workers[worker.worker_id] = row
        row.usable = False
        self.refresh_usable(row)
        return row

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker that holds nothing."""
        row = self.workers.pop(worker_id)
        if row.usable:
            self._index(row, -1)
        zone = self.zones[row.worker.zone]
        del zone.workers[worker_id]
        rack = zone.racks[row.worker.rack]
        del rack.workers[worker_id]
        if not rack.workers:
            del zone.racks[row.worker.rack]

    def refresh_usable(self, row: WorkerRow) -> None:
        """Update whether the worker may get new work."""
        usable = (
            row.listed and not row.leaving and row.in_service and not row.quarantined
        )
        if usable != row.usable:
            row.usable = usable
            self._index(row, 1 if usable else -1)
            if usable:
                self.zones[row.worker.zone].freed_count += 1

    def hold(self, row: WorkerRow, job_id: str, amount: Amount) -> tuple[int, ...]:
        """Allocate an amount on a worker to a gang and return the device indexes."""
        mask = choose_devices(row.free_mask, amount.accelerators)
        self.hold_devices(row, job_id, amount, mask)
        return device_indexes(mask)

    def hold_devices(
        self, row: WorkerRow, job_id: str, amount: Amount, mask: int
    ) -> None:
        """Allocate an amount with the devices of ``mask`` to a gang."""
        held = row.gangs.get(job_id)
        row.gangs[job_id] = (
            amount
            if held is None
            else Amount(*map(sum, zip(held, amount, strict=True)))
        )
        row.free_mask &= ~mask
        self.change_free(row, amount, -1)

    def release(self, row: WorkerRow, job_id: str, devices: tuple[int, ...]) -> None:
        """Free what a gang held on a worker."""
        amount = row.gangs.pop(job_id)
        for device in devices:
            row.free_mask |= 1 << device
        self.change_free(row, amount, 1)

    def claim(self, row: WorkerRow, amount: Amount, sign: int) -> None:
        """Add (1) or drop (-1) a claim on cells that are being reclaimed."""
        row.claimed_accelerators += sign * amount.accelerators
        row.claimed_cores += sign * amount.cores
        row.claimed_memory_gb += sign * amount.memory_gb
        self.change_free(row, amount, -sign)

    def change_free(self, row: WorkerRow, amount: Amount, sign: int) -> None:
        """Add the amount to, or subtract it from, what is free."""
        if row.usable:
            self._index(row, -1)
        row.free_accelerators += sign * amount.accelerators
        row.free_cores += sign * amount.cores
        row.free_memory_gb += sign * amount.memory_gb
        if row.usable:
            self._index(row, 1)
            if sign > 0:
                self.zones[row.worker.zone].freed_count += 1

    def pin(self, row: WorkerRow, amount: Amount, sign: int) -> None:
        """Add (1) or drop (-1) an amount that cannot be reclaimed.

        Units are computed per gang, so that unpinning subtracts exactly the units that
        pinning added.
        """
        row.pinned_units += sign * row.units(amount)

    def _index(self, row: WorkerRow, sign: int) -> None:
        zone = self.zones[row.worker.zone]
        free = row.free_accelerators
        zone.free_accelerators += sign * free
        zone.racks[row.worker.rack].free_accelerators += sign * free
        if sign > 0:
            zone.by_free.setdefault(free, {})[row.worker.worker_id] = row
        else:
            bucket = zone.by_free[free]
            del bucket[row.worker.worker_id]
            if not bucket:
                del zone.by_free[free]
