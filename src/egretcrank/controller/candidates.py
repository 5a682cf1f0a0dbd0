"""Choice of the controller that leads, among the members of the group."""

from collections.abc import Iterable
from typing import NamedTuple
from uuid import uuid4

from egretcrank.platform.store import SlotOwner
from egretcrank.settings.platform import LimitSettings

# What the leader of 72 hosts takes, doubled for bursts: it was seen at 0.25 of a core.
# Its rate was not measured; leaders on links of 10 Mbit/s, played at half, lost their
# membership again and again, those on 200 Mbit/s did not.
LEADER_CORES = 0.5
LEADER_LINK_MEGABITS = 50.0
MOST_FITNESS = 100
SEPARATOR = "#"


class Candidate(NamedTuple):
    """A member of the group that holds at least one slot.

    ``fitness`` is the share of a leader's needs that its machine has, in percent;
    ``slot`` is its lowest slot, which no other member of the same generation holds.
    """

    member: str
    address: str
    fitness: int
    slot: int


def find_fitness(limits: LimitSettings) -> int:
    """Return the share of a leader's needs that a machine has, in percent."""
    cores = limits.processor_share * limits.processors
    least = min(cores / LEADER_CORES, limits.link_megabits / LEADER_LINK_MEGABITS)
    return int(min(1.0, least) * MOST_FITNESS)


def build_member(address: str, fitness: int) -> str:
    """Return the name under which a process joins the group, new at each start."""
    return SEPARATOR.join((address, str(fitness), uuid4().hex[:8]))


def is_member_at(member: str, address: str) -> bool:
    """Tell whether a member of the group is or was a process at an address."""
    return member.partition(SEPARATOR)[0] == address


def choose_leader(owners: Iterable[SlotOwner], incumbent: str) -> Candidate | None:
    """Choose who leads: the fittest, then the one at address ``incumbent``.

    Answers groups that are dealt anew at any time, and machines of many sizes: a leader
    keeps the cell while it holds any slot, and a machine that is too small for the
    reports of all hosts leads only where no larger one is left.
    """
    candidates: dict[str, Candidate] = {}
    for owner in owners:
        known = candidates.get(owner.member)
        if owner.member and (known is None or owner.slot < known.slot):
            candidates[owner.member] = _parse_member(owner)
    return max(
        candidates.values(),
        key=lambda c: (c.fitness, c.address == incumbent, -c.slot),
        default=None,
    )


def _parse_member(owner: SlotOwner) -> Candidate:
    address, _, rest = owner.member.partition(SEPARATOR)
    fitness = rest.partition(SEPARATOR)[0]
    # A member of an earlier release names no fitness.
    percent = int(fitness) if rest.count(SEPARATOR) and fitness.isdecimal() else 0
    return Candidate(owner.member, address, percent, owner.slot)
