"""Records on their way to the log, and their division among appends."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from egretcrank.scheduling.records import RecordKey

# The platform accepts 2 MiB per append.
MAX_APPEND_BYTES = 1536 * 1024
# Length that the log keeps in front of each record.
LENGTH_BYTES = 4


@dataclass(slots=True)
class Entry:
    """An encoded record to append.

    ``key`` is set for a record of the leader. The caller that handed in another one is
    told by ``on_result`` whether it is stored.
    """

    record: bytes
    key: RecordKey | None = None
    on_result: Callable[[bool], None] | None = None

    def resolve(self, is_stored: bool) -> None:
        """Answer the caller, unless that was done before."""
        on_result, self.on_result = self.on_result, None
        if on_result is not None:
            on_result(is_stored)


def divide_entries(entries: Iterable[Entry]) -> list[list[Entry]]:
    """Divide records among appends of up to ``MAX_APPEND_BYTES``, in their order.

    A larger record has an append of its own. There is always one append.
    """
    batches: list[list[Entry]] = [[]]
    size = 0
    for entry in entries:
        entry_size = len(entry.record) + LENGTH_BYTES
        size += entry_size
        if batches[-1] and size > MAX_APPEND_BYTES:
            batches.append([])
            size = entry_size
        batches[-1].append(entry)
    return batches


def halve(batch: Sequence[Entry]) -> tuple[Sequence[Entry], Sequence[Entry]]:
    """Divide the records of an append that is too large."""
    middle = len(batch) // 2
    return batch[:middle], batch[middle:]
