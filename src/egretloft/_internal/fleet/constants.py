"""Timeouts, limits, table names and keys of the fleet scheduler."""

from __future__ import annotations

# Lease that a renewal grants to all runs of a target. It outlasts a change of leader;
# the tasks of an unreachable target wait this long before they are started elsewhere.
LEASE_SECONDS = 3.5
# A target refuses a start order after this time, so that a copy that is delivered late
# has no effect.
START_EXPIRY_SECONDS = 1.0
# Assumed bound on the relative rate error of a target's clock.
CLOCK_RATE_ERROR = 0.02
# Safety margin of every bound that is computed from another machine's clock.
CLOCK_MARGIN_SECONDS = 0.1
# A renewal is a long poll: the target waits up to this long for a run to end.
RENEWAL_WAIT_SECONDS = 1.0
# A renewal times out this long after the wait.
RENEWAL_TIMEOUT_SECONDS = 0.6
# A call without an answer may be carried out up to this long after its timeout.
MAX_CALL_DELAY_SECONDS = 12.0
# Timeout of one start or stop; an order without an answer is sent again.
ORDER_TIMEOUT_SECONDS = 0.3
# Period of the leader's heartbeat.
HEARTBEAT_SECONDS = 0.3
# Another instance takes over when the heartbeat has not changed for this long. A leader
# that has not confirmed its leadership within this time sends no orders and renews no
# leases.
HEARTBEAT_TIMEOUT_SECONDS = 1.0
# While the store is slow, the heartbeat timeout is extended by this many times its
# delay.
STORE_DELAY_FACTOR = 3.0
# Upper bound of that extension, so that leases outlast a change of leader.
MAX_TIMEOUT_EXTENSION_SECONDS = 1.5
# A longer gap between two ticks means that the process was suspended.
SUSPENSION_SECONDS = 0.6
# The scheduling loop ticks this often even if nothing has changed.
TICK_SECONDS = 0.05
# Delay before a tick, so that it handles all changes that arrive within this time.
TICK_DELAY_SECONDS = 0.004
# A feed call is a long poll: the store waits up to this long for a change. It may take
# as much longer until a broken connection is detected.
FEED_WAIT_SECONDS = 1.0
# A feed call times out this long after the wait.
FEED_TIMEOUT_SECONDS = 0.7
# Every check-in of a target changes its row, so the leader reads changes in batches.
TARGET_FEED_PAUSE_SECONDS = 0.15
# This many top-ranked candidates follow every heartbeat, so that they can take over at
# once. The others poll with a pause, which saves most of the store calls of a large
# deployment.
MAX_PROMPT_CANDIDATES = 4
DISTANT_FEED_PAUSE_SECONDS = 0.8
# A leader starts nothing if it has not known for this long whether what operators ask
# for, and what targets say of themselves, still holds. A start may be carried out
# START_EXPIRY_SECONDS later; an evacuation has to hold within 5 s, and a room that has
# shrunk within 4.5 s.
MAX_KNOWLEDGE_AGE_SECONDS = 3.5
# Timeout of one read or commit of the store.
STORE_CALL_TIMEOUT_SECONDS = 1.0
FEED_RETRY_SECONDS = 0.2
# Callers can query the state of an ended job for at least this long.
RETENTION_SECONDS = 600.0
# The store refuses a transaction with more entries; conditions count as entries.
ENTRIES_PER_TRANSACTION = 100

TABLE_JOBS = "jobs"
TABLE_CONTROL = "control"
TABLE_TARGETS = "targets"
# All rows that the leader writes are in one partition, so that each of its transactions
# can be conditional on the leader row.
PARTITION = "egretloft"
# Accepted jobs and cancel requests are spread over partitions: the store applies the
# writes of one partition one after the other and, when slow, refuses most of them.
JOB_PARTITIONS = tuple(f"egretloft-jobs-{number:02}" for number in range(16))
KEY_LEADER = "leader"
KEY_HEARTBEAT = "heartbeat"
INSTANCE_PREFIX = "instance/"
CANCEL_SUFFIX = ".c"
PROGRESS_SUFFIX = ".p"
# Sorts directly after the suffixes of a job's rows.
JOB_RANGE_END = "/"
