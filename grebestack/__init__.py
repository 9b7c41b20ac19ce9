"""Dispatch decisions by Allocation Priority Policies (APP), as an embeddable library."""

from grebestack.core.policy import Policy

__all__ = ["Policy"]
