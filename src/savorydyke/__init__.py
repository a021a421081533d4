"""Savorydyke: schedules calling teams' requests onto a shared set of engines.

Examples
--------
>>> import savorydyke
>>> manifest = savorydyke.read_manifest(text)  # doctest: +SKIP
>>> manifest.reachable("drivers", "questions")  # doctest: +SKIP
frozenset({'engine-1', 'engine-2'})
"""

from savorydyke._exceptions import (
    FindingsError,
    HandshakeError,
    PlatformUnavailableError,
    ProtocolError,
    SavorydykeError,
)
from savorydyke._findings import Finding
from savorydyke._keys import hash_key, new_key
from savorydyke._manifest import Manifest, check_manifest, read_manifest
from savorydyke._settings import Settings, check_settings, read_settings

__version__ = "0.1.0"

__all__ = [
    "Finding",
    "FindingsError",
    "HandshakeError",
    "Manifest",
    "PlatformUnavailableError",
    "ProtocolError",
    "SavorydykeError",
    "Settings",
    "check_manifest",
    "check_settings",
    "hash_key",
    "new_key",
    "read_manifest",
    "read_settings",
]
