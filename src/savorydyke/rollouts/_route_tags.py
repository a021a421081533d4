"""Names a request's route in its key, so that its coordinator can compare by route.

Messages between instances have no field for the route, and earlier builds read no
longer ones. Keys are opaque to them.
"""

import re

from savorydyke._ids import RequestKey

MAX_TAG = 32
UNKNOWN_ROUTE = "(unknown)"
_OTHER = re.compile(r"[^A-Za-z0-9_-]")


def route_tag(name: str) -> str:
    """Return a route's name as it may stand in a key."""
    return _OTHER.sub("_", name[:MAX_TAG])


def route_of_key(key: RequestKey) -> str:
    """Return the tag of the route in a key, `UNKNOWN_ROUTE` if there is none."""
    _, _, rest = key.partition("/")
    attempt = rest.partition("/")[0].split(".")
    return attempt[2] if len(attempt) == 3 and attempt[2] else UNKNOWN_ROUTE
