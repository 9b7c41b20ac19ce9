"""A failure detector for the other members of the cluster. No I/O; the caller passes the time.

Both sides of a connection send heartbeats. When nothing is received from a member, two other members are
asked whether they receive from it, to tell a broken link from a failed member (indirect probes as in SWIM,
Das et al. 2002, without its gossip: members are few and all are connected). A process that was stopped
itself, or runs its ticks late, suspects no other member: it could not receive messages during that time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from grebestack.consensus.actions import Action, Disconnect, LogMessage, Send
from grebestack.consensus.messages import Heartbeat, HeartbeatResponse

INDIRECT_PROBES = 2  # members that are asked about an unresponsive one
MAX_TOLERANCE = 8.0  # multiplies the timeout
TOLERANCE_GROWTH = 2.0  # factor after a late tick
TOLERANCE_DECAY = 0.9  # factor after each punctual tick
HEARTBEAT_JITTER = (0.8, 1.2)  # fractions of the interval


class PeerState(Enum):
    """The state of a member as seen from here. The values are shown to operators."""

    UP = "up"
    LINK_DOWN = "others hear it, this member does not"
    STALLED = "connected and silent"
    UNREACHABLE = "not heard by any that were asked"
    UNKNOWN = "not known"


@dataclass(frozen=True, slots=True)
class HeartbeatTimes:
    """The interval of heartbeats, and the time without messages after which a member is suspected."""

    interval_ms: float = 500.0
    timeout_ms: float = 1500.0


@dataclass(slots=True)
class _PeerRecord:
    is_connected: bool = False
    last_received_ms: float | None = None
    last_reported_up_ms: float | None = None
    probed_since_ms: float | None = None  # when other members were first asked about it
    logged_state: PeerState = PeerState.UNKNOWN

    def is_responding(self, now_ms: float, timeout_ms: float) -> bool:
        """Return whether a message was received over its connection within the timeout."""
        return (
            self.is_connected
            and self.last_received_ms is not None
            and now_ms - self.last_received_ms <= timeout_ms
        )


class FailureDetector:
    """The states of all other members as seen from this member."""

    def __init__(self, others: frozenset[str], times: HeartbeatTimes, random: Random, now_ms: float) -> None:
        """Initialize with the states of all other members unknown."""
        self.times, self.random = times, random
        self.peers = {name: _PeerRecord() for name in sorted(others)}
        self.next_tick_ms = now_ms
        self.tolerance = 1.0  # multiplies the timeout

    def on_connected(self, name: str, now_ms: float) -> None:
        """Handle a connection that has completed its handshake."""
        peer = self.peers.setdefault(name, _PeerRecord())
        peer.is_connected, peer.last_received_ms, peer.probed_since_ms = True, now_ms, None

    def on_disconnected(self, name: str) -> None:
        """Handle the end of a connection."""
        if name in self.peers:
            self.peers[name].is_connected = False

    def on_message(self, name: str, now_ms: float) -> None:
        """Handle the arrival of any message from a member."""
        peer = self.peers[name]
        peer.last_received_ms, peer.probed_since_ms = now_ms, None

    def on_heartbeat(self, name: str, message: Heartbeat, now_ms: float) -> list[Action]:
        """Respond to a heartbeat; name the third member that it asks about if that member is up."""
        about = message.about if self.state_of(message.about, now_ms) is PeerState.UP else ""
        return [Send(name, HeartbeatResponse(about))]

    def on_heartbeat_response(self, message: HeartbeatResponse, now_ms: float) -> None:
        """Handle a response, which names a third member if its sender receives messages from it."""
        if message.about in self.peers:
            self.peers[message.about].last_reported_up_ms = now_ms

    def state_of(self, name: str, now_ms: float) -> PeerState:
        """Return the state of a member now."""
        peer = self.peers.get(name)
        if peer is None:
            return PeerState.UNKNOWN
        timeout_ms = self._timeout_ms
        if peer.is_responding(now_ms, timeout_ms):
            return PeerState.UP
        reported_up_ms = peer.last_reported_up_ms
        if reported_up_ms is not None and now_ms - reported_up_ms <= timeout_ms:
            return PeerState.LINK_DOWN
        # If no member responds, this member itself may be cut off, so it suspects no other.
        if len(self.peers) > 1 and not any(p.is_responding(now_ms, timeout_ms) for p in self.peers.values()):
            return PeerState.UNKNOWN
        if peer.probed_since_ms is None or now_ms - peer.probed_since_ms < timeout_ms:
            return PeerState.UNKNOWN
        return PeerState.STALLED if peer.is_connected else PeerState.UNREACHABLE

    def tick(self, now_ms: float) -> list[Action]:
        """Send the heartbeats and probes that are due, and close stalled connections."""
        if now_ms < self.next_tick_ms:
            return []
        self._adapt_tolerance(now_ms)
        self.next_tick_ms = now_ms + self.times.interval_ms * self.random.uniform(*HEARTBEAT_JITTER)
        actions: list[Action] = []
        for name, peer in self.peers.items():
            actions += self._check(name, peer, now_ms)
        return actions

    @property
    def _timeout_ms(self) -> float:
        return self.times.timeout_ms * self.tolerance

    def _adapt_tolerance(self, now_ms: float) -> None:
        late_ms = now_ms - self.next_tick_ms
        if late_ms <= self.times.interval_ms:
            self.tolerance = max(1.0, self.tolerance * TOLERANCE_DECAY)
            return
        # This process was stopped; that time does not count as silence of the other members.
        self.tolerance = min(MAX_TOLERANCE, self.tolerance * TOLERANCE_GROWTH)
        for peer in self.peers.values():
            if peer.last_received_ms is not None:
                peer.last_received_ms += late_ms
            peer.probed_since_ms = None

    def _check(self, name: str, peer: _PeerRecord, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        if peer.is_connected and peer.last_received_ms is not None:
            if now_ms - peer.last_received_ms > self._timeout_ms:
                actions.append(Disconnect(name, "silent"))
            else:
                actions.append(Send(name, Heartbeat()))
        if self.state_of(name, now_ms) is not PeerState.UP:
            actions += self._probe(name, peer, now_ms)
        if (state := self.state_of(name, now_ms)) is not peer.logged_state:
            peer.logged_state = state
            actions.append(LogMessage("fleet_peer", {"peer": name, "seen": state.value}))
        return actions

    def _probe(self, name: str, peer: _PeerRecord, now_ms: float) -> list[Action]:
        """Ask some members that are up about an unresponsive one."""
        up = [n for n in self.peers if n != name and self.state_of(n, now_ms) is PeerState.UP]
        chosen = self.random.sample(up, min(INDIRECT_PROBES, len(up)))
        if peer.probed_since_ms is None and chosen:
            peer.probed_since_ms = now_ms
        return [Send(prober, Heartbeat(name)) for prober in chosen]
