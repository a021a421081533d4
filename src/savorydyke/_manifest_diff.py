"""Differences between two manifests, item by item."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from savorydyke._manifest import Manifest


class ChangeKind(Enum):
    """What happened to an item."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True)
class Change:
    """One difference.

    Attributes
    ----------
    item : str
        Kind and name of the item, such as ``team drivers``.
    detail : str
        The fields that changed, with their values before and after.
    """

    kind: ChangeKind
    item: str
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.kind.value} {self.item}"
        return f"{text}: {self.detail}" if self.detail else text


def diff(old: Manifest, new: Manifest) -> list[Change]:
    """Return the changes that lead from `old` to `new`.

    Examples
    --------
    >>> diff(manifest, manifest)  # doctest: +SKIP
    []
    """
    changes: list[Change] = []
    for name in ("tiers", "teams", "pools", "endpoints"):
        kind = name.removesuffix("s")
        changes += _diff_items(kind, getattr(old, name), getattr(new, name))
    changes += _diff_items("access", _by_scope(old.access), _by_scope(new.access))
    old_approvals = {(a.team, a.pool, a.owner): a for a in old.approvals}
    new_approvals = {(a.team, a.pool, a.owner): a for a in new.approvals}
    changes += _diff_items("approval", old_approvals, new_approvals)
    return changes


def _by_scope(items: tuple[Any, ...]) -> dict[tuple, Any]:
    return {(item.team, item.pool, item.endpoints): item for item in items}


def _diff_items(kind: str, old: dict, new: dict) -> Iterator[Change]:
    for key in sorted(new.keys() - old.keys()):
        yield Change(ChangeKind.ADDED, f"{kind} {_name(key)}")
    for key in sorted(old.keys() - new.keys()):
        yield Change(ChangeKind.REMOVED, f"{kind} {_name(key)}")
    for key in sorted(old.keys() & new.keys()):
        before, after = vars(old[key]), vars(new[key])
        fields = [
            "keys" if name == "keys" else f"{name} {before[name]!r} -> {after[name]!r}"
            for name in before
            if before[name] != after[name]
        ]
        if fields:
            yield Change(ChangeKind.CHANGED, f"{kind} {_name(key)}", ", ".join(fields))


def _name(key: Any) -> str:
    if not isinstance(key, tuple):
        return str(key)
    parts = [",".join(part) if isinstance(part, tuple) else part for part in key]
    return " ".join(parts)
