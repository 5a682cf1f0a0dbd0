"""Owners of partitions, folded from the ``owners`` stream."""

from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.stream.reader import Verdict
from egretcrank.stream.records import OwnerClaim, OwnerRelease, Record


@dataclass(frozen=True, slots=True)
class Owner:
    """Holder of a partition since the claim at ``offset``."""

    partition: int
    epoch: int
    host: str
    incarnation: int
    address: str
    offset: int
    released: bool = False
    clean: bool = False
    former_host: str = ""
    former_clean: bool = False


class OwnersState:
    """Table of owners; the first valid claim of each epoch wins."""

    def __init__(self) -> None:
        self._owners: dict[int, Owner] = {}

    def find_owner(self, partition: int) -> Owner | None:
        """Return the last claimant of a partition, also if it has released it."""
        return self._owners.get(partition)

    def list_owners(self) -> tuple[Owner, ...]:
        """Return all owners by partition."""
        return tuple(self._owners[p] for p in sorted(self._owners))

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a claim or a release."""
        match record:
            case OwnerClaim():
                return self._apply_claim(offset, record)
            case OwnerRelease():
                return self._apply_release(record)
            case _:
                return Failure(_describe(f"{type(record).__name__} is not expected"))

    def _apply_claim(self, offset: int, claim: OwnerClaim) -> Verdict:
        current = self._owners.get(claim.partition)
        epoch = current.epoch if current else 0
        if claim.epoch != epoch + 1:
            detail = (
                f"claim of partition {claim.partition} with epoch {claim.epoch}, "
                f"but its epoch is {epoch}"
            )
            return Failure(Problem(ErrorKind.STALE_EPOCH, detail))
        self._owners[claim.partition] = Owner(
            claim.partition,
            claim.epoch,
            claim.host,
            claim.incarnation,
            claim.address,
            offset,
            former_host=current.host if current else "",
            former_clean=current.clean if current else True,
        )
        return Success(None)

    def _apply_release(self, release: OwnerRelease) -> Verdict:
        current = self._owners.get(release.partition)
        if (
            current is None
            or (current.epoch, current.host) != (release.epoch, release.host)
            or current.released
        ):
            detail = f"release of partition {release.partition} by {release.host}"
            return Failure(Problem(ErrorKind.STALE_EPOCH, detail))
        self._owners[release.partition] = replace(
            current, released=True, clean=release.clean
        )
        return Success(None)

    def build_state(self) -> bytes:
        """Encode the table."""
        return msgspec.msgpack.encode(self.list_owners())

    def load_state(self, data: bytes) -> Verdict:
        """Replace the table."""
        try:
            owners = msgspec.msgpack.decode(data, type=tuple[Owner, ...])
        except msgspec.MsgspecError as error:
            return Failure(_describe(f"owners are malformed: {error}"))
        self._owners = {owner.partition: owner for owner in owners}
        return Success(None)


def _describe(detail: str) -> Problem:
    return Problem(ErrorKind.INVALID_RECORD, detail, "owners")
