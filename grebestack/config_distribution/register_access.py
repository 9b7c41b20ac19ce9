"""Access to the consensus register that holds the decided version. Pure."""

from __future__ import annotations

from math import inf

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import ChangeRegister, ConfigurationAction
from grebestack.config_distribution.versions import Version
from grebestack.consensus.register import Change, Value

REGISTER = "configuration"  # the register's name


def register_change(version: Version | None) -> Change:
    """Return a compare-and-set on the version's number, or a read if there is no version."""

    def changed(value: Value) -> Value:
        number = value.number if isinstance(value, Version) else 0
        return version if version is not None and number == version.number - 1 else value

    return changed


class RegisterAccess:
    """Allows one access at a time, and schedules reads."""

    def __init__(self) -> None:
        """Create it with no access in progress."""
        self.is_busy = False  # an access is in progress
        self.read_ms = inf

    def read(self, now_ms: float) -> list[ConfigurationAction]:
        """Read the register, again after a timeout."""
        self.is_busy, self.read_ms = True, now_ms + timeouts.REGISTER_TIMEOUT_MS
        return [ChangeRegister(None)]

    def read_due_ms(self) -> float:
        """Return when the next read is due."""
        return inf if self.is_busy else self.read_ms
