"""Validation of the fields that a follower sends about itself. Pure."""

from __future__ import annotations

from grebestack.config_distribution.messages import PROTOCOL_VERSION, Subscribe
from grebestack.config_distribution.versions import DIGEST_HEX_DIGITS, invalid_value

MAX_NAME_LENGTH = 128


def subscribe_problem(request: Subscribe, cluster: str) -> str:
    """Return why a relay of this cluster rejects a request (field, value and what is allowed), or ""."""
    name = request.name
    if request.protocol_version != PROTOCOL_VERSION:
        return invalid_value("form", request.protocol_version, PROTOCOL_VERSION)
    if request.cluster != cluster:
        return invalid_value("fleet", request.cluster, repr(cluster))
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable() or " " in name:
        return invalid_value("name", name, f"1 to {MAX_NAME_LENGTH} printable characters without spaces")
    if request.incarnation < 0:
        return invalid_value("life", request.incarnation, "0 and more")
    return held_version_problem(request.number, request.digest)


def held_version_problem(number: int, digest: str) -> str:
    """Return why a follower can't hold this version (field, value and what is allowed), or ""."""
    if number < 0:
        return invalid_value("number", number, "0 and more")
    if digest and (len(digest) != DIGEST_HEX_DIGITS or set(digest) - set("0123456789abcdef")):
        return invalid_value("digest", digest, f"{DIGEST_HEX_DIGITS} hexadecimal digits")
    return ""
