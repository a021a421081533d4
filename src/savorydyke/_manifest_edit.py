"""Small edits of a manifest's text: draining and approvals.

An edit keeps all values; comments are lost, since the result is written anew.
The pipeline that generates manifests should be told of an edit as well.
"""

import json
from typing import Any

from savorydyke._exceptions import SavorydykeError
from savorydyke._jsonc import JsonSyntaxError, parse


class EditError(SavorydykeError):
    """Raised when an edit names something that the manifest does not have."""


def set_drained(text: str, endpoint: str, drained: bool) -> str:
    """Return the manifest with an endpoint drained or not.

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
    """Return the manifest with an approval given, or withdrawn if `by` is None.

    Raises
    ------
    EditError
        If there is no such approval to withdraw.
    """
    value = _parse(text)
    approvals = value.get("approvals", [])
    place = {"team": team, "pool": pool, "owner": owner}
    kept = [a for a in approvals if not place.items() <= a.items()]
    if by is None and len(kept) == len(approvals):
        raise EditError(f"{owner!r} has not approved {team!r} for pool {pool!r}")
    if by is not None:
        kept.append({**place, "by": by, "at": at})
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
