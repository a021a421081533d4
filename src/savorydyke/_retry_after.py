"""The ``Retry-After`` header of endpoints that reject requests (RFC 9110, 10.2.3)."""

import math
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from savorydyke._untrusted import raises_only

MAX_PAUSE_S = 300.0
"""Longest pause that an endpoint may ask for. A faulty value must not exclude it for
good."""


class BadRetryAfterError(ValueError):
    """Raised when a value is neither a number of seconds nor a date."""


@raises_only(BadRetryAfterError)
def parse_retry_after(value: str, sent: str) -> float:
    """Return the seconds to wait, at most `MAX_PAUSE_S`.

    Parameters
    ----------
    value : str
        A number of seconds, possibly with a fraction, or a date.
    sent : str
        The ``Date`` header of the same answer, empty if absent. A date is relative
        to it, or else to the time of day here.

    Raises
    ------
    BadRetryAfterError
        If the value is neither, or is negative.
    """
    seconds = _seconds(value)
    if seconds is None:
        until = _date(value)
        if until is None:
            raise BadRetryAfterError(f"neither seconds nor a date: {value!r}")
        now = _date(sent) or datetime.now(UTC)
        seconds = max(0.0, (until - now).total_seconds())
    if math.isnan(seconds) or seconds < 0:
        raise BadRetryAfterError(f"not a time to wait: {value!r}")
    return min(seconds, MAX_PAUSE_S)


def _seconds(value: str) -> float | None:
    try:
        return float(value)
    except ValueError:
        return None


def _date(value: str) -> datetime | None:
    try:
        found = parsedate_to_datetime(value)
    except ValueError:
        return None
    return found if found.tzinfo else found.replace(tzinfo=UTC)
