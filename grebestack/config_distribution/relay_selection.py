"""The order in which a follower tries relays, and how long it stays with a stale relay. Pure."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from grebestack.config_distribution import timeouts


def region_of(place: str) -> str:
    """Return the region of "region/zone"."""
    return place.partition("/")[0]


def relay_order(name: str, place: str, places: Mapping[str, str]) -> tuple[str, ...]:
    """Return the relays in the order in which a follower tries them.

    Relays of its own region come first, by rendezvous hashing (Thaler and Ravishankar 1998); the second is in
    another zone than the first if there is one. Relays of other regions follow.

    Parameters
    ----------
    place
        The follower's "region/zone".
    places
        "region/zone" of each relay.
    """

    def weight(relay: str) -> bytes:
        return hashlib.sha256(f"{name}\0{relay}".encode()).digest()

    near = sorted((r for r in places if region_of(places[r]) == region_of(place)), key=weight)
    far = sorted(places.keys() - set(near), key=weight)
    if near:
        near = near[:1] + sorted(near[1:], key=lambda relay: places[relay] == places[near[0]])
    return (*near, *far)


def stale_relay_stay_ms(former: int) -> tuple[float, float]:
    """Return the range, in ms, of the next stay with a stale relay after `former` stays in a row."""
    factor = 2.0 ** max(0, former + 1 - timeouts.STALE_RELAY_STAYS_BEFORE_BACKOFF)
    low_ms, high_ms = timeouts.STALE_RELAY_STAY_MS
    max_low_ms, max_high_ms = timeouts.MAX_STALE_RELAY_STAY_MS
    return min(low_ms * factor, max_low_ms), min(high_ms * factor, max_high_ms)
