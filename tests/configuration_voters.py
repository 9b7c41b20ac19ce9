"""Explores breadth-first the states that three voters can reach while a version is decided.

    python -m tests.configuration_voters [--states N] [--variant NAME] [--start NAME]

Two voters get a proposal at the same time, each with its own contents. Messages stay in transit: each may
arrive late, repeatedly, in any order or never. A voter may crash and restart with its disk. The register runs
its own code: a majority promises in one step (`tests.consensus_model` explores the single steps), each
acceptor accepts at any time or never, and the proposer may miss the result. Time passes in steps of a
heartbeat interval. In the starts named `stored`, v2 has stored the contents of v1's proposal and the register
is being changed.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from itertools import combinations
from random import Random
from typing import Any, NamedTuple

from grebestack.config_distribution import actions as act
from grebestack.config_distribution.learning import DecidedVersions, MajorityConfirmation
from grebestack.config_distribution.proposing import Proposing
from grebestack.config_distribution.register_access import register_change
from grebestack.config_distribution.versions import Version, digest_of
from grebestack.config_distribution.voter import ConfigurationVoter
from grebestack.config_distribution.voter_state import VoterView
from grebestack.consensus.register import AcceptorState, Ballot, Phase, PromiseGranted, Round, accept, prepare
from tests import state_exploration
from tests.configuration_states import IGNORED_ATTRIBUTES, LongestDraws, Snapshot, hashable
from tests.state_exploration import ExplorationResult, put

NAMES = ("v1", "v2", "v3")
STEP_MS = 1000.0
VARIANTS = (
    "changes the register before a majority holds the contents",
    "publishes before the register is changed",
    "confirms after a single response",
    "confirms the time of the response",
    "treats an accepted number as decided",
)


class FaultyProposing(Proposing):
    """Has the fault of its variant, or none."""

    variant = ""

    def advance(self, now_ms: float, view: VoterView) -> list[act.ConfigurationAction]:
        if self.variant == "changes the register before a majority holds the contents":
            view = view._replace(majority=1)
        actions = super().advance(now_ms, view)
        proposal = self.state.proposal
        if self.variant == "publishes before the register is changed" and proposal is not None:
            actions += [
                act.PublishVersion(proposal.version, proposal.contents)
                for a in actions
                if isinstance(a, act.ChangeRegister) and a.version is not None
            ]
        return actions


class FaultyConfirmation(MajorityConfirmation):
    """Has the fault of its variant, or none."""

    variant = ""

    def confirm(self, now_ms: float, view: VoterView) -> list[act.ConfigurationAction]:
        if self.variant == "confirms after a single response":
            view = view._replace(majority=1)
        actions = super().confirm(now_ms, view)
        if self.variant == "confirms the time of the response":
            return [
                act.MajorityConfirmed(now_ms) if isinstance(a, act.MajorityConfirmed) else a for a in actions
            ]
        return actions


class FaultyDecidedVersions(DecidedVersions):
    """Has the fault of its variant, or none."""

    variant = ""

    def compare_accepted(self, now_ms: float, accepted: int) -> None:
        state = self.state
        if self.variant == "treats an accepted number as decided" and accepted > state.decided.number:
            for digest, (contents, _) in self.undecided.on_disk.items():
                state.decided = state.version = Version(accepted, digest, len(contents), "", 0)
        super().compare_accepted(now_ms, accepted)


class FaultyVoter(ConfigurationVoter):
    """A voter with the fault of its variant in one of its parts, or with none."""

    def __init__(
        self, name: str, cluster: str, incarnation: int, random: Random, now_ms: float, variant: str = ""
    ) -> None:
        super().__init__(name, cluster, incarnation, random, now_ms)
        proposing = FaultyProposing(self.state, self.undecided, self.register)
        confirmation = FaultyConfirmation(self.state, self.activation, now_ms)
        decided_versions = FaultyDecidedVersions(
            self.state, self.register, self.undecided, self.fetching, proposing
        )
        proposing.variant = confirmation.variant = decided_versions.variant = variant
        self.proposing, self.majority, self.decided_versions = proposing, confirmation, decided_versions


class VoterSnapshot(Snapshot):
    """An unchanging snapshot of a voter; steps run on a copy of it and its parts."""

    __slots__ = ()

    def __init__(self, voter: ConfigurationVoter) -> None:
        self.part = voter
        parts = [part for part in vars(voter).values() if hasattr(part, "__dict__")]
        self.key = tuple(
            (name, hashable(value))
            for part in (voter, *parts)
            for name, value in vars(part).items()
            if name not in IGNORED_ATTRIBUTES and not any(value is other for other in parts)
        )
        self.hash = hash(self.key)

    def copy(self) -> Any:
        """Copy the voter and its parts; references between them refer to the copies."""
        parts = [part for part in vars(self.part).values() if hasattr(part, "__dict__")]
        copies = {id(part): object.__new__(type(part)) for part in (self.part, *parts)}
        for part in (self.part, *parts):
            for name, value in vars(part).items():
                if isinstance(value, dict | set | list):
                    value = value.copy()
                copies[id(part)].__dict__[name] = copies.get(id(value), value)
        return copies[id(self.part)]


class PendingAccess(NamedTuple):
    """An access to the register in progress: a change to `version`, or a read if it is None."""

    round: Round
    version: Version | None


class Budget(NamedTuple):
    """How often each event may still happen."""

    propose: tuple[int, ...] = (1, 1, 0)  # by voter
    steps: int = 1  # of time
    crash: int = 0
    lost_result: int = 1  # a register access whose result does not reach the proposer


class World(NamedTuple):
    """One state."""

    voters: tuple[Snapshot, ...]
    incarnations: tuple[int, ...]
    undecided: tuple[frozenset[bytes], ...]  # proposed contents on the disk of each voter
    stored: tuple[tuple[Version, ...], ...]
    acceptors: tuple[AcceptorState, ...]
    accesses: tuple[PendingAccess | None, ...]
    late_accepts: frozenset[tuple[Ballot, Version | None]]  # accept requests of abandoned accesses
    last_ballot: int
    wire: frozenset[tuple[int, int, int, bytes]]  # sender, receiver, incarnation of the receiver, body
    now: float
    decisions: tuple[Version, ...]
    decided_ms: tuple[float, ...]  # when each was decided
    budget: Budget
    violation: str = ""


STARTS = {
    "race, no lost result": Budget(steps=0, lost_result=0),
    "one change": Budget((1, 0, 0), steps=0),
    "one change, one heartbeat": Budget((1, 0, 0), steps=1, lost_result=0),
    "race": Budget(),
    "race, just started": Budget(),
    "one change, just started": Budget((1, 0, 0), steps=0),
    "race, three steps": Budget(steps=3),
    "crash": Budget((1, 0, 0), steps=2, crash=1),
    "crash in a race": Budget(steps=2, crash=1),
    "one after the other": Budget((2, 0, 0), steps=1, lost_result=0),
    "stored": Budget((0, 0, 0), steps=1),
    "stored, crash": Budget((0, 0, 0), steps=1, crash=1, lost_result=0),
    "stored, heartbeats": Budget((0, 0, 0), steps=2, lost_result=0),
    "heartbeats": Budget((1, 0, 0), steps=2, lost_result=0),
}


class Model:
    """The steps from each state, and the invariants."""

    def __init__(self, variant: str = "", start: str = "race") -> None:
        self.variant, self.start = variant, start

    def _voter(self, index: int, incarnation: int, now: float) -> FaultyVoter:
        return FaultyVoter(NAMES[index], "f", incarnation, LongestDraws(), now, self.variant)  # type: ignore[arg-type]

    def first(self) -> World:
        """Return the first state: nothing is decided, or a start named `stored`."""
        voters = [self._voter(i, 1, 0.0) for i in range(3)]
        for voter in voters:  # else each voter reads the register before it changes it
            voter.state.is_number_known = "just started" not in self.start
        snapshots = tuple(VoterSnapshot(voter) for voter in voters)
        empty: frozenset[bytes] = frozenset()
        world = World(
            snapshots,
            (1, 1, 1),
            (empty,) * 3,
            ((),) * 3,
            (AcceptorState(),) * 3,
            (None,) * 3,
            frozenset(),
            0,
            frozenset(),
            0.0,
            (),
            (),
            STARTS[self.start],
        )
        if self.start.startswith("stored"):
            voter = world.voters[0].copy()
            actions = voter.propose(0.0, 1, b"v1", 0, self.view(world, 0))
            world = self._perform(world, 0, voter, actions)
            for sender, to in ((0, 1), (1, 0)):
                body = next(w[3] for w in world.wire if w[:2] == (sender, to))
                voter = world.voters[to].copy()
                actions = voter.on_message(0.0, NAMES[sender], body, self.view(world, to))
                world = self._perform(world._replace(wire=frozenset()), to, voter, actions)
        return world

    def view(self, world: World, index: int) -> VoterView:
        value = world.acceptors[index].value
        number = value.number if isinstance(value, Version) else 0
        names = frozenset(NAMES)
        return VoterView(number, 1, names, 2, names - {NAMES[index]})

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield the possible next steps."""
        budget = world.budget
        for index, name in enumerate(NAMES):
            if budget.propose[index]:
                left = budget.propose[index] - 1
                after = world._replace(budget=budget._replace(propose=put(budget.propose, index, left)))
                contents = f"{name} {left}".encode()
                voter = world.voters[index].copy()
                actions = voter.propose(world.now, index * 10 + left, contents, 0, self.view(world, index))
                yield f"{name} gets a proposal", self._perform(after, index, voter, actions)
            if budget.crash:
                yield f"{name} restarts", self._restart(world, index)
            if world.accesses[index] is not None:
                yield from self._register_steps(world, index)
        for ballot, version in world.late_accepts:
            for index, name in enumerate(NAMES):
                if world.acceptors[index].accepted != ballot:
                    yield f"{name} accepts late", self._accept(world, index, ballot, version)
        for item in world.wire:
            sender, to, incarnation, body = item  # it stays in transit: it may arrive again, or never
            step = f"{NAMES[sender]}>{NAMES[to]} {body[:8]!r}"
            if incarnation == world.incarnations[to]:
                voter = world.voters[to].copy()
                actions = voter.on_message(world.now, NAMES[sender], body, self.view(world, to))
                yield step, self._perform(world, to, voter, actions)
        if budget.steps:
            after = world._replace(now=world.now + STEP_MS, budget=budget._replace(steps=budget.steps - 1))
            for index in range(3):
                voter = after.voters[index].copy()
                actions = voter.tick(after.now, self.view(after, index))
                after = self._perform(after, index, voter, actions)
            yield "a heartbeat interval passes", after

    def _restart(self, world: World, index: int) -> World:
        incarnation = world.incarnations[index] + 1
        voter = self._voter(index, incarnation, world.now)
        disk = [
            (v, c) for v in world.stored[index] for c in world.undecided[index] if digest_of(c) == v.digest
        ]
        access, late_accepts = world.accesses[index], world.late_accepts
        if access is not None and access.round.phase is Phase.ACCEPTING:
            late_accepts |= {(access.round.ballot, access.round.proposed_value)}
        world = world._replace(
            incarnations=put(world.incarnations, index, incarnation),
            accesses=put(world.accesses, index, None),
            late_accepts=late_accepts,
            wire=frozenset(w for w in world.wire if index not in w[:2]),
            budget=world.budget._replace(crash=world.budget.crash - 1),
        )
        undecided = {digest_of(c): c for c in world.undecided[index]}
        return self._perform(world, index, voter, voter.start(world.now, disk, undecided))

    # The register.

    def _register_steps(self, world: World, index: int) -> Iterator[tuple[str, World]]:
        access = world.accesses[index]
        assert access is not None
        name, round_, budget = NAMES[index], access.round, world.budget
        if budget.lost_result:
            left = world._replace(budget=budget._replace(lost_result=budget.lost_result - 1))
            if round_.phase is Phase.ACCEPTING:
                left = left._replace(
                    late_accepts=left.late_accepts | {(round_.ballot, round_.proposed_value)}
                )
            yield f"{name} misses the result", self._finish_access(left, index, False, None)
        if round_.phase is Phase.PREPARING:
            for quorum in combinations(range(3), 2):
                acceptors, after = list(world.acceptors), round_
                for acceptor_index in quorum:
                    acceptors[acceptor_index], response = prepare(acceptors[acceptor_index], round_.ballot)
                    if isinstance(response, PromiseGranted):
                        after = after.on_response(
                            NAMES[acceptor_index], response, register_change(access.version)
                        )
                if after.phase is Phase.ACCEPTING:
                    promised = world._replace(
                        acceptors=tuple(acceptors),
                        accesses=put(world.accesses, index, access._replace(round=after)),
                    )
                    yield f"{name} has promises of {[NAMES[p] for p in quorum]}", promised
                else:
                    yield f"{name} is preempted", self._finish_access(world, index, False, None)
            return
        acceptances = 0
        for acceptor_index, acceptor in enumerate(world.acceptors):
            if acceptor.accepted == round_.ballot:
                acceptances += 1
            elif acceptor.promised <= round_.ballot:
                yield (
                    f"{NAMES[acceptor_index]} accepts",
                    self._accept(world, acceptor_index, round_.ballot, round_.proposed_value),
                )
        if acceptances >= 2:
            yield (
                f"{name} gets the result",
                self._finish_access(world, index, True, round_.proposed_value),
            )
        if any(acceptor.promised > round_.ballot for acceptor in world.acceptors):
            left = world._replace(late_accepts=world.late_accepts | {(round_.ballot, round_.proposed_value)})
            yield f"{name} is rejected", self._finish_access(left, index, False, None)

    def _accept(self, world: World, acceptor_index: int, ballot: Ballot, value: Any) -> World:
        acceptor, _ = accept(world.acceptors[acceptor_index], ballot, value)
        world = world._replace(acceptors=put(world.acceptors, acceptor_index, acceptor))
        acceptances = sum(s.accepted == ballot for s in world.acceptors)
        if acceptances < 2 or not isinstance(value, Version) or value in world.decisions:
            return world
        holders = sum(any(digest_of(c) == value.digest for c in undecided) for undecided in world.undecided)
        if holders < 2:
            world = world._replace(
                violation=f"{value.number} is decided and {holders} of 3 hold its contents"
            )
        if any(v.number == value.number for v in world.decisions):
            world = world._replace(violation=f"two are decided as {value.number}")
        return world._replace(decisions=(*world.decisions, value), decided_ms=(*world.decided_ms, world.now))

    def _finish_access(self, world: World, index: int, known: bool, value: Any) -> World:
        voter = world.voters[index].copy()
        actions = voter.on_register_result(world.now, known, value, self.view(world, index))
        return self._perform(world._replace(accesses=put(world.accesses, index, None)), index, voter, actions)

    # Actions.

    def _perform(
        self, world: World, index: int, voter: ConfigurationVoter, actions: list[act.ConfigurationAction]
    ) -> World:
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            if isinstance(action, act.SendToVoter):
                to = NAMES.index(action.to)
                world = world._replace(wire=world.wire | {(index, to, world.incarnations[to], action.body)})
            elif isinstance(action, act.StoreContents):
                world = world._replace(
                    undecided=put(world.undecided, index, world.undecided[index] | {action.contents})
                )
                queue = voter.on_contents_stored(world.now, action.digest) + queue
            elif isinstance(action, act.Store):
                stored = (*world.stored[index], action.version)
                undecided = world.undecided[index] | {action.contents}
                world = world._replace(
                    stored=put(world.stored, index, stored), undecided=put(world.undecided, index, undecided)
                )
                queue = voter.on_stored(world.now, action.version.number) + queue
            elif isinstance(action, act.Apply):
                queue = voter.on_applied(world.now, action.version.number) + queue
                world = self._require_decided(world, index, action.version, "applies")
            elif isinstance(action, act.PublishVersion):
                world = self._require_decided(world, index, action.version, "publishes")
            elif isinstance(action, act.ChangeRegister):
                ballot = Ballot(world.last_ballot + 1, NAMES[index], world.incarnations[index])
                access = PendingAccess(Round(ballot, 2), action.version)
                world = world._replace(
                    last_ballot=world.last_ballot + 1, accesses=put(world.accesses, index, access)
                )
            elif isinstance(action, act.MajorityConfirmed):
                newer = [
                    v
                    for v, at in zip(world.decisions, world.decided_ms, strict=True)
                    if v.number > voter.version.number and at < action.at_ms
                ]
                if newer:
                    world = world._replace(
                        violation=(
                            f"{NAMES[index]} confirms {voter.version.number}, {newer[0].number} is decided"
                        )
                    )
            elif isinstance(action, act.ProposalResult):
                matching = [v for v in world.decisions if v == action.version]
                if action.won and not matching:
                    world = world._replace(
                        violation=f"{NAMES[index]} says it won with {action.version.number}"
                    )
        return world._replace(voters=put(world.voters, index, VoterSnapshot(voter)))

    def _require_decided(self, world: World, index: int, version: Version, action_name: str) -> World:
        if version in world.decisions:
            return world
        return world._replace(
            violation=f"{NAMES[index]} {action_name} {version.number}, which no majority has decided"
        )

    def find_violation(self, world: World) -> str:
        """Return the violation on the way to this state, or ""."""
        return world.violation


def explore(model: Model, max_states: int) -> ExplorationResult:
    """Explore the states of this start, up to a maximum."""
    return state_exploration.explore(model.first(), model.steps, model.find_violation, max_states)


def main() -> int:
    """Explore from the command line."""
    return state_exploration.run_command(
        lambda variant, start, max_states: explore(Model(variant, start), max_states),
        VARIANTS,
        STARTS,
        "race",
    )


if __name__ == "__main__":
    sys.exit(main())
