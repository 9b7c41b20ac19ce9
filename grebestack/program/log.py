"""Logging to standard error: one event per line, as key=value pairs."""

from __future__ import annotations

import logging
import time

_SPECIAL_CHARACTERS = ' "=\\'


def format_value(value: object) -> str:
    """Return a value as it is logged, in quotes if it would not parse as a single word."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and text.isprintable() and not any(character in text for character in _SPECIAL_CHARACTERS):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(_printable(character) for character in escaped) + '"'


def _printable(character: str) -> str:
    return character if character.isprintable() else repr(character)[1:-1]


class KeyValueFormatter(logging.Formatter):
    """Formats `ts=... level=... event=... name=value ...`; pairs are passed as `extra={"kv": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record; times are UTC with milliseconds."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs = {
            "ts": f"{seconds}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["traceback"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={format_value(value)}" for name, value in pairs.items())


def set_up(level: str = "info") -> None:
    """Log to standard error, at a level and above."""
    handler = logging.StreamHandler()
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
