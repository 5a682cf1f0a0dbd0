"""Selection of a host for a request."""

import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import NamedTuple

from egretcrank.membership.directory import ALIVE
from egretcrank.wire.messages import Member, MemberStatus

# The load of an idle host in the local failure domain is reduced by this share of its
# slots, because crossing failure domains costs 1 to 1.5 ms each way. The bonus falls to
# 0 at MAX_LOCALITY_LOAD, because waiting for a slot costs more than crossing.
LOCALITY_BONUS = 0.25
MAX_LOCALITY_LOAD = 0.75
# Age at which the announced load of other senders counts half; it counts less later.
LOAD_HALF_LIFE_SECONDS = 1.0
# Bounds the size of decision log lines, which would otherwise grow with the cluster.
MAX_LOGGED_ALTERNATIVES = 3


class Choice(NamedTuple):
    """The chosen member, its estimated load, and some of the other candidates.

    Loads are shares of a host's slots. ``alternative_load`` is that of the candidate
    that the member was compared with. ``candidates`` is the number of candidates and
    ``local`` whether the member is in the failure domain of the sender.
    """

    member: Member
    load: float
    alternatives: tuple[str, ...]
    alternative_load: float = 0.0
    candidates: int = 1
    local: bool = False


class _ObservedLoad(NamedTuple):
    """Load of other senders on a host at the time of an announcement.

    ``other_load`` is a share of the host's slots.
    """

    incarnation: int
    sequence: int
    other_load: float


class Selector:
    """Chooses the better of two random candidates by load and locality.

    The first candidate is from the local failure domain if it has any. An announced
    load can be seconds old: the part of this sender is replaced by its current count,
    and the part of other senders decays towards the mean of all hosts with age, so that
    many senders do not choose the same host because of one stale value.
    """

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        self._failure_domain = failure_domain
        self._random = generator
        self._in_flight: Counter[str] = Counter()
        self._observed_loads: dict[str, _ObservedLoad] = {}
        self._members: Sequence[MemberStatus] = ()
        self._silent_seconds: dict[str, float] = {}
        self._candidates: dict[str, tuple[list[Member], list[Member]]] = {}
        self._mean_other_load = 0.0

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
        """Choose a member that serves ``service``; return ``None`` if there is none."""
        if members is not self._members:
            self._observe(members)
        candidates, local_candidates = self._find_candidates(service)
        if excluded:
            candidates = [m for m in candidates if m.host not in excluded]
            local_candidates = [m for m in local_candidates if m.host not in excluded]
        if not candidates:
            return None
        first = self._random.choice(local_candidates or candidates)
        second = self._random.choice(candidates)
        if second is first and len(candidates) > 1:
            second = self._choose_other(candidates, first)
        best, other = first, second
        if self._score(second) < self._score(first):
            best, other = second, first
        return Choice(
            best,
            self.estimate_load(best),
            self._list_alternatives(candidates, best, other),
            self.estimate_load(other),
            len(candidates),
            best.failure_domain == self._failure_domain,
        )

    def _choose_other(self, candidates: list[Member], first: Member) -> Member:
        other = self._random.randrange(len(candidates) - 1)
        return candidates[other] if candidates[other] is not first else candidates[-1]

    @staticmethod
    def _list_alternatives(
        candidates: list[Member], best: Member, other: Member
    ) -> tuple[str, ...]:
        names = [other.host] if other is not best else []
        for member in candidates:
            if len(names) >= MAX_LOGGED_ALTERNATIVES:
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
            local_candidates = [
                m for m in candidates if m.failure_domain == self._failure_domain
            ]
            found = self._candidates[service] = (candidates, local_candidates)
        return found

    def _observe(self, members: Sequence[MemberStatus]) -> None:
        self._members = members
        self._candidates.clear()
        self._silent_seconds = {s.member.host: s.silent_seconds for s in members}
        for status in members:
            member = status.member
            known = self._observed_loads.get(member.host)
            if known is not None and known[:2] == (member.incarnation, member.sequence):
                continue
            announced = member.slots_busy + member.queued
            other_load = max(0.0, announced - self._in_flight[member.host])
            share = other_load / max(1, member.slots)
            self._observed_loads[member.host] = _ObservedLoad(
                member.incarnation, member.sequence, share
            )
        for host in self._observed_loads.keys() - self._silent_seconds.keys():
            del self._observed_loads[host]
        # Only live hosts count: the hosts of a disconnected rack appear idle.
        shares = [
            self._observed_loads[status.member.host].other_load
            for status in members
            if status.liveness == ALIVE
        ]
        self._mean_other_load = sum(shares) / len(shares) if shares else 0.0

    def estimate_load(self, member: Member) -> float:
        """Return the estimated requests on a host as a share of its slots."""
        own_load = self._in_flight.get(member.host, 0) / max(1, member.slots)
        observed = self._observed_loads.get(member.host)
        if observed is None:
            return own_load + (member.slots_busy + member.queued) / max(1, member.slots)
        age = self._silent_seconds.get(member.host, 0.0)
        weight = LOAD_HALF_LIFE_SECONDS / (LOAD_HALF_LIFE_SECONDS + age)
        return (
            own_load
            + weight * observed.other_load
            + (1 - weight) * self._mean_other_load
        )

    def _score(self, member: Member) -> float:
        load = self.estimate_load(member)
        if member.failure_domain != self._failure_domain:
            return load
        return load - LOCALITY_BONUS * max(0.0, 1 - load / MAX_LOCALITY_LOAD)
