"""Times and limits of the fleet scheduler."""

from __future__ import annotations

# Lease that a renewal grants to all runs of a target, in seconds. It outlasts the
# change of the leader; a lost target's tasks wait this long before they start again.
LEASE_SECONDS = 3.5
# An order to start is refused by the target after this time, so that a copy that is
# carried out late has no effect.
START_EXPIRY_SECONDS = 1.0
# Rate error of a target's clock.
CLOCK_RATE_ERROR = 0.02
# Added to every bound that is computed from another clock.
CLOCK_MARGIN_SECONDS = 0.1
# Longest wait of a lease renewal for an end.
RENEWAL_WAIT_SECONDS = 1.0
# Time beyond the wait after which a renewal counts as lost.
RENEWAL_ANSWER_SECONDS = 0.6
# A start or a stop without an answer is sent again after this time.
ORDER_ANSWER_SECONDS = 0.3
# The leader renews its heartbeat this often.
HEARTBEAT_SECONDS = 0.3
# A heartbeat that is unchanged for this long lets another instance take over. A leader
# that cannot confirm its leadership for as long gives no orders and renews no leases.
HEARTBEAT_TIMEOUT_SECONDS = 1.0
# While the store is slow, both last this many of its delays longer.
DELAYS_PER_HEARTBEAT = 3.0
# Longest extension, so that leases outlast the change of the leader.
LONGEST_EXTENSION_SECONDS = 1.5
# A gap between two ticks that shows that the process was suspended.
SUSPENSION_SECONDS = 0.6
# The leader looks at its tables this often without a reason.
TICK_SECONDS = 0.05
# Changes that arrive within this time are handled by one tick.
TICK_DELAY_SECONDS = 0.004
# Wait of one call to a feed; a silent connection is found this much later.
FEED_WAIT_SECONDS = 1.0
FEED_ANSWER_SECONDS = 0.7
# Each check-in of a target is a change, so the leader takes them in groups.
TARGET_FEED_PAUSE_SECONDS = 0.15
# Instances that follow each heartbeat, so as to take over at once. The others look less
# often, which saves most of a large deployment's calls.
CLOSE_CANDIDATES = 4
DISTANT_FEED_PAUSE_SECONDS = 0.8
STORE_CALL_SECONDS = 1.0
FEED_RETRY_SECONDS = 0.2
# The state of an ended job is known to callers for at least this long.
RETENTION_SECONDS = 600.0
# Rows of one transaction, below the store's limit of 100 entries of all kinds.
ROWS_PER_TRANSACTION = 40

TABLE_JOBS = "jobs"
TABLE_CONTROL = "control"
TABLE_TARGETS = "targets"
# All rows of the leader share one partition, so that each of its writes can depend on
# its own row.
PARTITION = "egretloft"
# Accepted jobs and cancel requests are spread, as the store applies the writes of one
# partition one after the other and a slow store then refuses most of them.
JOB_PARTITIONS = tuple(f"egretloft-jobs-{number:02}" for number in range(16))
KEY_LEADER = "leader"
KEY_HEARTBEAT = "heartbeat"
INSTANCE_PREFIX = "instance/"
CANCEL_SUFFIX = ".c"
PROGRESS_SUFFIX = ".p"
# Sorts directly after the suffixes of a job's rows.
JOB_RANGE_END = "/"
