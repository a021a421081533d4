"""Small edits of a manifest's text: draining and approvals.

An edit keeps all values but loses comments, since the result is serialised again.
If manifests are generated, the same change has to be made in their source, or the
next generated one reverts the edit.
"""

import json
from typing import Any

from savorydyke._exceptions import SavorydykeError
from savorydyke._jsonc import JsonSyntaxError, parse


class EditError(SavorydykeError):
    """Raised when an edit refers to an item that the manifest does not contain."""


def set_drained(text: str, endpoint: str, drained: bool) -> str:
    """Return the manifest with the `drained` flag of an endpoint changed.

    Raises
    ------
    EditError
        If there is no such endpoint.
    """
    value = _parse(text)
    for item in value.get("endpoints", []):
        if item.get("name") == endpoint:
            item["drained"] = drained
            return json.dumps(value, indent=2)
    raise EditError(f"no endpoint named {endpoint!r}")


def set_approval(
    text: str, team: str, pool: str, owner: str, by: str | None, at: str
) -> str:
    """Return the manifest with an approval added, or removed if `by` is None.

    Raises
    ------
    EditError
        If there is no such approval to remove.
    """
    value = _parse(text)
    approvals = value.get("approvals", [])
    scope = {"team": team, "pool": pool, "owner": owner}
    kept = [a for a in approvals if not scope.items() <= a.items()]
    if by is None and len(kept) == len(approvals):
        raise EditError(f"{owner!r} has not approved {team!r} for pool {pool!r}")
    if by is not None:
        kept.append({**scope, "by": by, "at": at})
    value["approvals"] = kept
    return json.dumps(value, indent=2)


def _parse(text: str) -> dict[str, Any]:
    try:
        value = parse(text).value
    except JsonSyntaxError as error:
        raise EditError(f"the manifest in force can not be read: {error}") from None
    if not isinstance(value, dict):
        raise EditError("the manifest in force is not an object")
    return value
