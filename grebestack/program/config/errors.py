"""The errors of a start, each with a text of one line for the operator."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration can't be used; the text says why in one line."""


class StartError(Exception):
    """The program can't start, though its configuration can be read; the text says why in one line."""
