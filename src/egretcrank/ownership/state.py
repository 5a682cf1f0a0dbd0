"""Table of partition owners, replayed from the ``owners`` stream."""

from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.stream.reader import Verdict
from egretcrank.stream.records import OwnerClaim, OwnerRelease, Record
from egretcrank.wire.nesting import DECODE_ERRORS


@dataclass(frozen=True, slots=True)
class Owner:
    """Owner of a partition by the claim at ``offset`` of the stream.

    ``clean`` is set by a release after which no held key is unrecorded; the
    ``former_`` fields describe the previous owner.
    """

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
    """Table of partition owners; the first claim of each epoch is the valid one."""

    def __init__(self) -> None:
        self._owners: dict[int, Owner] = {}

    def find_owner(self, partition: int) -> Owner | None:
        """Return the last owner of a partition, even if it released the partition."""
        return self._owners.get(partition)

    def list_owners(self) -> tuple[Owner, ...]:
        """Return all owners, ordered by partition."""
        return tuple(self._owners[p] for p in sorted(self._owners))

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a claim or a release; fails with ``STALE_EPOCH`` if it is outdated."""
        match record:
            case OwnerClaim():
                return self._apply_claim(offset, record)
            case OwnerRelease():
                return self._apply_release(record)
            case _:
                return Failure(
                    _build_problem(f"{type(record).__name__} is not expected")
                )

    def _apply_claim(self, offset: int, claim: OwnerClaim) -> Verdict:
        current = self._owners.get(claim.partition)
        epoch = current.epoch if current else 0
        if claim.epoch != epoch + 1:
            detail = (
                f"claim of partition {claim.partition} with epoch {claim.epoch}, "
                f"but the current epoch is {epoch}"
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
            detail = f"stale release of partition {release.partition} by {release.host}"
            return Failure(Problem(ErrorKind.STALE_EPOCH, detail))
        self._owners[release.partition] = replace(
            current, released=True, clean=release.clean
        )
        return Success(None)

    def build_state(self) -> bytes:
        """Encode the table for a snapshot."""
        return msgspec.msgpack.encode(self.list_owners())

    def load_state(self, data: bytes) -> Verdict:
        """Replace the table with that of a snapshot."""
        try:
            owners = msgspec.msgpack.decode(data, type=tuple[Owner, ...])
        except DECODE_ERRORS as error:
            return Failure(_build_problem(f"owners snapshot is malformed: {error}"))
        self._owners = {owner.partition: owner for owner in owners}
        return Success(None)


def _build_problem(detail: str) -> Problem:
    return Problem(ErrorKind.INVALID_RECORD, detail, "owners")
