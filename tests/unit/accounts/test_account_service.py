"""Entries, closing and the print of monthly accounts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from datetime import datetime
from itertools import count
from zoneinfo import ZoneInfo

from returns.result import Failure, Result, Success
from syrupy.assertion import SnapshotAssertion

from egretloft._internal.accounts.service import AccountService, create_account_service
from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.jobs import JobRecord, TaskPlacement
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.platform.protocols import (
    Check,
    Committed,
    StoreFailure,
    Transaction,
    Write,
)
from lib.builders import build_job
from lib.fakes import Fault, ManualClock, MemoryObjects, MemoryTable

TOKYO = ZoneInfo("Asia/Tokyo")


def at(*parts: int) -> float:
    return datetime(*parts, tzinfo=TOKYO).timestamp()  # type: ignore[arg-type]


class OneTryWriter:
    """Reports a lost answer as ``unknown``, as a safe writer does at its deadline."""

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.numbers = count()

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write], timeout_seconds: float
    ) -> Result[Committed, StoreFailure]:
        operation = f"{id(self)}-{next(self.numbers)}"
        return await self.table.commit(
            Transaction(operation, tuple(checks), tuple(writes))
        )


class Accounts:
    """Account services of several instances over one table."""

    def __init__(self, now: float) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.clock = ManualClock(now)
        self.writer = OneTryWriter(self.table)

    def service(self, instance_id: str = "entry-1") -> AccountService:
        return create_account_service(
            instance_id=instance_id,
            time_zone="Asia/Tokyo",
            table=self.table,
            objects=self.objects,
            writer=self.writer,
            clock=self.clock,
            metrics=create_metrics(),
            incarnation="0",
        ).unwrap()

    async def write_run(
        self, service: AccountService, record: JobRecord, start: float, end: float
    ) -> bool:
        """Write as the gang owner does: once more after a conflict."""
        for _ in range(2):
            checks, writes = service.run_rows(record, start, end)
            if isinstance(await self.writer.commit(checks, writes, 1.0), Success):
                return True
            await service.refresh()
        return False


def record(
    job_id: str = "job-1", organisation: str = "org-a", attempt: int = 1
) -> JobRecord:
    placement = (TaskPlacement(0, "w1", (0, 1)), TaskPlacement(1, "w2", (0, 1)))
    spec = build_job(job_id, organisation=organisation)
    return JobRecord(spec, attempt=attempt, placement=placement, zone="tosu")


async def test_print_of_a_month(snapshot: SnapshotAssertion) -> None:
    """Guards against any change of the print that auditors compare."""
    accounts = Accounts(at(2028, 3, 1, 0, 0, 30))
    service = accounts.service()
    midnight = at(2028, 3, 1)
    runs = [
        (record("over-the-month-end"), at(2028, 2, 28, 23, 0, 0) + 0.25, midnight + 9),
        (record("second-attempt", attempt=2), at(2028, 2, 29, 9), at(2028, 2, 29, 10)),
        (record("exact-midnight", "org-b"), midnight - 60, midnight),
        (record("no-length", "org-b"), at(2028, 2, 1), at(2028, 2, 1)),
        (record("organisation-with-a-long-name", "o" * 20), midnight - 5, midnight),
    ]
    for run in runs:
        assert await accounts.write_run(service, *run)
    for second in range(3):
        service.count_request("org-a", "salon-desk", "tosu", midnight - 61 + second)
    service.count_request("org-b", "salon-desk", "omuta", midnight)
    assert await service.flush()
    february = (await service.close("2028-02")).unwrap()
    late = record("late")
    assert await accounts.write_run(service, late, midnight - 100, midnight - 10)
    service.count_request("org-a", "salon-desk", "tosu", midnight - 30)
    assert await service.flush()
    assert february == snapshot(name="closed month")
    assert (await service.render("2028-02")).unwrap() == february
    assert (await service.render("2028-03")).unwrap() == snapshot(name="open month")


async def test_order_of_entries_has_no_effect() -> None:
    """Guards against prints that differ between instances."""
    prints = []
    for order in (1, -1):
        accounts = Accounts(at(2027, 2, 1, 1))
        service = accounts.service()
        for name in ["a", "b", "c"][::order]:
            await accounts.write_run(
                service, record(name), at(2027, 1, 5), at(2027, 1, 5, 1)
            )
        prints.append((await service.render("2027-01")).unwrap())
    assert prints[0] == prints[1]


async def test_run_written_twice_counts_once() -> None:
    """Guards against double charges after an answer that was lost or doubled."""
    accounts = Accounts(at(2027, 1, 5))
    times = at(2027, 1, 4), at(2027, 1, 4, 1)
    for service in (accounts.service(), accounts.service("entry-2")):
        await accounts.write_run(service, record(), *times)
    text = (await accounts.service().render("2027-01")).unwrap()
    assert text.count("job-1 ") == 1


async def test_batch_whose_answer_was_lost_counts_once() -> None:
    """Guards against requests that are counted again when a flush is repeated."""
    accounts = Accounts(at(2027, 1, 5))
    service = accounts.service()
    service.count_request("org-a", "desk", "tosu", at(2027, 1, 5))
    accounts.table.fault, accounts.table.fault_calls = Fault.LOST_ANSWER, 1
    assert not await service.flush()
    service.count_request("org-a", "desk", "tosu", at(2027, 1, 5))
    assert await service.flush()
    assert await service.flush()
    text = (await service.render("2027-01")).unwrap()
    assert text.splitlines()[-1].split() == ["org-a", "0", "0", "2"]


async def test_batch_in_doubt_when_its_month_is_closed() -> None:
    """Guards against a batch that is counted in the month and as an adjustment."""
    accounts = Accounts(at(2027, 1, 31, 23, 59))
    service = accounts.service()
    service.count_request("org-a", "desk", "tosu", at(2027, 1, 31))
    accounts.table.fault, accounts.table.fault_calls = Fault.LOST_ANSWER, 1
    assert not await service.flush()
    accounts.clock.advance(120)
    other = accounts.service("entry-2")
    january = (await other.close("2027-01")).unwrap()
    await service.refresh()
    assert await service.flush()
    assert january.splitlines()[-1].split() == ["org-a", "0", "0", "1"]
    assert "org-a" not in (await service.render("2027-02")).unwrap()


async def test_count_is_kept_through_an_outage() -> None:
    """Guards against counts that a failed write drops."""
    accounts = Accounts(at(2027, 1, 5))
    service = accounts.service()
    accounts.table.fault = Fault.DOWN
    for _ in range(5):
        service.count_request("org-a", "desk", "tosu", at(2027, 1, 5))
        assert not await service.flush()
    accounts.table.fault = Fault.NONE
    assert await service.flush()
    assert await service.flush()
    text = (await service.render("2027-01")).unwrap()
    assert text.splitlines()[-1].split()[-1] == "5"


async def test_month_is_closed_once() -> None:
    """Guards against two instances that store different accounts of a month."""
    accounts = Accounts(at(2027, 2, 1, 0, 1))
    first, second = accounts.service(), accounts.service("entry-2")
    await accounts.write_run(first, record(), at(2027, 1, 4), at(2027, 1, 4, 1))
    text = (await first.close("2027-01")).unwrap()
    assert (await second.close("2027-01")).unwrap() == text
    # A run of January that is entered now is refused there and booked in February.
    late = replace(record("late"))
    assert await accounts.write_run(second, late, at(2027, 1, 5), at(2027, 1, 5, 1))
    assert (await second.render("2027-01")).unwrap() == text
    assert "late" in (await second.render("2027-02")).unwrap()


async def test_closing_goes_on_after_a_failure_of_the_object_store() -> None:
    """Guards against a month that stays half closed."""
    accounts = Accounts(at(2027, 2, 1, 0, 1))
    first, second = accounts.service(), accounts.service("entry-2")
    accounts.objects.down = True
    assert isinstance(await first.close("2027-01"), Failure)
    accounts.objects.down = False
    text = (await second.close("2027-01")).unwrap()
    assert (await first.render("2027-01")).unwrap() == text


async def test_refusals() -> None:
    """Guards against accounts of months that have not ended or do not exist."""
    accounts = Accounts(at(2027, 1, 31, 23, 59, 59))
    service = accounts.service()
    assert (await service.close("2027-01")).failure().reason is Reason.MONTH_OPEN
    assert (await service.close("2027-13")).failure().reason is Reason.MALFORMED
    accounts.table.fault = Fault.DOWN
    failure = (await service.render("2027-01")).failure()
    assert failure.reason is Reason.STORE_UNAVAILABLE


async def test_damaged_account_is_not_shown() -> None:
    """Guards against a stored print that was altered."""
    accounts = Accounts(at(2027, 2, 1))
    service = accounts.service()
    assert isinstance(await service.close("2027-01"), Success)
    accounts.objects.objects["account/2027-01"] += b"x"
    assert isinstance(await service.render("2027-01"), Failure)


async def test_closed_month_is_shown_while_the_table_is_down() -> None:
    """Guards against a stored account that an outage of the table hides."""
    accounts = Accounts(at(2027, 2, 1))
    service = accounts.service()
    text = (await service.close("2027-01")).unwrap()
    accounts.table.fault = Fault.DOWN
    assert (await service.render("2027-01")).unwrap() == text


async def test_time_zone_is_stored_once() -> None:
    """Guards against months that are cut at another midnight after a new setting."""
    accounts = Accounts(at(2027, 2, 1))
    service = accounts.service()
    assert (await service.confirm_time_zone()).unwrap() == "Asia/Tokyo"
    other = accounts.service()
    other.time_zone_name = "Atlantic/Reykjavik"
    assert (await other.confirm_time_zone()).failure().reason is Reason.CONFLICT
    unknown = create_account_service(
        instance_id="x",
        time_zone="Asia/Nowhere",
        table=accounts.table,
        objects=accounts.objects,
        writer=accounts.writer,
        clock=accounts.clock,
        metrics=create_metrics(),
    )
    assert isinstance(unknown, Failure)
