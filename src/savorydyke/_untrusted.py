"""Reading of what others have written, which may be anything."""

import functools
import ipaddress
import json
import math
import re
from collections.abc import Callable
from typing import Any, ParamSpec, TypeVar

MAX_INTEGER = 2**64 - 1
MAX_PORT = 65_535
MAX_SHOWN = 200
"""Characters of an error that are logged; it may quote all of a record."""
NAME = re.compile(r"[!-.0-~]{1,128}")
"""Visible ASCII characters but for the slash, so that a name fits into a header."""


P = ParamSpec("P")
R = TypeVar("R")


class UnreadableError(ValueError):
    """Raised when a record is not what it should be."""


def raises_only(
    error_type: type[Exception],
) -> Callable[[Callable[P, R]], Callable[P, R]]:
    """Let a parser of untrusted bytes raise one type of error only.

    Libraries raise more than they document on odd input, such as `OverflowError` on
    dates. The message states the type of the original error.

    Parameters
    ----------
    error_type : type
        The parser's own error, which is passed on unchanged.

    Examples
    --------
    >>> @raises_only(UnreadableError)
    ... def parse_port(text):
    ...     return int(text)
    >>> parse_port("x")
    Traceback (most recent call last):
        ...
    savorydyke._untrusted.UnreadableError: ValueError: invalid literal ...
    """

    def decorate(parse: Callable[P, R]) -> Callable[P, R]:
        @functools.wraps(parse)
        def parse_untrusted(*args: P.args, **kwargs: P.kwargs) -> R:
            try:
                return parse(*args, **kwargs)
            except error_type:
                raise
            except Exception as error:
                raise error_type(shown(error)) from error

        return parse_untrusted

    return decorate


@raises_only(UnreadableError)
def parse_json(data: bytes | str) -> Any:
    """Return a JSON value whose numbers are finite and fit into 64 bits.

    Raises
    ------
    UnreadableError
        If `data` is anything else.
    """
    return json.loads(
        data,
        parse_int=_parse_integer,
        parse_float=_parse_float,
        parse_constant=_refuse_constant,
    )


def _parse_integer(text: str) -> int:
    value = int(text)
    if abs(value) > MAX_INTEGER:
        raise UnreadableError("an integer of more than 64 bits")
    return value


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise UnreadableError("a number that is too large")
    return value


def _refuse_constant(text: str) -> float:
    raise UnreadableError(f"{text} is not a number")


def is_name(text: str) -> bool:
    """Return whether a text can be the id of an endpoint or an instance."""
    return NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text is an IP number and a port."""
    host, _, port = text.rpartition(":")
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


def shown(error: Exception) -> str:
    """Return an error's message, cut so that it can be logged."""
    return f"{type(error).__name__}: {error}"[:MAX_SHOWN]
