"""Recording of usage, closing of months and rendering of monthly accounts."""

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


class SingleAttemptWriter:
    """Makes one attempt, so a lost answer fails with ``unknown``.

    ``SafeWriter`` reports the same when its timeout expires.
    """

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.operation_numbers = count()

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write], timeout_seconds: float
    ) -> Result[Committed, StoreFailure]:
        operation = f"{id(self)}-{next(self.operation_numbers)}"
        return await self.table.commit(
            Transaction(operation, tuple(checks), tuple(writes))
        )


class Accounts:
    """Creates account services that share one table, as those of several instances."""

    def __init__(self, now: float) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.clock = ManualClock(now)
        self.writer = SingleAttemptWriter(self.table)

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
        """Write a run with one retry after a conflict, as the gang owner does."""
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


async def test_rendered_account(snapshot: SnapshotAssertion) -> None:
    """Guards against any change of the text, which auditors compare.

    A change of the layout or of the rounding would alter accounts of earlier months.
    """
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


async def test_account_does_not_depend_on_order_of_writes() -> None:
    """Guards against accounts that differ between instances.

    Runs may be written in any order, and each instance reads them from the table.
    """
    texts = []
    for order in (1, -1):
        accounts = Accounts(at(2027, 2, 1, 1))
        service = accounts.service()
        for name in ["a", "b", "c"][::order]:
            await accounts.write_run(
                service, record(name), at(2027, 1, 5), at(2027, 1, 5, 1)
            )
        texts.append((await service.render("2027-01")).unwrap())
    assert texts[0] == texts[1]


async def test_run_written_twice_counts_once() -> None:
    """Guards against charging a run twice.

    A lost answer, or a new owner of the gang, makes an instance write it again.
    """
    accounts = Accounts(at(2027, 1, 5))
    times = at(2027, 1, 4), at(2027, 1, 4, 1)
    for service in (accounts.service(), accounts.service("entry-2")):
        await accounts.write_run(service, record(), *times)
    text = (await accounts.service().render("2027-01")).unwrap()
    assert text.count("job-1 ") == 1


async def test_batch_whose_answer_was_lost_counts_once() -> None:
    """Guards against counting requests twice.

    The batch is committed but the answer is lost, so the next flush writes it again.
    """
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


async def test_batch_with_unknown_outcome_when_its_month_is_closed() -> None:
    """Guards against counting a batch both in its month and as an adjustment.

    The answer to the write is lost and the month is closed before the next attempt,
    which would then use a key in the following month.
    """
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


async def test_counts_are_kept_during_an_outage() -> None:
    """Guards against losing counts when a write fails because the table is down."""
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
    """Guards against two instances storing different accounts of a month.

    The second instance does not know that the first has closed the month.
    """
    accounts = Accounts(at(2027, 2, 1, 0, 1))
    first, second = accounts.service(), accounts.service("entry-2")
    await accounts.write_run(first, record(), at(2027, 1, 4), at(2027, 1, 4, 1))
    text = (await first.close("2027-01")).unwrap()
    assert (await second.close("2027-01")).unwrap() == text
    # A run of January that is written now is refused there and booked in February.
    late = replace(record("late"))
    assert await accounts.write_run(second, late, at(2027, 1, 5), at(2027, 1, 5, 1))
    assert (await second.render("2027-01")).unwrap() == text
    assert "late" in (await second.render("2027-02")).unwrap()


async def test_closing_can_be_retried_after_an_object_store_failure() -> None:
    """Guards against a month that can never be closed.

    The object store fails after closing has begun, and another instance retries.
    """
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


async def test_damaged_account_is_not_returned() -> None:
    """Guards against returning a stored account whose bytes were altered."""
    accounts = Accounts(at(2027, 2, 1))
    service = accounts.service()
    assert isinstance(await service.close("2027-01"), Success)
    accounts.objects.objects["account/2027-01"] += b"x"
    assert isinstance(await service.render("2027-01"), Failure)


async def test_closed_month_is_returned_while_the_table_is_down() -> None:
    """Guards against an outage of the table making a closed month unavailable."""
    accounts = Accounts(at(2027, 2, 1))
    service = accounts.service()
    text = (await service.close("2027-01")).unwrap()
    accounts.table.fault = Fault.DOWN
    assert (await service.render("2027-01")).unwrap() == text


async def test_time_zone_is_stored_once() -> None:
    """Guards against a changed setting that moves the boundaries of the months."""
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
