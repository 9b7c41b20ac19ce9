"""Log lines on standard error: one event a line, as key=value pairs."""

from __future__ import annotations

import logging
import time

_SPECIAL_CHARACTERS = ' "=\\'


def quoted(value: object) -> str:
    """Return a value as it is written to a line, in quotes where it would not read as one word."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and text.isprintable() and not any(character in text for character in _SPECIAL_CHARACTERS):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(_printable(character) for character in escaped) + '"'


def _printable(character: str) -> str:
    return character if character.isprintable() else repr(character)[1:-1]


class KeyValueFormatter(logging.Formatter):
    """Formats `ts=... level=... event=... name=value ...`; the pairs come as `extra={"kv": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record's line; times are UTC with milliseconds."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs = {
            "ts": f"{seconds}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["traceback"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={quoted(value)}" for name, value in pairs.items())


def set_up(level: str = "info") -> None:
    """Have the program log to standard error from a level on."""
    handler = logging.StreamHandler()
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
