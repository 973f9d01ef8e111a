"""Rows and transactions of the table service stand-in, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretloft._internal.platform.protocols import (
    Committed,
    Row,
    Scan,
    Transaction,
)

REMEMBERED_OPERATIONS = 8


@dataclass(slots=True)
class TableState:
    """All rows of the table; ``version`` is the number of the last commit."""

    version: int = 0
    rows: dict[str, Row] = field(default_factory=dict)
    reads: int = 0
    commits: int = 0

    def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` if it is absent or deleted."""
        self.reads += 1
        row = self.rows.get(key)
        return row if row is not None and row.value is not None else None

    def scan(self, prefix: str, after_version: int) -> Scan:
        """Return rows under the prefix changed after the version, in key order."""
        self.reads += 1
        rows = (
            row
            for key, row in sorted(self.rows.items())
            if key.startswith(prefix)
            and row.version > after_version
            and (row.value is not None or after_version > 0)
        )
        return Scan(tuple(rows), self.version)

    def commit(self, transaction: Transaction) -> Committed | None:
        """Apply the transaction; ``None`` when a check does not hold."""
        for check in transaction.checks:
            row = self.rows.get(check.key)
            present = row is not None and row.value is not None
            if (row.version if row is not None and present else 0) != check.version:
                return None
        self.commits += 1
        self.version += 1
        for write in transaction.writes:
            former = self.rows.get(write.key)
            operations = former.operations if former is not None else ()
            operations = (*operations, transaction.operation_id)
            self.rows[write.key] = Row(
                write.key,
                write.value,
                self.version,
                operations[-REMEMBERED_OPERATIONS:],
            )
        return Committed(self.version)
