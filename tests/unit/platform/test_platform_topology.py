from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.topology import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from egretloft._internal.platform.protocols import ListFailure
from egretloft._internal.platform.topology import create_topology
from lib.fakes import ManualClock
from lib.serving import build_record


@dataclass
class FakeList:
    results: list[Result[tuple[InstanceRecord, ...], ListFailure]] = field(
        default_factory=list
    )

    async def list(self) -> Result[tuple[InstanceRecord, ...], ListFailure]:
        return self.results.pop(0)


async def test_last_list_is_kept():
    """Guards against an empty topology after one failed read of the list."""
    worker = build_record("w")
    runner = build_record("r", kind=InstanceKind.RUNNER, state=InstanceState.LEAVING)
    entry = build_record("e", kind=InstanceKind.ENTRY)
    source = FakeList([Success((worker, runner, entry)), Failure(ListFailure("down"))])
    clock = ManualClock()
    metrics = create_metrics()
    topology = create_topology(source, clock, metrics)
    assert topology.listed_at is None
    await topology.refresh()
    read_at = clock.monotonic()
    clock.advance(1)
    await topology.refresh()
    assert topology.listed_at == read_at
    assert metrics.counter("instance_list_failures") == 1
    assert topology.workers["w"].address == worker.address
    assert topology.runners == {"r": runner}
    assert topology.entries == {"e": entry}


async def test_leaving_follows_the_list():
    """Guards against new work on a target that the list reports as leaving."""
    leaving = build_record("w", state=InstanceState.LEAVING)
    source = FakeList([Success((leaving,)), Success((build_record("w"),))])
    topology = create_topology(source, ManualClock(), create_metrics())
    await topology.refresh()
    assert topology.is_leaving("w")
    assert not topology.is_leaving("not listed")
    await topology.refresh()
    assert not topology.is_leaving("w")
