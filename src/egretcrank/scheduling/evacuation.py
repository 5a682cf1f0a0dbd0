"""Evacuation of failure domains: which domains get no new tasks, and since when.

Answers an operator who empties a failure domain while all hosts are loaded: whatever
waits for the domain goes elsewhere at once, and nothing starts there once the time that
the operator was promised has passed. The operator's records are the only state.
"""

import logging
from collections.abc import Iterable, Mapping
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.table import StoredValue

KEY_PREFIX = "evacuate/"

logger = logging.getLogger(__name__)


class Evacuations:
    """Failure domains that the operator has asked to evacuate.

    Every controller follows the records, so that a new leader knows them.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requested_at: dict[str, timedelta] = {}

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains in which nothing may start."""
        return frozenset(self._requested_at)

    def apply(self, records: Iterable[StoredValue], is_complete: bool = False) -> bool:
        """Apply records of the operator's topic; return whether a domain changed.

        The key alone is the request. A value that cannot be read must not divide the
        controllers that know the record before it from those that do not.
        ``is_complete`` tells that the records are the newest of all keys. A domain
        without one has been taken back, even if that record has expired.
        """
        before = self.domains
        listed: set[str] = set()
        for record in records:
            if not record.key.startswith(KEY_PREFIX):
                continue
            domain = record.key.removeprefix(KEY_PREFIX)
            if not domain:
                logger.error(
                    "request to evacuate refused",
                    extra={
                        "key": record.key,
                        "offset": record.offset,
                        "detail": "the key names no failure domain",
                        "expected": f"{KEY_PREFIX}DOMAIN",
                    },
                )
            elif record.value:
                listed.add(domain)
                self._request(domain)
            else:
                self._take_back(domain)
        if is_complete:
            for domain in before - listed:
                self._take_back(domain)
        return self.domains != before

    def _request(self, domain: str) -> None:
        if domain not in self._requested_at:
            self._requested_at[domain] = self._clock.boottime()
            logger.warning("failure domain is evacuated", extra={"domain": domain})

    def _take_back(self, domain: str) -> None:
        requested_at = self._requested_at.pop(domain, None)
        if requested_at is None:
            return
        lasted = self._clock.boottime() - requested_at
        logger.warning(
            "failure domain is taken back",
            extra={"domain": domain, "seconds": lasted.total_seconds()},
        )


def list_evacuated(
    hosts: Mapping[str, HostState], domains: frozenset[str]
) -> list[HostState]:
    """Return the hosts in evacuated failure domains."""
    return [host for host in hosts.values() if is_evacuated(host, domains)]


def is_evacuated(host: HostState, domains: frozenset[str]) -> bool:
    """Return whether nothing may start on a host, by its runner's failure domain."""
    return host.runner is not None and host.runner.failure_domain in domains
