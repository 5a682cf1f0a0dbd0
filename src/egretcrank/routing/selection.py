"""Choice of an upstream for a request."""

import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import NamedTuple

from egretcrank.membership.directory import ALIVE
from egretcrank.wire.messages import Member, MemberStatus

# A host of the own failure domain is preferred until it is this much more loaded, as a
# share of its slots; crossing domains costs 1 to 1.5 ms each way.
LOCALITY_ADVANTAGE = 0.25


class Choice(NamedTuple):
    """The chosen member, the load it was judged by, and the other candidates."""

    member: Member
    load: float
    alternatives: tuple[str, ...]


class Selector:
    """Chooses the better of two random candidates by load and locality."""

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        self._failure_domain = failure_domain
        self._random = generator
        self._in_flight: Counter[str] = Counter()

    def begin(self, host: str) -> None:
        """Count a request that is sent to ``host``."""
        self._in_flight[host] += 1

    def end(self, host: str) -> None:
        """Count the end of a request that was sent to ``host``."""
        self._in_flight[host] -= 1
        if self._in_flight[host] <= 0:
            del self._in_flight[host]

    def choose(
        self,
        service: str,
        members: Sequence[MemberStatus],
        excluded: Collection[str] = (),
    ) -> Choice | None:
        """Choose a member that answers ``service``; ``None`` if there is none."""
        candidates = [
            status.member
            for status in members
            if status.liveness == ALIVE
            and status.member.state == "serving"
            and service in status.member.services
            and status.member.host not in excluded
        ]
        if not candidates:
            return None
        pair = self._random.sample(candidates, min(2, len(candidates)))
        best = min(pair, key=self._score)
        return Choice(
            best,
            self.estimate_load(best),
            tuple(member.host for member in candidates if member is not best),
        )

    def estimate_load(self, member: Member) -> float:
        """Return requests on a host as a share of its slots.

        The announced figure is up to seconds old; own requests in flight are not.
        """
        announced = member.slots_busy + member.queued
        busy = max(announced, self._in_flight[member.host])
        return busy / max(1, member.slots)

    def _score(self, member: Member) -> float:
        local = member.failure_domain == self._failure_domain
        return self.estimate_load(member) - (LOCALITY_ADVANTAGE if local else 0.0)
