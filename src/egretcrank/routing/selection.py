"""Choice of an upstream for a request."""

import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import NamedTuple

from egretcrank.membership.directory import ALIVE
from egretcrank.wire.messages import Member, MemberStatus

# An idle host of the own failure domain is preferred as if it had this share of its
# slots less in use; crossing domains costs 1 to 1.5 ms each way. The advantage ends at
# the limit, because waiting for a slot costs more than crossing.
LOCALITY_ADVANTAGE = 0.25
LOCALITY_LIMIT = 0.75
# The load of other senders is this old or more when it counts half.
HALF_LIFE_SECONDS = 1.0
# Decision lines name this many alternatives; all hosts would make them grow with the
# cluster.
NAMED_ALTERNATIVES = 3


class Choice(NamedTuple):
    """The chosen member, the load it was judged by, and the other candidates."""

    member: Member
    load: float
    alternatives: tuple[str, ...]
    alternative_load: float = 0.0
    candidates: int = 1
    local: bool = False


class _Observed(NamedTuple):
    """Load that others put on a host when it was announced."""

    incarnation: int
    sequence: int
    others: float


class Selector:
    """Chooses the better of two random candidates by load and locality.

    The first candidate is of the own failure domain if there is one. The announced load
    is up to seconds old: the own part of it is replaced by the present count, and the
    part of other senders approaches the mean of all hosts as it ages, so that many
    senders do not follow one stale figure to the same host.
    """

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        self._failure_domain = failure_domain
        self._random = generator
        self._in_flight: Counter[str] = Counter()
        self._observed: dict[str, _Observed] = {}
        self._members: Sequence[MemberStatus] = ()
        self._silent: dict[str, float] = {}
        self._candidates: dict[str, tuple[list[Member], list[Member]]] = {}
        self._mean_others = 0.0

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
        if members is not self._members:
            self._observe(members)
        candidates, near = self._find_candidates(service)
        if excluded:
            candidates = [m for m in candidates if m.host not in excluded]
            near = [m for m in near if m.host not in excluded]
        if not candidates:
            return None
        first = self._random.choice(near or candidates)
        second = self._random.choice(candidates)
        if second is first and len(candidates) > 1:
            second = self._choose_other(candidates, first)
        best, other = first, second
        if self._score(second) < self._score(first):
            best, other = second, first
        return Choice(
            best,
            self.estimate_load(best),
            self._name_alternatives(candidates, best, other),
            self.estimate_load(other),
            len(candidates),
            best.failure_domain == self._failure_domain,
        )

    def _choose_other(self, candidates: list[Member], first: Member) -> Member:
        other = self._random.randrange(len(candidates) - 1)
        return candidates[other] if candidates[other] is not first else candidates[-1]

    @staticmethod
    def _name_alternatives(
        candidates: list[Member], best: Member, other: Member
    ) -> tuple[str, ...]:
        names = [other.host] if other is not best else []
        for member in candidates:
            if len(names) >= NAMED_ALTERNATIVES:
                break
            if member is not best and member is not other:
                names.append(member.host)
        return tuple(names)

    def _find_candidates(self, service: str) -> tuple[list[Member], list[Member]]:
        found = self._candidates.get(service)
        if found is None:
            candidates = [
                status.member
                for status in self._members
                if status.liveness == ALIVE
                and status.member.state == "serving"
                and service in status.member.services
            ]
            near = [m for m in candidates if m.failure_domain == self._failure_domain]
            found = self._candidates[service] = (candidates, near)
        return found

    def _observe(self, members: Sequence[MemberStatus]) -> None:
        self._members = members
        self._candidates.clear()
        self._silent = {s.member.host: s.silent_seconds for s in members}
        for status in members:
            member = status.member
            known = self._observed.get(member.host)
            if known is not None and known[:2] == (member.incarnation, member.sequence):
                continue
            announced = member.slots_busy + member.queued
            others = max(0.0, announced - self._in_flight[member.host])
            share = others / max(1, member.slots)
            self._observed[member.host] = _Observed(
                member.incarnation, member.sequence, share
            )
        for host in self._observed.keys() - self._silent.keys():
            del self._observed[host]
        # A silent host is no measure of the load: a rack that was cut off looks idle.
        shares = [
            self._observed[status.member.host].others
            for status in members
            if status.liveness == ALIVE
        ]
        self._mean_others = sum(shares) / len(shares) if shares else 0.0

    def estimate_load(self, member: Member) -> float:
        """Return requests on a host as a share of its slots."""
        own = self._in_flight.get(member.host, 0) / max(1, member.slots)
        observed = self._observed.get(member.host)
        if observed is None:
            return own + (member.slots_busy + member.queued) / max(1, member.slots)
        age = self._silent.get(member.host, 0.0)
        trust = HALF_LIFE_SECONDS / (HALF_LIFE_SECONDS + age)
        return own + trust * observed.others + (1 - trust) * self._mean_others

    def _score(self, member: Member) -> float:
        load = self.estimate_load(member)
        if member.failure_domain != self._failure_domain:
            return load
        return load - LOCALITY_ADVANTAGE * max(0.0, 1 - load / LOCALITY_LIMIT)
