"""Differences between lists, and their rendering as text."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from egretcrank.lists.entries import RawEntry, RawLists, parse_entry, write_value


class Difference(NamedTuple):
    """Entries to set and keys to remove to get from one version to another."""

    set: dict[str, dict[str, Any]]
    remove: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether both versions are equal."""
        return not self.set and not self.remove


def find_difference(old: RawLists, new: RawLists) -> Difference:
    """Compare two versions of the lists; a missing field equals its default value."""
    changed = {
        key: dict(fields)
        for key, fields in sorted(new.items())
        if key not in old or not _is_equal(key, old[key], fields)
    }
    return Difference(changed, tuple(sorted(old.keys() - new.keys())))


def _is_equal(key: str, old: RawEntry, new: RawEntry) -> bool:
    if dict(old) == dict(new):
        return True
    return parse_entry(key, old, strict=True) == parse_entry(key, new, strict=True)


def render_difference(old: RawLists, difference: Difference) -> str:
    """Render a difference with one line per changed entry and field."""
    lines: list[str] = []
    for key, fields in difference.set.items():
        before = old.get(key)
        lines.append(f"{'+' if before is None else '~'} [{key}]")
        lines += _render_fields(before or {}, fields)
    lines += [f"- [{key}]" for key in difference.remove]
    return "\n".join(lines) if lines else "no difference"


def _render_fields(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    lines = []
    for field in [*new, *(f for f in old if f not in new)]:
        if field in old and field in new and old[field] == new[field]:
            continue
        before = write_value(old[field]) if field in old else "(default)"
        after = write_value(new[field]) if field in new else "(default)"
        lines.append(f"    {field}: {before} -> {after}")
    return lines
