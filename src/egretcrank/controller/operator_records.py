"""The operator's records: configurations and requests to evacuate failure domains."""

import logging
from collections.abc import Callable
from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.clock import Clock
from egretcrank.controller.tail import Tail
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.manifest import (
    CONFIGURATION_KEY,
    OPERATOR_PARTITION,
    OPERATOR_TOPIC,
    parse_manifest,
)
from egretcrank.platform.store import Store
from egretcrank.scheduling.catalog import EMPTY_CATALOG, Catalog
from egretcrank.scheduling.evacuation import Evacuations
from egretcrank.scheduling.table import StoredValue

logger = logging.getLogger(__name__)


class OperatorRecords:
    """Follows the operator's topic on a thread of its own.

    ``on_catalog`` and ``on_evacuations`` are called with what is in force after each
    change. A compacted read lists all keys, so it shows what was deleted, too.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        on_catalog: Callable[[Catalog], None],
        on_evacuations: Callable[[frozenset[str]], None],
    ) -> None:
        self._metrics = metrics
        self._on_catalog = on_catalog
        self._on_evacuations = on_evacuations
        self._catalog = EMPTY_CATALOG
        self._evacuations = Evacuations(clock)
        self._evacuated: frozenset[str] = frozenset()
        self._tail = Tail(
            store,
            OPERATOR_TOPIC,
            OPERATOR_PARTITION,
            clock,
            self.apply,
            on_newest=self.apply_newest,
        )

    @property
    def proven_at(self) -> timedelta | None:
        """Time before which all records stored have been applied, None if unknown."""
        return self._tail.proven_at

    def set_urgent(self, urgent: bool) -> None:
        """Read without pauses, as starts depend on the age of the view, or with."""
        self._tail.set_urgent(urgent)

    def run(self) -> None:
        """Follow the records until the process ends."""
        self._tail.run()

    def apply(self, records: tuple[StoredValue, ...]) -> None:
        """Apply new records in their order."""
        self._apply_evacuations(records, is_complete=False)
        self._apply_configurations(records)

    def apply_newest(self, records: tuple[StoredValue, ...]) -> None:
        """Apply the newest record of each key; keys without one were deleted."""
        self._apply_evacuations(records, is_complete=True)
        self._apply_configurations(records)

    def _apply_evacuations(
        self, records: tuple[StoredValue, ...], is_complete: bool
    ) -> None:
        self._evacuations.apply(records, is_complete)
        domains = self._evacuations.domains
        if domains != self._evacuated:
            self._metrics.evacuated_domains.set({}, len(domains))
            self._on_evacuations(domains)
            self._evacuated = domains

    def _apply_configurations(self, records: tuple[StoredValue, ...]) -> None:
        for stored in records:
            if stored.key != CONFIGURATION_KEY or not stored.value:
                continue
            try:
                self._apply_configuration(stored)
            except Exception:
                # As a page is read again until it is handled.
                logger.exception(
                    "configuration failed", extra={"offset": stored.offset}
                )
                self._metrics.log_records.inc({"stream": "operator", "result": "void"})

    def _apply_configuration(self, stored: StoredValue) -> None:
        match parse_manifest(stored.value):
            case Success(catalog) if catalog.version > self._catalog.version:
                self._catalog = catalog
                self._on_catalog(catalog)
                logger.info(
                    "configuration in force",
                    extra={"version": catalog.version, "queues": len(catalog.queues)},
                )
            case Success(catalog):
                logger.info(
                    "ignoring configuration that is not newer",
                    extra={"version": catalog.version},
                )
            case Failure(problem):
                logger.error(
                    "configuration rejected",
                    extra={
                        "detail": problem.detail,
                        "where": problem.where,
                        "expected": problem.expected,
                    },
                )
                self._metrics.refusals.inc(
                    {"source": "configuration", "kind": problem.kind.value}
                )
