"""Errors at the start of the program, each with a one-line message for the operator."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration is invalid; the message is one line."""


class StartError(Exception):
    """The program can't start although its configuration is valid; the message is one line."""
