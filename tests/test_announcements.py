"""Tests of how soon the agents of many hosts hear of a new leader."""

import threading

from egretcrank.controller.announcements import ANNOUNCERS, announce
from egretcrank.scheduling.hosts import HostState
from tests.cases import AsyncTestCase

TIMEOUT_SECONDS = 20


class AnnouncementTests(AsyncTestCase):
    """Hosts that have not attached."""

    def test_hosts_are_told_side_by_side(self):
        """Guards against 160 hosts that are told in turn, which takes 8 s."""
        together = threading.Barrier(ANNOUNCERS)
        hosts = [HostState(f"h{n}", f"h{n}:1") for n in range(2 * ANNOUNCERS)]

        def tell(host: HostState) -> None:
            together.wait(TIMEOUT_SECONDS)
            host.attached = True

        announce(lambda: [host for host in hosts if not host.attached], tell)
        self.assertTrue(all(host.attached for host in hosts))

    def test_a_host_that_has_attached_meanwhile_is_not_told(self):
        """Guards against connections that serve nothing."""
        hosts = [HostState(f"h{n}", f"h{n}:1") for n in range(40)]
        told = []

        def tell(host: HostState) -> None:
            told.append(host)
            for other in hosts:
                other.attached = True

        rounds = iter([hosts, []])
        announce(lambda: next(rounds), tell)
        self.assertLessEqual(len(told), ANNOUNCERS)
