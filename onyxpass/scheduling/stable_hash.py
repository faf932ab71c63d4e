"""A hash that is the same in every process, for decisions that all routers make alike."""

import hashlib


def stable_hash(text: str) -> int:
    """Return 64 evenly spread bits that depend on ``text`` alone."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
