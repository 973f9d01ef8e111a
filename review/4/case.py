"""A submission without an answer, a cancel, and a write that is done late (UNASKED)."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from platform_standins import Deployment, Record, main  # noqa: E402

ROOM = {"cpu": 32_000, "mem_mb": 65_536, "gpus": 8}
RUNNERS = 4
JOB = "00000000000000e0"
PATH = f"/queue-1/{JOB}"
LOST_S = 4.5
LATE_S = 5.9
CANCEL_S = 3.0
KILL_GRACE_S = 0.4
CONTACT_S = 3.0


async def case(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Submit a job while the store loses answers, then cancel it."""
    if not await deployment.start(3, RUNNERS, ROOM):
        return 2
    store = deployment.store
    before = store.writes
    began = record.now()
    if trouble:
        store.late_s = LATE_S
        store.late_keys = {JOB}
        loop = asyncio.get_running_loop()
        loop.call_later(LOST_S - 0.1, store.late_keys.clear)
        record.add("store begins to lose answers")
    await asyncio.sleep(2.3)
    step = {"replicas": 4, "cpu": 4_000, "mem_mb": 4_000, "estimate_ms": 5_000}
    body = {"spec": '{"work_s": 5.0}', "phases": [step]}
    submitted = await deployment.call("POST", PATH, body)
    share = store.lost_writes / max(1, store.writes - before)
    lost_until = began + LOST_S
    record.add("store has lost answers until", at=f"{lost_until:.3f}")
    cancelled = await deployment.call("DELETE", PATH)
    cancelled_at = record.now()
    if cancelled is None or cancelled[0] not in (200, 410):
        return 2
    await asyncio.sleep(12.0)
    calm_from = lost_until + CONTACT_S
    gone_by = max(cancelled_at + CANCEL_S + KILL_GRACE_S, calm_from)
    late = [
        run
        for run in deployment.runs()
        if run.started > max(cancelled_at + CANCEL_S, calm_from)
    ]
    working = [run for run in deployment.runs() if run.ended > gone_by]
    state = await deployment.state(1, JOB)
    record.add(
        "summary",
        submitted=submitted,
        cancelled=cancelled,
        started_later_than_cancel_ms=len(late),
        ran_on_later_than_kill_grace_ms=len(working),
        state=state,
        lost_share=f"{share:.2f}",
    )
    print(
        f"POST {submitted and submitted[0]}, DELETE {cancelled[0]}, "
        f"started later {len(late)}, ran on {len(working)}, "
        f"state {state or 'none'}, lost share {share:.2f}"
    )
    return 1 if late or working else 0


main(case, FOLDER)
