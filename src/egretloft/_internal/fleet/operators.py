"""Configuration and zone evacuations of the operators, followed by every instance."""

from __future__ import annotations

from dataclasses import replace

import structlog
from returns.result import Failure

from egretloft._internal.fleet.interfaces import RowDecoder, StoredRow
from egretloft._internal.fleet.models import Configuration, OperatorState
from egretloft._internal.fleet.supervision import apply_each
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)


class OperatorView:
    """The newest configuration and the zones that are out of service.

    A configuration is never replaced by an older one.
    """

    def __init__(self, decoder: RowDecoder, metrics: Metrics) -> None:
        self.decoder = decoder
        self.metrics = metrics
        self.state = OperatorState()

    def current(self) -> OperatorState:
        """Return the state that was last read."""
        return self.state

    def on_snapshot(self, rows: tuple[StoredRow, ...]) -> None:
        """Replace the zones and apply the configuration from a snapshot of all rows."""
        # A row without content, or with content that cannot be read, counts as well.
        present = [row for row in rows if row.value is not None]
        zones = {self.decoder.evacuated_zone(row) for row in present}
        self.set_evacuated_zones(frozenset(zone for zone in zones if zone is not None))
        apply_each(rows, self.apply_configuration, self.metrics)

    def on_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changed rows."""
        apply_each(rows, self.on_row, self.metrics)

    def on_row(self, row: StoredRow) -> None:
        """Apply a changed row."""
        zone = self.decoder.evacuated_zone(row)
        if zone is None:
            self.apply_configuration(row)
        elif row.value is None:
            self.set_evacuated_zones(self.state.evacuated_zones - {zone})
        else:
            self.set_evacuated_zones(self.state.evacuated_zones | {zone})

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the zones that are out of service, and log a change."""
        if zones != self.state.evacuated_zones:
            log.info("zones out of service", zones=sorted(zones))
            self.state = replace(self.state, evacuated_zones=zones)

    def apply_configuration(self, row: StoredRow) -> None:
        """Put a configuration in force if it is valid and newer than the last one."""
        if row.value is None:
            return
        result = self.decoder.configuration(row)
        if result is None:
            return
        if isinstance(result, Failure):
            self.metrics.count("configurations_refused")
            log.error(
                "configuration refused", version=row.version, why=result.failure()
            )
            return
        configuration: Configuration = result.unwrap()
        current = self.state.configuration
        if current is not None and current.version >= configuration.version:
            return
        self.state = replace(self.state, configuration=configuration)
        log.info(
            "configuration in force",
            version=configuration.version,
            row_version=row.version,
            bytes=len(row.value),
            queues=len(configuration.queues),
            organisations=len(configuration.organisations),
        )


def create_operator_view(decoder: RowDecoder, metrics: Metrics) -> OperatorView:
    """Return a view without a configuration."""
    return OperatorView(decoder, metrics)
