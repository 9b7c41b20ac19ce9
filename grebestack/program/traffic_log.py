"""What a dispatcher tells of itself each second, so that the logs of many can be counted together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping


class Tally:
    """Makes the pairs of one `event=tally` line from counts since the start."""

    def __init__(self) -> None:
        self.told: Counter[str] = Counter()

    def pairs(
        self, counts: Mapping[str, int], sent: Mapping[str, int], out: Mapping[str, int]
    ) -> dict[str, object]:
        """What has changed since the last line; dispatches sent since then and those out now, by server."""
        kv: dict[str, object] = {
            name: value - self.told[name] for name, value in counts.items() if value != self.told[name]
        }
        self.told = Counter(counts)
        for name, by_server in (("sent", sent), ("out", out)):
            if by_server:
                kv[name] = ",".join(f"{server}:{number}" for server, number in by_server.items())
        return kv
