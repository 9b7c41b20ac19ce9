"""The configuration in force among voters: proposing, learning what is decided, fetching, gathering. Pure.

The version is the value of a register; its contents are on a majority's disks before the register is asked
to change, so that whatever is decided can be had from some voter. A voter tells followers only what it knows
to be decided: by its own asking of the register, or by another voter's word, since what a decided number
stands for never changes.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import inf
from random import Random
from typing import NamedTuple

import msgspec
from msgspec import Struct, msgpack

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    Apply,
    ChangeRegister,
    ConfigurationAction,
    DiscardContents,
    MajorityConfirmed,
    ProposalResult,
    PublishVersion,
    SendToVoter,
    Store,
    StoreContents,
)
from grebestack.config_distribution.messages import FollowerStatus, StatusReport
from grebestack.config_distribution.versions import (
    MAX_CONTENTS_BYTES,
    NO_VERSION,
    Version,
    contents_problem,
    digest_of,
    invalid_value,
    version_problem,
)
from grebestack.consensus.actions import Told
from grebestack.consensus.register import Change, Value

REGISTER = "configuration"
MAX_UNDECIDED, MAX_UNDECIDED_BYTES = 1024, 16 * 1024 * 1024  # contents that are not decided yet
MAX_HEARTBEATS_OUTSTANDING = 16  # signs of life whose answers may still come
MAX_NAMES = 65_536


def register_change(version: Version | None) -> Change:
    """The register's change: compare-and-set on the number; only read where there is no version."""

    def changed(value: Value) -> Value:
        number = value.number if isinstance(value, Version) else 0
        return version if version is not None and number == version.number - 1 else value

    return changed


class View(NamedTuple):
    """This voter's disk and set, as its `Member` has them at this moment."""

    accepted: int  # number in its own slot of the register, 0 for none; -1 where its vote does not count
    epoch: int
    names: frozenset[str]  # the set of members, this one included
    majority: int
    linked: frozenset[str]  # members that are connected


class Heartbeat(Struct, frozen=True, array_like=True, tag="beat"):
    """Asks for a `HeartbeatResponse`; carries what the sender has accepted and knows to be decided."""

    sequence: int
    epoch: int
    accepted: int
    decided: Version


class HeartbeatResponse(Struct, frozen=True, array_like=True, tag="echo"):
    """The answer to the beat of this sequence."""

    sequence: int
    epoch: int
    accepted: int
    decided: Version


class Propose(Struct, frozen=True, array_like=True, tag="propose"):
    """Keep these contents, and say so: they may be decided next."""

    digest: str
    contents: bytes


class StoreAck(Struct, frozen=True, array_like=True, tag="kept"):
    """Contents are on the disk."""

    digest: str


class FetchContents(Struct, frozen=True, array_like=True, tag="want"):
    """Contents are asked for."""

    digest: str


class Contents(Struct, frozen=True, array_like=True, tag="have"):
    """Contents that were asked for."""

    digest: str
    contents: bytes


VoterMessage = Heartbeat | HeartbeatResponse | Propose | StoreAck | FetchContents | Contents | StatusReport
_encoder = msgpack.Encoder()
_words = msgpack.Decoder(VoterMessage)


@dataclass(slots=True)
class Counts:
    """What all relays know of all followers, each follower counted once."""

    in_force: dict[int, int] = field(default_factory=dict)  # by number: connected followers
    behind: dict[str, tuple[int, float]] = field(default_factory=dict)  # number, since when (own clock)
    refused: dict[str, tuple[int, str]] = field(default_factory=dict)  # the refused number and why
    unknown: dict[str, tuple[int, float]] = field(default_factory=dict)  # not heard: last number, since when


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that was asked for at this door."""

    ticket: int
    version: Version
    contents: bytes
    until_ms: float
    holders: frozenset[str] = frozenset()
    again_ms: float = 0.0  # contents are offered again, or the register is asked again
    asked: bool = False  # the register has been asked: it may come into force, whatever is heard


@dataclass(frozen=True, slots=True)
class Heard:
    """The last answer of another voter."""

    sent_ms: float  # when what it answers was said
    epoch: int
    accepted: int


@dataclass(frozen=True, slots=True)
class Entry:
    """A follower, as one relay has told of it."""

    standing: FollowerStatus
    heard_ms: float  # own clock
    behind_ms: float | None


@dataclass(slots=True)
class Gathering:
    """A relay's words so far."""

    life: int
    sequence: int
    number: int
    number_ms: float
    heard_ms: float
    whole: bool
    followers: dict[str, Entry] = field(default_factory=dict)


class ConfigurationVoter:
    """Events in, actions out; `View` comes with each event that needs it."""

    def __init__(self, name: str, fleet: str, life: int, random: Random, now_ms: float) -> None:
        self.name, self.fleet, self.life, self.random = name, fleet, life, random
        self.decided: Version = NO_VERSION  # the newest known to be decided
        self.version: Version = NO_VERSION  # the newest decided whose contents are here
        self.contents = b""
        self.in_force: Version = NO_VERSION  # on this voter, which is a dispatcher as well
        self.refused, self.refused_why = 0, ""
        self.pending: tuple[Version, bytes] | None = None
        self.step = ""  # what is awaited of `pending`: storing, applying
        self.start_ms = inf  # until when the disk waits for the others' word
        self.disk: tuple[tuple[Version, bytes], ...] = ()  # at a start, until something is in force
        self.kept_here: dict[str, tuple[bytes, float]] = {}  # on the disk, not decided; since when
        self.keeping: dict[str, tuple[bytes, frozenset[str]]] = {}  # not on the disk yet; who is to be told
        self.proposal: Proposal | None = None
        self.deciding = False
        self.view = View(-1, 0, frozenset(), 1, frozenset())  # as it came last
        self.read_ms = inf
        self.current = False  # since the start it has known from a majority which number is in force
        self.beat_ms, self.beats = now_ms, 0
        self.sent: dict[int, float] = {}
        self.others: dict[str, Heard] = {}
        self.others_decided: dict[str, int] = {}
        self.confirmed_ms: float | None = None
        self.fetch_ms, self.fetched = inf, ""
        self.relays: dict[str, Gathering] = {}
        self.acknowledged: dict[str, int] = {}
        self.noted: frozenset[str] = frozenset()

    # Events of the process and its disk.

    def start(
        self, now_ms: float, disk: list[tuple[Version, bytes]], kept: dict[str, bytes]
    ) -> list[ConfigurationAction]:
        """Started, with the decided versions on the disk, and contents by digest that are not decided."""
        actions: list[ConfigurationAction] = []
        self.beat_ms = now_ms
        for digest, contents in kept.items():
            if digest_of(contents) == digest:
                self.kept_here[digest] = contents, now_ms
        for version, contents in disk:
            if why := contents_problem(version, contents):
                actions.append(Told("configuration_disk", {"number": version.number, "why": why}))
            else:
                self.disk += ((version, contents),)
        self.disk = tuple(sorted(self.disk, key=lambda held: -held[0].number))
        if self.disk:
            self.version, self.contents = self.disk[0]
            self.decided = self.version
            self.start_ms = now_ms + timeouts.STARTUP_GRACE_MS
            actions.append(PublishVersion(self.version, self.contents))
        return actions

    def kept(self, now_ms: float, digest: str, why: str = "") -> list[ConfigurationAction]:
        """Contents are on the disk for good, or could not be written and why."""
        found = self.keeping.pop(digest, None)
        if found is None:
            return []
        contents, names = found
        proposal = self.proposal
        mine = proposal is not None and proposal.version.digest == digest
        if why:
            told = Told("configuration_not_kept", {"digest": digest, "why": why})
            return [told, *self._end(False, f"the contents are not on this disk: {why}")] if mine else [told]
        self.kept_here[digest] = contents, now_ms
        actions: list[ConfigurationAction] = [self._say(name, StoreAck(digest)) for name in sorted(names)]
        if mine and proposal is not None:
            self.proposal = replace(proposal, holders=proposal.holders | {self.name})
            actions += self._propose(now_ms, self.view)
        if digest == self.decided.digest and self.version != self.decided:
            actions += self._have(now_ms, contents)
        return actions

    def stored(self, now_ms: float, number: int, why: str = "") -> list[ConfigurationAction]:
        """A decided version is on the disk for good, or could not be written and why."""
        if self.pending is None or self.step != "storing" or self.pending[0].number != number:
            return []
        actions: list[ConfigurationAction] = []
        if why:
            actions.append(Told("configuration_not_stored", {"number": number, "why": why}))
        else:
            actions += self._discard(now_ms, self.pending[0].digest)
        self.step = "applying"
        return [*actions, Apply(*self.pending)]

    def taken(self, now_ms: float, number: int, why: str = "") -> list[ConfigurationAction]:
        """A version that was to be applied is in force on this voter, or was refused and why."""
        if self.pending is None or self.step != "applying" or self.pending[0].number != number:
            return []
        (version, _), self.pending, self.step = self.pending, None, ""
        if why:
            self.refused, self.refused_why = number, why
            told = Told("configuration_refused", {"number": number, "why": why})
            self.disk = tuple(held for held in self.disk if held[0].number != number)
            if self.disk and self.version.number <= number:  # what was in force before the last start
                self.pending, self.step = self.disk[0], "applying"
                return [told, Apply(*self.pending)]
        else:
            self.in_force, self.disk = version, ()
            kv = {"number": number, "digest": version.digest, "by": version.by, "relay": ""}
            told = Told("configuration_in_force", kv)
        return [told, *self._begin()]

    def _begin(self) -> list[ConfigurationAction]:
        """Bring the newest into force here, if it is not."""
        if self.pending is not None or self.version.number <= max(self.in_force.number, self.refused):
            return []
        self.pending, self.step, self.start_ms = (self.version, self.contents), "storing", inf
        numbers = [version.number for version, _ in self.disk] or [self.in_force.number]
        if self.version.number in numbers:  # it is there
            self.step = "applying"
            return [Apply(self.version, self.contents)]
        return [Store(self.version, self.contents, numbers[0], tuple(numbers[1:]))]

    def _discard(self, now_ms: float, digest: str) -> list[ConfigurationAction]:
        """Contents that are on the disk under their number, and those that nobody asks for any more."""
        needed = {self.proposal.version.digest} if self.proposal is not None else set()
        if self.version != self.decided:
            needed.add(self.decided.digest)
        old = [
            d
            for d, (_, ms) in self.kept_here.items()
            if d not in needed and (d == digest or now_ms - ms >= timeouts.UNDECIDED_CONTENTS_TTL_MS)
        ]
        for one in old:
            del self.kept_here[one]
        return [DiscardContents(one) for one in old]

    # Proposing.

    def propose(
        self, now_ms: float, ticket: int, contents: bytes, since_ms: int, view: View
    ) -> list[ConfigurationAction]:
        """Propose contents; a `ProposalResult` with this ticket reports how it ended."""
        why, self.view = "", view
        reached = len(view.linked & view.names | {self.name})
        if len(contents) > MAX_CONTENTS_BYTES:
            why = invalid_value("contents", f"{len(contents)} bytes", f"up to {MAX_CONTENTS_BYTES}")
        elif self.proposal is not None:
            why = f"another change is under way at {self.name}"
        elif view.accepted < 0:
            why = f"the vote of {self.name} does not count now"
        elif reached < view.majority:
            why = f"{reached} of {len(view.names)} voters are connected; needed: {view.majority}"
        if why:
            return [ProposalResult(ticket, False, self.decided, why)]
        digest = digest_of(contents)
        version = Version(self.decided.number + 1, digest, len(contents), self.name, since_ms)
        self.proposal = Proposal(ticket, version, contents, now_ms + timeouts.PROPOSAL_TIMEOUT_MS)
        keep: list[ConfigurationAction] = []
        if digest in self.kept_here:
            self.proposal = replace(self.proposal, holders=frozenset({self.name}))
        elif digest not in self.keeping:
            self.keeping[digest] = contents, frozenset()
            keep.append(StoreContents(digest, contents))
        read = [] if self.current or self.deciding else self._read(now_ms)
        return [*keep, *read, *self._propose(now_ms, view)]

    def _propose(self, now_ms: float, view: View) -> list[ConfigurationAction]:
        """The next step of the proposal: contents to a majority, then the register."""
        proposal = self.proposal
        if proposal is None:
            return []
        if now_ms >= proposal.until_ms:
            held = ", ".join(sorted(proposal.holders)) or "nobody"
            if not proposal.asked and not self.current:
                why = "the register can't be read: no majority of the voters has answered"
                return self._end(False, f"{why}; held by {held}")
            if not proposal.asked:
                return self._end(False, f"its contents are held by {held}; needed: {view.majority} voters")
            return self._end(False, "not known whether it is in force")
        enough = len(proposal.holders & view.names) >= view.majority
        if enough and self.name in proposal.holders:
            if not self.current:  # its number is still to be found
                self.proposal = replace(proposal, again_ms=self.read_ms)
                return []
            if self.deciding or (proposal.asked and now_ms < proposal.again_ms):
                return []
            self.deciding = True
            self.proposal = replace(proposal, again_ms=now_ms + self._read_pause(), asked=True)
            return [ChangeRegister(proposal.version)]
        if now_ms < proposal.again_ms:
            return []
        self.proposal = replace(proposal, again_ms=now_ms + timeouts.FETCH_RETRY_INTERVAL_MS)
        item = Propose(proposal.version.digest, proposal.contents)
        return [
            self._say(name, item)
            for name in sorted((view.names & view.linked) - proposal.holders)
            if name != self.name
        ]

    def _end(self, won: bool, why: str) -> list[ConfigurationAction]:
        proposal, self.proposal = self.proposal, None
        if proposal is None:
            return []
        version = proposal.version if won else self.decided
        return [ProposalResult(proposal.ticket, won, version, why, tuple(sorted(proposal.holders)))]

    def registered(self, now_ms: float, known: bool, value: Value, view: View) -> list[ConfigurationAction]:
        """A `ChangeRegister` has ended; `known`: with this value in force."""
        self.deciding, self.view = False, view
        if not known:
            if self.read_ms < inf:
                self.read_ms = now_ms + self._read_pause()
            return self._propose(now_ms, view)
        self.read_ms = inf
        if not isinstance(value, Version):
            self.current = True
            return self._propose(now_ms, view)
        newer = value.number > self.decided.number
        actions = self._learn(now_ms, value, self.name)
        actions += self._settle(value)
        self.current = True
        if newer:
            actions += self._beat(now_ms, view)
        return actions + self._propose(now_ms, view)

    def _settle(self, decided: Version) -> list[ConfigurationAction]:
        """What is decided tells how this voter's proposal went."""
        proposal = self.proposal
        if proposal is None or decided.number < proposal.version.number:
            return []
        if not self.current:  # that was decided before, as far as is known: this one comes after it
            version = msgspec.structs.replace(proposal.version, number=decided.number + 1)
            self.proposal = replace(proposal, version=version)
            return []
        if decided == proposal.version:
            return self._end(True, "")
        won = f"{decided.by or 'another voter'} won with number {decided.number}"
        if decided.number > proposal.version.number and proposal.asked:
            won += "; whether this one was in force before is not known"
        return self._end(False, won)

    def _read(self, now_ms: float) -> list[ConfigurationAction]:
        """Ask the register what is in force; again where that is not heard to its end."""
        self.deciding, self.read_ms = True, now_ms + timeouts.REGISTER_TIMEOUT_MS
        return [ChangeRegister(None)]

    def _read_pause(self) -> float:
        return self.random.uniform(*timeouts.REGISTER_READ_DELAY_MS)

    # Learning.

    def _learn(self, now_ms: float, version: Version, by: str) -> list[ConfigurationAction]:
        """A version is decided: known from the register, or from a voter that knows."""
        if version == NO_VERSION:
            return []
        if why := version_problem(version):
            return self._wrong(f"version/{by}", by, why)
        if version.number == self.decided.number and version != self.decided:
            why = invalid_value(
                "version", version.digest, f"{self.decided.digest} as number {version.number}"
            )
            return self._wrong(f"two/{by}", by, why)
        if version.number <= self.decided.number:
            return []
        self.decided = version
        for contents in self._here(version.digest):
            return [*self._have(now_ms, contents), *self._settle(version)]
        self.fetch_ms, self.fetched = now_ms, by
        return self._settle(version)

    def _here(self, digest: str) -> list[bytes]:
        """Contents by digest, if they are here."""
        if digest == self.version.digest and self.version.number:
            return [self.contents]
        if digest in self.kept_here:
            return [self.kept_here[digest][0]]
        if digest in self.keeping:
            return [self.keeping[digest][0]]
        return []

    def _have(self, now_ms: float, contents: bytes) -> list[ConfigurationAction]:
        """The decided version's contents are here."""
        self.version, self.contents = self.decided, contents
        self.fetch_ms = inf
        return [PublishVersion(self.version, contents), *self._begin()]

    def heard(self, now_ms: float, name: str, body: bytes, view: View) -> list[ConfigurationAction]:
        """Another voter's Word."""
        self.view = view
        try:
            word = _words.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return self._wrong(f"word/{name}", name, invalid_value("word", str(error), "a word of a voter"))
        if isinstance(word, Heartbeat):
            echo = HeartbeatResponse(word.sequence, view.epoch, view.accepted, self.decided)
            return [self._say(name, echo), *self._known(now_ms, name, word, view)]
        if isinstance(word, HeartbeatResponse):
            sent_ms = self.sent.get(word.sequence)
            if sent_ms is not None:
                former = self.others.get(name)
                if former is None or former.sent_ms <= sent_ms:
                    self.others[name] = Heard(sent_ms, word.epoch, word.accepted)
            return [*self._known(now_ms, name, word, view), *self._confirm(now_ms, view)]
        if isinstance(word, StatusReport):
            return self._gather(now_ms, word)
        return self._contents(now_ms, name, word, view)

    def _contents(
        self, now_ms: float, name: str, word: Propose | StoreAck | FetchContents | Contents, view: View
    ) -> list[ConfigurationAction]:
        if isinstance(word, FetchContents):
            return [self._say(name, Contents(word.digest, contents)) for contents in self._here(word.digest)]
        if isinstance(word, StoreAck):
            if self.proposal is None or word.digest != self.proposal.version.digest:
                return []
            self.proposal = replace(self.proposal, holders=self.proposal.holders | {name})
            return self._propose(now_ms, view)
        if len(word.contents) > MAX_CONTENTS_BYTES:
            why = invalid_value("contents", f"{len(word.contents)} bytes", f"up to {MAX_CONTENTS_BYTES}")
            return self._wrong(f"size/{name}", name, why)
        if (digest := digest_of(word.contents)) != word.digest:
            return self._wrong(f"digest/{name}", name, invalid_value("digest", word.digest, digest))
        if isinstance(word, Contents):
            if digest != self.decided.digest or self.version == self.decided:
                return []
            if why := contents_problem(self.decided, word.contents):
                return self._wrong(f"digest/{name}", name, why)
            return self._have(now_ms, word.contents)
        if digest in self.kept_here:
            return [self._say(name, StoreAck(digest))]
        if digest in self.keeping:
            contents, names = self.keeping[digest]
            self.keeping[digest] = contents, names | {name}
            return []
        actions = self._discard(now_ms, "")
        sizes = [len(one) for one, _ in (*self.kept_here.values(), *self.keeping.values())]
        if len(sizes) >= MAX_UNDECIDED or sum(sizes) + len(word.contents) > MAX_UNDECIDED_BYTES:
            said = f"{len(sizes) + 1} of {sum(sizes) + len(word.contents)} bytes"
            why = invalid_value(
                "kept", said, f"up to {MAX_UNDECIDED} undecided of {MAX_UNDECIDED_BYTES} bytes"
            )
            return [*actions, *self._wrong("kept", name, why)]
        self.keeping[digest] = word.contents, frozenset({name})
        return [*actions, StoreContents(digest, word.contents)]

    def _known(
        self, now_ms: float, name: str, word: Heartbeat | HeartbeatResponse, view: View
    ) -> list[ConfigurationAction]:
        """What another voter says that it has accepted and knows to be decided."""
        actions: list[ConfigurationAction] = []
        former = self.others_decided.get(name, 0)
        if word.decided.number < former and isinstance(word, Heartbeat):
            why = invalid_value("decided", word.decided.number, f"{former} and more, as it said before")
            actions += self._wrong(f"less/{name}", name, why)
        self.others_decided[name] = max(former, word.decided.number)
        actions += self._learn(now_ms, word.decided, name)
        self._look(now_ms, word.accepted)
        return actions

    def _look(self, now_ms: float, accepted: int) -> None:
        """One has accepted more than is known to be decided: the register is to be read."""
        if accepted > self.decided.number and self.read_ms == inf:
            self.read_ms = now_ms + self._read_pause()

    def _confirm(self, now_ms: float, view: View) -> list[ConfigurationAction]:
        """Since when a majority has been known to have accepted nothing newer than what is held here.

        Whatever was decided before that instant was accepted by a majority, which meets this one.
        """
        times = [
            h.sent_ms
            for name, h in self.others.items()
            if name in view.names and h.epoch == view.epoch and 0 <= h.accepted <= self.version.number
        ]
        if self.name in view.names and 0 <= view.accepted <= self.version.number:
            times.append(now_ms)
        times.sort(reverse=True)
        if not view.epoch or len(times) < view.majority:
            return []
        at_ms = times[view.majority - 1]
        if self.confirmed_ms is not None and at_ms <= self.confirmed_ms:
            return []
        self.confirmed_ms, self.current = at_ms, True
        first = self._begin() if self.start_ms < inf else []  # what the disk holds is the newest
        return [MajorityConfirmed(at_ms), *first]

    # Tallies.

    def tallied(self, now_ms: float, tally: StatusReport, view: View) -> list[ConfigurationAction]:
        """The word of this voter's own relay, or of one that follows it."""
        others = sorted((view.names & view.linked) - {self.name})
        return [*(self._say(name, tally) for name in others), *self._gather(now_ms, tally)]

    def _gather(self, now_ms: float, tally: StatusReport) -> list[ConfigurationAction]:
        relay = self.relays.get(tally.relay)
        if relay is not None and tally.life < relay.life:
            why = invalid_value("life", tally.life, f"{relay.life} and more, as {tally.relay} said before")
            return self._wrong(f"life/{tally.relay}", tally.relay, why)
        if relay is None or tally.life > relay.life:
            if len(self.relays) >= MAX_NAMES:
                return []
            followers = relay.followers if relay is not None else {}
            relay = self.relays[tally.relay] = Gathering(tally.life, 0, 0, now_ms, now_ms, False)
            for name, entry in followers.items():  # not heard, until this one or another tells of it
                away = msgspec.structs.replace(entry.standing, linked=False)
                relay.followers[name] = Entry(away, entry.heard_ms, None)
        if tally.sequence <= relay.sequence:
            return []  # late, or by two ways
        if tally.number < relay.number:
            why = invalid_value(
                "number", tally.number, f"{relay.number} and more, as {tally.relay} said before"
            )
            return self._wrong(f"number/{tally.relay}", tally.relay, why)
        follows = tally.sequence == relay.sequence + 1 and relay.whole
        relay.heard_ms = now_ms
        if tally.number > relay.number:
            relay.number, relay.number_ms = tally.number, now_ms
        if not tally.whole and not follows:
            relay.whole = False  # something is missing: the next whole word brings it
            return []
        relay.sequence, relay.whole = tally.sequence, True
        if tally.whole:
            told = {standing.name for standing in tally.standings}
            relay.followers = {name: one for name, one in relay.followers.items() if name in told}
        actions: list[ConfigurationAction] = []
        for standing in tally.standings:
            actions += self._stands(now_ms, relay, tally.relay, standing)
        return actions

    def _stands(
        self, now_ms: float, relay: Gathering, by: str, standing: FollowerStatus
    ) -> list[ConfigurationAction]:
        actions: list[ConfigurationAction] = []
        former = relay.followers.get(standing.name)
        if (
            former is not None
            and former.standing.life == standing.life
            and (standing.number < former.standing.number)
        ):
            why = invalid_value(
                "number", standing.number, f"{former.standing.number} and more of {standing.name}"
            )
            return self._wrong(f"standing/{by}/{standing.name}", by, why)
        behind = now_ms - standing.behind_ms if standing.behind_ms else None
        if former is not None and former.behind_ms is not None and behind is not None:
            behind = min(behind, former.behind_ms) if standing.number == former.standing.number else behind
        relay.followers[standing.name] = Entry(standing, now_ms - standing.heard_ms, behind)
        if standing.number > self.acknowledged.get(standing.name, 0):
            self.acknowledged.pop(standing.name, None)
            self.acknowledged[standing.name] = standing.number
            if len(self.acknowledged) > MAX_NAMES:
                del self.acknowledged[next(iter(self.acknowledged))]
        return actions

    def floor(self, name: str) -> int:
        """The highest number that a follower is known to have acknowledged to any relay."""
        return self.acknowledged.get(name, 0)

    def counts(self, now_ms: float) -> Counts:
        """Who has what in force, who is behind, has refused, is not known."""
        best: dict[str, tuple[Entry, Gathering, bool]] = {}
        for relay in self.relays.values():
            silent = now_ms - relay.heard_ms > timeouts.RELAY_SILENT_MS
            for name, told in relay.followers.items():
                linked = told.standing.linked and not silent
                other = best.get(name)
                if other is None or _rank(told, linked) > _rank(other[0], other[2]):
                    best[name] = told, relay, linked
        counts = Counts()
        for name, (told, relay, linked) in best.items():
            standing = told.standing
            if standing.refused and linked:
                counts.refused[name] = standing.refused, standing.why
            if not linked:
                counts.unknown[name] = standing.number, told.heard_ms
                continue
            counts.in_force[standing.number] = counts.in_force.get(standing.number, 0) + 1
            if standing.number < relay.number and standing.refused < relay.number:
                since = told.behind_ms if told.behind_ms is not None else relay.number_ms
                counts.behind[name] = standing.number, since
        return counts

    def shown(self, now_ms: float) -> list[str]:
        """For people: the version in force and the counts, a few lines."""
        counts, version = self.counts(now_ms), self.decided
        if version.number:
            lines = [f"version {version.number} decided, digest {version.digest[:12]}, by {version.by}"]
        else:
            lines = ["no version decided"]
        if self.confirmed_ms is None:
            lines[0] += ", no majority known"
        else:
            lines[0] += f", a majority known {(now_ms - self.confirmed_ms) / 1000.0:.1f} s ago"
        if self.version != self.decided:
            lines[0] += ", its contents are not here yet"
        if self.refused:
            lines.append(f"refused here: {self.refused}: {self.refused_why}")
        for number, count in sorted(counts.in_force.items(), reverse=True):
            lines.append(f"in force: {number}: {count}")
        for name, (number, since_ms) in sorted(counts.behind.items()):
            lines.append(f"behind: {name}: {number} for {(now_ms - since_ms) / 1000.0:.1f} s")
        for name, (number, why) in sorted(counts.refused.items()):
            lines.append(f"refused: {name}: {number}: {why}")
        for name, (number, since_ms) in sorted(counts.unknown.items()):
            lines.append(f"not known: {name}: {number} {(now_ms - since_ms) / 1000.0:.1f} s ago")
        return lines

    # Time.

    def _beat(self, now_ms: float, view: View) -> list[ConfigurationAction]:
        self.beats += 1
        self.sent[self.beats] = now_ms
        while len(self.sent) > MAX_HEARTBEATS_OUTSTANDING:
            del self.sent[next(iter(self.sent))]
        self.beat_ms = now_ms + self.random.uniform(*timeouts.HEARTBEAT_INTERVAL_MS)
        beat = Heartbeat(self.beats, view.epoch, view.accepted, self.decided)
        return [self._say(name, beat) for name in sorted((view.names & view.linked) - {self.name})]

    def tick(self, now_ms: float, view: View) -> list[ConfigurationAction]:
        """Time has passed: what is due."""
        actions: list[ConfigurationAction] = []
        self.view = view
        self._look(now_ms, view.accepted)
        if now_ms >= self.beat_ms:
            actions += self._beat(now_ms, view)
            actions += self._confirm(now_ms, view)
        actions += self._propose(now_ms, view)
        if now_ms >= self.read_ms and not self.deciding:
            actions += self._read(now_ms)
        if now_ms >= self.fetch_ms:
            actions += self._fetch(now_ms, view)
        if now_ms >= self.start_ms:
            actions += self._begin()
            self.start_ms = inf
        return actions

    def _fetch(self, now_ms: float, view: View) -> list[ConfigurationAction]:
        """Ask for the decided contents: who told of them first, then one after the other."""
        self.fetch_ms = now_ms + timeouts.FETCH_RETRY_INTERVAL_MS
        others = sorted((view.names & view.linked) - {self.name})
        if not others:
            return []
        name = self.fetched if self.fetched in others else others[0]
        self.fetched = others[(others.index(name) + 1) % len(others)]
        return [self._say(name, FetchContents(self.decided.digest))]

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is to be called at the latest."""
        due = min(self.beat_ms, self.fetch_ms, self.start_ms)
        if not self.deciding:
            due = min(due, self.read_ms)
        if self.proposal is not None:
            due = min(due, self.proposal.until_ms)
            if not self.deciding:
                due = min(due, self.proposal.again_ms)
        return max(due, now_ms + 1.0)

    def _say(self, to: str, word: VoterMessage) -> SendToVoter:
        return SendToVoter(to, _encoder.encode(word))

    def _wrong(self, key: str, by: str, why: str) -> list[ConfigurationAction]:
        """One line of the log for each thing that is wrong."""
        if key in self.noted or len(self.noted) >= MAX_NAMES:
            return []
        self.noted |= {key}
        return [Told("configuration_wrong", {"voter": by, "why": why})]


def _rank(told: Entry, linked: bool) -> tuple[bool, int, float]:
    """Of several relays' words on one follower the highest counts."""
    return linked, told.standing.life, told.heard_ms
