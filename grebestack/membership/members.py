"""What is believed of each server: events in, actions out. The rule is in docs/design-membership.md.

In short: a server is listed as long as any source lists it. Among the sources that are fresh, or all where
none is, the most careful word counts; address and kind come from the first of them. Falling from ready counts
at once; coming back is damped where a server came and went. What one update takes away is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from sortedcontainers import SortedList

from grebestack.membership import interface as api
from grebestack.membership.interface import Belief, Claim, Standing

NEVER = float("inf")
FELL = {Standing.DRAINING: Belief.DRAINING, Standing.CRITICAL: Belief.CRITICAL}


@dataclass(slots=True)
class Source:
    """One source and what it says."""

    name: str
    rank: int
    stale_ms: float
    heard_ms: float | None = None  # when it was last heard; None: never since the start
    claims: dict[str, Claim] = field(default_factory=dict)
    held: set[str] = field(default_factory=set)  # it lists these no more, and that is held back
    why: str = ""  # it is silent
    stale: bool = True


@dataclass(slots=True, eq=False)
class State:
    """One server."""

    server: str
    name: str
    claim: Claim  # the one that address and kind come from
    belief: Belief = Belief.GONE
    reason: str = ""
    since_ms: float = 0.0
    falls: list[float] = field(default_factory=list)
    until_ms: float = 0.0  # kept out
    moves: int = 0
    told: api.Member | None = None


class Membership:
    """All servers of all sources. Feed it events, carry out the actions it returns."""

    def __init__(self, settings: api.MembershipSettings) -> None:
        self.settings = settings
        self.sources: dict[str, Source] = {}
        self.states: dict[str, State] = {}
        self.former: dict[str, tuple[float, api.Member]] = {}  # addresses that were left, until when
        self.drained: set[str] = set()
        self.due: SortedList[tuple[float, str, str]] = SortedList()  # when, what, of whom
        self.now, self.asked_ms = 0.0, NEVER
        self.actions: list[api.Action] = []
        self.changed: dict[str, None] = {}  # servers to look at, in order
        self.handlers: dict[type, Callable[..., None]] = {
            api.SourceAdded: self._added,
            api.SourceRemoved: self._source_removed,
            api.Listed: self._listed,
            api.Heard: lambda e: self._fresh(self.sources[e.source]),
            api.Silent: self._silent,
            api.Drained: self._drained,
            api.Accepted: self._accepted,
            api.Tick: self._ticked,
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Take one event; return the actions to carry out, in order. KeyError: an unknown source."""
        self.now = max(self.now, now_ms)
        self.handlers[type(event)](event)
        self._lapse()
        told: list[api.Member] = []
        changed, self.changed = self.changed, {}
        for server in changed:
            self._look(server, told)
        if told:
            self.actions.append(api.Tell(tuple(told)))
        at = self.due[0][0] if self.due else NEVER
        if at < self.asked_ms:
            self.asked_ms = at
            self.actions.append(api.Wake(at))
        actions, self.actions = self.actions, []
        return actions

    # What is seen from outside.

    def members(self) -> list[api.MemberView]:
        """Every server that is believed in, by name."""
        views = []
        for server, state in sorted(self.states.items()):
            words = [
                (source.name, f"{claim.standing.name.lower()}{' (stale)' if source.stale else ''}")
                for source in self._by_rank()
                if (claim := source.claims.get(server)) is not None
            ]
            addresses = {s.claims[server].address for s in self.sources.values() if server in s.claims}
            standings = {s.claims[server].standing for s in self.sources.values() if server in s.claims}
            absent = len(words) < len([s for s in self.sources.values() if s.heard_ms is not None])
            views.append(
                api.MemberView(
                    state.name,
                    state.belief,
                    state.reason,
                    state.since_ms,
                    state.claim.address,
                    tuple(words),
                    len(addresses) > 1 or len(standings) > 1 or absent,
                )
            )
        return views

    def about(self) -> list[api.SourceView]:
        """Every source, by rank."""
        return [
            api.SourceView(
                s.name,
                len(s.claims),
                None if s.heard_ms is None else self.now - s.heard_ms,
                s.stale,
                tuple(sorted(s.held)),
                s.why,
            )
            for s in self._by_rank()
        ]

    # Sources.

    def _by_rank(self) -> list[Source]:
        return sorted(self.sources.values(), key=lambda s: (s.rank, s.name))

    def _added(self, event: api.SourceAdded) -> None:
        if event.source not in self.sources:
            self.sources[event.source] = Source(event.source, event.rank, event.stale_ms)

    def _source_removed(self, event: api.SourceRemoved) -> None:
        source = self.sources.pop(event.source)
        self._touch(source.claims)

    def _touch(self, servers: Iterable[str]) -> None:
        self.changed.update(dict.fromkeys(servers))

    def _fresh(self, source: Source) -> None:
        """A source was heard: its word counts as of now."""
        source.heard_ms, source.why = self.now, ""
        if source.stale:
            source.stale = False
            self._touch(source.claims)
            if source.claims:
                self._note("source_fresh", source=source.name, servers=len(source.claims))
        if source.stale_ms < NEVER:
            self.due.add((self.now + source.stale_ms, "stale", source.name))

    def _silent(self, event: api.Silent) -> None:
        self.sources[event.source].why = event.why

    def _listed(self, event: api.Listed) -> None:
        source = self.sources[event.source]
        first = source.heard_ms is None
        if not event.old:
            self._fresh(source)
        elif source.heard_ms is not None:
            return  # what it said before a restart is nothing against what it has said since
        claims, named = source.claims, set[str]()
        for claim in event.claims:  # ten thousand at a time: most are the very same objects
            server = claim.entry.worker
            named.add(server)
            known = claims.get(server)
            if known is not claim:
                if known != claim:
                    self.changed[server] = None
                claims[server] = claim
        source.held -= named
        missing = set(event.gone) & claims.keys()
        if event.whole and len(named) < len(claims):
            missing |= claims.keys() - named
        self._take_away(source, missing, event.whole, first)

    def _take_away(self, source: Source, missing: set[str], whole: bool, first: bool) -> None:
        """Guards the fleet against a list that an ill catalogue has emptied or cut.

        The first list after a start may differ as it likes from one of before: much may have happened.
        """
        if not missing:
            return
        had = len(source.claims)
        if not whole:
            missing = missing | source.held
        left, s = had - len(missing), self.settings
        too_many = not first and len(missing) > 1 and len(missing) > s.removed_share * had
        if too_many or left < min(s.keep_least, had):
            if missing != source.held:
                self._note(
                    "update_held",
                    warning=True,
                    source=source.name,
                    removes=len(missing),
                    of=had,
                    servers=",".join(sorted(missing)[:8]),
                )
            source.held = missing
            self._touch(missing)
            return
        source.held = set()
        for server in missing:
            del source.claims[server]
        self._touch(missing)

    def _accepted(self, event: api.Accepted) -> None:
        source = self.sources[event.source]
        for server in source.held:
            del source.claims[server]
        self._touch(source.held)
        self._note("update_accepted", source=source.name, removes=len(source.held))
        source.held = set()

    def _drained(self, event: api.Drained) -> None:
        (self.drained.add if event.on else self.drained.discard)(event.server)
        self.changed[event.server] = None

    # Time.

    def _ticked(self, event: api.Tick) -> None:
        self.asked_ms = NEVER

    def _lapse(self) -> None:
        """Sources fall stale, holds end, addresses that were left are given up."""
        while self.due and self.due[0][0] <= self.now:
            _, what, name = self.due.pop(0)
            if what == "held":
                self.changed[name] = None
            elif what == "forget":
                state = self.states.get(name)
                forgotten_ms = self.now - self._remembered_ms()
                if state is not None and state.belief is Belief.GONE and state.since_ms <= forgotten_ms:
                    del self.states[name]
            elif what == "left":
                until, member = self.former.get(name, (NEVER, None))
                if member is not None and until <= self.now:
                    del self.former[name]
                    self.actions.append(api.Tell((replace(member, belief=Belief.GONE),)))
            else:
                source = self.sources.get(name)
                if source is None or source.stale or source.heard_ms is None:
                    continue
                if source.heard_ms + source.stale_ms <= self.now:
                    source.stale = True
                    self._touch(source.claims)
                    self._note(
                        "source_stale", warning=True, source=name, servers=len(source.claims), why=source.why
                    )

    # What is believed.

    def _look(self, server: str, told: list[api.Member]) -> None:
        """Believe anew what a server is, and tell it if that has changed."""
        claims = [
            (source, claim) for source in self._by_rank() if (claim := source.claims.get(server)) is not None
        ]
        state = self.states.get(server)
        if not claims:
            if state is not None and state.belief is not Belief.GONE:
                self._turn(state, Belief.GONE, "no source lists it")
                self._tell(state, told)
                # Remembered for a while: one that comes back at once has fallen, and its old names are taken.
                self.due.add((self.now + self._remembered_ms(), "forget", server))
            return
        counted = [(s, c) for s, c in claims if not s.stale] or claims
        source, claim = counted[0]
        if state is None:
            state = self.states[server] = State(server, server, claim)
        elif claim.address != state.claim.address:
            self._moved(state, claim)
        state.claim = claim
        belief, reason = self._believe(server, state, counted)
        self._turn(state, belief, reason)
        self._tell(state, told)

    def _believe(self, server: str, state: State, counted: list[tuple[Source, Claim]]) -> tuple[Belief, str]:
        source, worst = max(counted, key=lambda pair: pair[1].standing)
        if worst.standing is not Standing.READY:
            return FELL[worst.standing], f"{source.name}: {worst.reason or worst.standing.name.lower()}"
        if server in self.drained:
            return Belief.DRAINING, "the operator drains it"
        if self.now < state.until_ms:
            return Belief.JOINING, f"it fell {len(state.falls)} times lately: kept out for a while"
        if source.stale and source.heard_ms is not None:
            return Belief.SUSPECT, f"{source.name} is silent: its last word stands"
        if source.stale:
            return Belief.SUSPECT, f"{source.name} has not been heard: its word of before the start stands"
        if server in source.held:
            return Belief.SUSPECT, f"{source.name} lists it no more: held back"
        return Belief.READY, f"{source.name}: {worst.reason or 'ready'}"

    def _turn(self, state: State, belief: Belief, reason: str) -> None:
        state.reason = reason
        if belief is state.belief:
            return
        if state.belief.takes_work and not belief.takes_work:
            self._fell(state)
        if (state.belief, belief) != (Belief.GONE, Belief.READY):
            self._note(
                "member",
                server=state.name,
                was=state.belief.name.lower(),
                now=belief.name.lower(),
                reason=reason,
            )
        state.belief, state.since_ms = belief, self.now

    def _fell(self, state: State) -> None:
        """Guards against a server that comes and goes: each return is cold, and each fall costs its jobs."""
        s = self.settings
        state.falls = [at for at in state.falls if at > self.now - s.flap_window_ms] + [self.now]
        over = len(state.falls) - s.flaps
        if over > 0:
            hold = min(s.hold_most_ms, s.hold_ms * 2.0 ** min(over - 1, 20))
            state.until_ms = self.now + hold
            self.due.add((state.until_ms, "held", state.server))

    def _remembered_ms(self) -> float:
        return max(self.settings.flap_window_ms, self.settings.moved_ms)

    def _moved(self, state: State, claim: Claim) -> None:
        """The same id at another address is another server; what is out at the old one is waited for."""
        if state.told is not None and state.told.belief is not Belief.GONE:
            left = replace(state.told, belief=Belief.DRAINING)
            until = self.now + self.settings.moved_ms
            self.former[left.name] = (until, left)
            self.due.add((until, "left", left.name))
            if left != state.told:
                self.actions.append(api.Tell((left,)))
        self._note(
            "member_moved",
            server=state.server,
            was=":".join(map(str, state.claim.address)),
            now=":".join(map(str, claim.address)),
        )
        state.moves += 1
        state.name = f"{state.server}~{state.moves + 1}"
        state.told, state.belief = None, Belief.GONE

    def _tell(self, state: State, told: list[api.Member]) -> None:
        member = api.Member(state.name, state.server, state.claim.entry, state.claim.address, state.belief)
        if member != state.told and not (state.told is None and state.belief is Belief.GONE):
            state.told = member
            told.append(member)

    def _note(self, event: str, *, warning: bool = False, **pairs: object) -> None:
        self.actions.append(api.Note(event, tuple(pairs.items()), warning))
