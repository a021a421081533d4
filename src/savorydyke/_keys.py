"""Bearer keys of calling teams, stored only as salted hashes."""

import hashlib
import hmac
import secrets

SALT_BYTES = 8
KEY_BYTES = 24
SCHEME = "sha256"


def new_key() -> str:
    """Return a new random bearer key."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str, salt: str | None = None) -> str:
    """Return the salted hash of `key` in the manifest's format.

    Keys have 192 random bits, so that a single hash with a salt suffices and no
    slow password hash is needed.

    Examples
    --------
    >>> hash_key("k", "00")
    'sha256:00:449c241b6bb525b9f5eb472e7ef3c8cfa31be0b8e8f9b35aee534dd8ce2e0991'
    """
    salt = secrets.token_hex(SALT_BYTES) if salt is None else salt
    digest = hashlib.sha256(f"{salt}:{key}".encode()).hexdigest()
    return f"{SCHEME}:{salt}:{digest}"


def is_hash(text: str) -> bool:
    """Return whether `text` has the form of a salted hash."""
    parts = text.split(":")
    return len(parts) == 3 and parts[0] == SCHEME and len(parts[2]) == 64


def matches(key: str, hashed: str) -> bool:
    """Return whether `key` has this salted hash, in constant time."""
    _, salt, _ = hashed.split(":")
    return hmac.compare_digest(hash_key(key, salt), hashed)
