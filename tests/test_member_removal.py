"""The removal of a member from the cluster by an operator."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any, cast

from grebestack.consensus.lease import LeaseTerms
from grebestack.consensus.messages import Handshake, IncarnationStarted, MembershipConfig
from grebestack.consensus.recovery import RecoveredState
from grebestack.consensus.replica import Replica
from grebestack.program.cluster_member import ClusterMember


def member_of_three() -> tuple[Any, Replica]:
    """Return member a of three, as operators' commands use it, and its replica, which has just started."""
    state = RecoveredState()
    config = MembershipConfig(1, (("a", "1"), ("b", "1"), ("c", "1")))
    state.apply(IncarnationStarted("f", "1", config))
    replica = Replica("a", "abc", state, 1, (), LeaseTerms(), Random(1), 0.0)
    node = SimpleNamespace(replica=replica, connections={}, settings=SimpleNamespace(name="a"))
    return SimpleNamespace(node=node), replica


def test_a_rejected_removal_is_not_carried_out_later() -> None:
    # Guards against removing a member after the operator was told that the removal failed.
    member, replica = member_of_three()
    rejected = ClusterMember.remove_member(cast(ClusterMember, member), "c")
    assert not rejected.succeeded and "waits for other members" in rejected.text
    for name in ("b", "c"):
        replica.on_connected(10.0, Handshake(2, "f", name, "1", 1, 1, {}))
    assert replica.acceptor.may_vote and not replica.membership.pending_removals
    accepted = ClusterMember.remove_member(cast(ClusterMember, member), "c")
    assert accepted.succeeded and replica.membership.pending_removals == {"c"}
