"""States that three voters can reach when a configuration is decided, by their own code, the nearest first.

    python -m tests.configuration_voters [--states N] [--variant NAME] [--start NAME]

Two are asked at once, each for its own contents. Words are never taken off the wire: each may come late,
more than once, in any order or not at all. A voter may be lost and start again with its disk. The register is
asked by its own functions: some majority promises at once (`tests.consensus_model` explores that step by
step), each disk accepts at its time or never, and the asker may hear of it or not. Time passes in steps of
a beat. From `held` on, the contents of v1's change are with v2 and the register is being asked.
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
from tests.configuration_states import UNTOLD, Longest, Part, frozen
from tests.state_exploration import ExplorationResult, put

NAMES = ("v1", "v2", "v3")
STEP_MS = 1000.0
VARIANTS = (
    "asks before a majority holds the contents",
    "offers before the register says so",
    "confirms what one other says",
    "confirms from when the answer came",
    "takes an accepted number for decided",
)


class HastyProposing(Proposing):
    """It does one thing wrong, or none."""

    variant = ""

    def advance(self, now_ms: float, view: VoterView) -> list[act.ConfigurationAction]:
        if self.variant == "asks before a majority holds the contents":
            view = view._replace(majority=1)
        actions = super().advance(now_ms, view)
        proposal = self.state.proposal
        if self.variant == "offers before the register says so" and proposal is not None:
            actions += [
                act.PublishVersion(proposal.version, proposal.contents)
                for a in actions
                if isinstance(a, act.ChangeRegister) and a.version is not None
            ]
        return actions


class HastyConfirmation(MajorityConfirmation):
    """It does one thing wrong, or none."""

    variant = ""

    def confirm(self, now_ms: float, view: VoterView) -> list[act.ConfigurationAction]:
        if self.variant == "confirms what one other says":
            view = view._replace(majority=1)
        actions = super().confirm(now_ms, view)
        if self.variant == "confirms from when the answer came":
            return [
                act.MajorityConfirmed(now_ms) if isinstance(a, act.MajorityConfirmed) else a for a in actions
            ]
        return actions


class HastyDecidedVersions(DecidedVersions):
    """It does one thing wrong, or none."""

    variant = ""

    def compare_accepted(self, now_ms: float, accepted: int) -> None:
        state = self.state
        if self.variant == "takes an accepted number for decided" and accepted > state.decided.number:
            for digest, (contents, _) in self.undecided.on_disk.items():
                state.decided = state.version = Version(accepted, digest, len(contents), "", 0)
        super().compare_accepted(now_ms, accepted)


class Hasty(ConfigurationVoter):
    """A voter one of whose parts does one thing wrong, or none."""

    def __init__(
        self, name: str, fleet: str, life: int, random: Random, now_ms: float, variant: str = ""
    ) -> None:
        super().__init__(name, fleet, life, random, now_ms)
        proposing = HastyProposing(self.state, self.undecided, self.register)
        confirmation = HastyConfirmation(self.state, self.activation, now_ms)
        decided_versions = HastyDecidedVersions(
            self.state, self.register, self.undecided, self.fetching, proposing
        )
        proposing.variant = confirmation.variant = decided_versions.variant = variant
        self.proposing, self.majority, self.decided_versions = proposing, confirmation, decided_versions


class VoterPart(Part):
    """A voter as it stands, which is not changed: it is copied with its parts first."""

    __slots__ = ()

    def __init__(self, of: ConfigurationVoter) -> None:
        self.of = of
        parts = [part for part in vars(of).values() if hasattr(part, "__dict__")]
        self.key = tuple(
            (name, frozen(value))
            for part in (of, *parts)
            for name, value in vars(part).items()
            if name not in UNTOLD and not any(value is other for other in parts)
        )
        self.hash = hash(self.key)

    def copy(self) -> Any:
        """Copy the voter; its parts' references to each other go to the copies."""
        parts = [part for part in vars(self.of).values() if hasattr(part, "__dict__")]
        copies = {id(part): object.__new__(type(part)) for part in (self.of, *parts)}
        for part in (self.of, *parts):
            for name, value in vars(part).items():
                if isinstance(value, dict | set | list):
                    value = value.copy()
                copies[id(part)].__dict__[name] = copies.get(id(value), value)
        return copies[id(self.of)]


class Asking(NamedTuple):
    """An asking of the register under way; what it asks for, or only to read."""

    round: Round
    version: Version | None


class Budget(NamedTuple):
    """What may still happen."""

    propose: tuple[int, ...] = (1, 1, 0)
    steps: int = 1
    crash: int = 0
    unheard: int = 1  # an asking that its asker does not hear the end of


class World(NamedTuple):
    """One state."""

    voters: tuple[Part, ...]
    lives: tuple[int, ...]
    kept: tuple[frozenset[bytes], ...]  # contents on each disk, decided or not
    stored: tuple[tuple[Version, ...], ...]
    slots: tuple[AcceptorState, ...]
    askings: tuple[Asking | None, ...]
    late: frozenset[tuple[Ballot, Version | None]]  # asked to accept by an asker that has given up
    numbers: int
    wire: frozenset[tuple[int, int, int, bytes]]  # from, to, a life of its receiver, body
    now: float
    chosen: tuple[Version, ...]
    when: tuple[float, ...]  # when each was chosen
    budget: Budget
    fault: str = ""


STARTS = {
    "race, all heard": Budget(steps=0, unheard=0),
    "one change": Budget((1, 0, 0), steps=0),
    "one change, one beat": Budget((1, 0, 0), steps=1, unheard=0),
    "race": Budget(),
    "race, just started": Budget(),
    "one change, just started": Budget((1, 0, 0), steps=0),
    "race, three steps": Budget(steps=3),
    "crash": Budget((1, 0, 0), steps=2, crash=1),
    "crash in a race": Budget(steps=2, crash=1),
    "one after the other": Budget((2, 0, 0), steps=1, unheard=0),
    "held": Budget((0, 0, 0), steps=1),
    "held, crash": Budget((0, 0, 0), steps=1, crash=1, unheard=0),
    "held, beats": Budget((0, 0, 0), steps=2, unheard=0),
    "beats": Budget((1, 0, 0), steps=2, unheard=0),
}


class Model:
    """The steps from each state, and what must hold in it."""

    def __init__(self, variant: str = "", start: str = "race") -> None:
        self.variant, self.start = variant, start

    def _voter(self, index: int, life: int, now: float) -> Hasty:
        return Hasty(NAMES[index], "f", life, Longest(), now, self.variant)  # type: ignore[arg-type]

    def first(self) -> World:
        """Nothing is decided."""
        made = [self._voter(i, 1, 0.0) for i in range(3)]
        for one in made:  # else each reads the register before it asks for anything
            one.state.is_number_known = "just started" not in self.start
        voters = tuple(VoterPart(one) for one in made)
        empty: frozenset[bytes] = frozenset()
        world = World(
            voters,
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
        if self.start.startswith("held"):
            voter = world.voters[0].copy()
            actions = voter.propose(0.0, 1, b"v1", 0, self.view(world, 0))
            world = self._did(world, 0, voter, actions)
            for sender, to in ((0, 1), (1, 0)):
                body = next(w[3] for w in world.wire if w[:2] == (sender, to))
                voter = world.voters[to].copy()
                actions = voter.on_message(0.0, NAMES[sender], body, self.view(world, to))
                world = self._did(world._replace(wire=frozenset()), to, voter, actions)
        return world

    def view(self, world: World, index: int) -> VoterView:
        value = world.slots[index].value
        number = value.number if isinstance(value, Version) else 0
        names = frozenset(NAMES)
        return VoterView(number, 1, names, 2, names - {NAMES[index]})

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """What may happen next."""
        budget = world.budget
        for index, name in enumerate(NAMES):
            if budget.propose[index]:
                left = budget.propose[index] - 1
                after = world._replace(budget=budget._replace(propose=put(budget.propose, index, left)))
                contents = f"{name} {left}".encode()
                voter = world.voters[index].copy()
                actions = voter.propose(world.now, index * 10 + left, contents, 0, self.view(world, index))
                yield f"{name} is asked", self._did(after, index, voter, actions)
            if budget.crash:
                yield f"{name} starts again", self._again(world, index)
            if world.askings[index] is not None:
                yield from self._register(world, index)
        for ballot, version in world.late:
            for index, name in enumerate(NAMES):
                if world.slots[index].accepted != ballot:
                    yield f"{name} accepts late", self._accepts(world, index, ballot, version)
        for item in world.wire:
            sender, to, life, body = item  # it stays: it may come again, or not at all
            what = f"{NAMES[sender]}>{NAMES[to]} {body[:8]!r}"
            if life == world.lives[to]:
                voter = world.voters[to].copy()
                actions = voter.on_message(world.now, NAMES[sender], body, self.view(world, to))
                yield what, self._did(world, to, voter, actions)
        if budget.steps:
            after = world._replace(now=world.now + STEP_MS, budget=budget._replace(steps=budget.steps - 1))
            for index in range(3):
                voter = after.voters[index].copy()
                actions = voter.tick(after.now, self.view(after, index))
                after = self._did(after, index, voter, actions)
            yield "a beat passes", after

    def _again(self, world: World, index: int) -> World:
        life = world.lives[index] + 1
        voter = self._voter(index, life, world.now)
        disk = [(v, c) for v in world.stored[index] for c in world.kept[index] if digest_of(c) == v.digest]
        asking, late = world.askings[index], world.late
        if asking is not None and asking.round.phase is Phase.ACCEPTING:
            late |= {(asking.round.ballot, asking.round.proposed_value)}
        world = world._replace(
            lives=put(world.lives, index, life),
            askings=put(world.askings, index, None),
            late=late,
            wire=frozenset(w for w in world.wire if index not in w[:2]),
            budget=world.budget._replace(crash=world.budget.crash - 1),
        )
        kept = {digest_of(c): c for c in world.kept[index]}
        return self._did(world, index, voter, voter.start(world.now, disk, kept))

    # The register.

    def _register(self, world: World, index: int) -> Iterator[tuple[str, World]]:
        asking = world.askings[index]
        assert asking is not None
        name, round_, budget = NAMES[index], asking.round, world.budget
        if budget.unheard:
            left = world._replace(budget=budget._replace(unheard=budget.unheard - 1))
            if round_.phase is Phase.ACCEPTING:
                left = left._replace(late=left.late | {(round_.ballot, round_.proposed_value)})
            yield f"{name} hears nothing", self._ended(left, index, False, None)
        if round_.phase is Phase.PREPARING:
            for pair in combinations(range(3), 2):
                slots, after = list(world.slots), round_
                for place in pair:
                    slots[place], answer = prepare(slots[place], round_.ballot)
                    if isinstance(answer, PromiseGranted):
                        after = after.on_response(NAMES[place], answer, register_change(asking.version))
                if after.phase is Phase.ACCEPTING:
                    moved = world._replace(
                        slots=tuple(slots), askings=put(world.askings, index, asking._replace(round=after))
                    )
                    yield f"{name} has promises of {[NAMES[p] for p in pair]}", moved
                else:
                    yield f"{name} is beaten", self._ended(world, index, False, None)
            return
        holds = 0
        for place, slot in enumerate(world.slots):
            if slot.accepted == round_.ballot:
                holds += 1
            elif slot.promised <= round_.ballot:
                yield (
                    f"{NAMES[place]} accepts",
                    self._accepts(world, place, round_.ballot, round_.proposed_value),
                )
        if holds >= 2:
            yield f"{name} hears that it is in force", self._ended(world, index, True, round_.proposed_value)
        if any(slot.promised > round_.ballot for slot in world.slots):
            left = world._replace(late=world.late | {(round_.ballot, round_.proposed_value)})
            yield f"{name} is refused", self._ended(left, index, False, None)

    def _accepts(self, world: World, place: int, ballot: Ballot, value: Any) -> World:
        slot, _ = accept(world.slots[place], ballot, value)
        world = world._replace(slots=put(world.slots, place, slot))
        holds = sum(s.accepted == ballot for s in world.slots)
        if holds < 2 or not isinstance(value, Version) or value in world.chosen:
            return world
        held = sum(any(digest_of(c) == value.digest for c in kept) for kept in world.kept)
        if held < 2:
            world = world._replace(fault=f"{value.number} is decided and {held} of 3 hold its contents")
        if any(v.number == value.number for v in world.chosen):
            world = world._replace(fault=f"two are decided as {value.number}")
        return world._replace(chosen=(*world.chosen, value), when=(*world.when, world.now))

    def _ended(self, world: World, index: int, known: bool, value: Any) -> World:
        voter = world.voters[index].copy()
        actions = voter.on_register_result(world.now, known, value, self.view(world, index))
        return self._did(world._replace(askings=put(world.askings, index, None)), index, voter, actions)

    # Actions.

    def _did(
        self, world: World, index: int, voter: ConfigurationVoter, actions: list[act.ConfigurationAction]
    ) -> World:
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            if isinstance(action, act.SendToVoter):
                to = NAMES.index(action.to)
                world = world._replace(wire=world.wire | {(index, to, world.lives[to], action.body)})
            elif isinstance(action, act.StoreContents):
                world = world._replace(kept=put(world.kept, index, world.kept[index] | {action.contents}))
                queue = voter.on_contents_stored(world.now, action.digest) + queue
            elif isinstance(action, act.Store):
                stored = (*world.stored[index], action.version)
                kept = world.kept[index] | {action.contents}
                world = world._replace(
                    stored=put(world.stored, index, stored), kept=put(world.kept, index, kept)
                )
                queue = voter.on_stored(world.now, action.version.number) + queue
            elif isinstance(action, act.Apply):
                queue = voter.on_applied(world.now, action.version.number) + queue
                world = self._only_chosen(world, index, action.version, "acts under")
            elif isinstance(action, act.PublishVersion):
                world = self._only_chosen(world, index, action.version, "offers")
            elif isinstance(action, act.ChangeRegister):
                ballot = Ballot(world.numbers + 1, NAMES[index], world.lives[index])
                asking = Asking(Round(ballot, 2), action.version)
                world = world._replace(numbers=world.numbers + 1, askings=put(world.askings, index, asking))
            elif isinstance(action, act.MajorityConfirmed):
                newer = [
                    v
                    for v, at in zip(world.chosen, world.when, strict=True)
                    if v.number > voter.version.number and at < action.at_ms
                ]
                if newer:
                    world = world._replace(
                        fault=f"{NAMES[index]} confirms {voter.version.number}, {newer[0].number} is decided"
                    )
            elif isinstance(action, act.ProposalResult):
                ours = [v for v in world.chosen if v == action.version]
                if action.won and not ours:
                    world = world._replace(fault=f"{NAMES[index]} says it won with {action.version.number}")
        return world._replace(voters=put(world.voters, index, VoterPart(voter)))

    def _only_chosen(self, world: World, index: int, version: Version, does: str) -> World:
        if version in world.chosen:
            return world
        return world._replace(fault=f"{NAMES[index]} {does} {version.number}, which no majority has decided")

    def wrong(self, world: World) -> str:
        """What went wrong on the way here."""
        return world.fault


def explore(model: Model, most: int) -> ExplorationResult:
    """See every state of this start, up to so many."""
    return state_exploration.explore(model.first(), model.steps, model.wrong, most)


def main() -> int:
    """Explore from the command line."""
    return state_exploration.run_command(
        lambda variant, start, most: explore(Model(variant, start), most), VARIANTS, STARTS, "race"
    )


if __name__ == "__main__":
    sys.exit(main())
