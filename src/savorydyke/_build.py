"""Identifies the build that runs, so that logs tell which code wrote them."""

import hashlib
from functools import cache
from pathlib import Path

DIGEST_BYTES = 6


@cache
def build_digest() -> str:
    """Return a digest of the package's sources, the same wherever it is installed."""
    package = Path(__file__).parent
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for path in sorted(package.rglob("*.py")):
        content = path.read_bytes()
        name = path.relative_to(package).as_posix().encode()
        digest.update(b"%d:%s%d:" % (len(name), name, len(content)))
        digest.update(content)
    return digest.hexdigest()
