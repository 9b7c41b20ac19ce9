"""Chooses the Consul agent to query and when, and decides whether its reply is used. Pure.

Follows the public description of Consul's HTTP API: blocking queries by index, `X-Consul-KnownLeader`,
`X-Consul-LastContact`, `Retry-After`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random


class ReplyResult(Enum):
    """What a reply means for the list of instances."""

    NEW_LIST = "taken"
    UNCHANGED = "same"
    OUTDATED = "old"  # the agent is behind what another agent has replied: the list is not used
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """How agents are queried; times in milliseconds.

    After a failure an agent is not queried for a random time from 0 to `base_backoff_ms`, which doubles with
    each further failure up to `max_backoff_ms`. This spreads the many watchers of an agent that restarts.
    """

    agents: tuple[tuple[str, int], ...]
    base_backoff_ms: float = 250.0
    max_backoff_ms: float = 8000.0
    min_interval_ms: float = 50.0  # between queries, so that a service that changes constantly costs little
    pause_per_read_time: float = 12.0  # times the reading of a list, so that a large service costs little
    max_pause_ms: float = 1000.0
    max_stale_ms: float | None = None  # a reply whose X-Consul-LastContact is longer ago is not used
    index_reset_ms: float = 10_000.0  # if all agents have lower indexes for this long, the index was reset

    def __post_init__(self) -> None:
        if not self.agents or len(set(self.agents)) < len(self.agents):
            raise ValueError("agents must have at least one address and no address twice")
        if (
            not 0 < self.base_backoff_ms <= self.max_backoff_ms
            or self.min_interval_ms < 0
            or self.index_reset_ms < 0
        ):
            raise ValueError(f"a time is out of range in {self}")


@dataclass(frozen=True, slots=True)
class ReplyHeaders:
    """Status and headers of a reply. An index of 0 means that there was none."""

    status: int
    index: int = 0
    has_known_leader: bool = True
    last_contact_ms: float = 0.0
    retry_after_ms: float | None = None


@dataclass(slots=True)
class Agent:
    """State of one agent."""

    address: tuple[str, int]
    failures: int = 0  # in a row
    not_before_ms: float = 0.0  # it is not queried before
    failure_reason: str = ""


@dataclass(slots=True)
class AgentSelector:
    """The agents of one service: one is queried at a time, and another one when it fails."""

    settings: AgentSettings
    random: Random
    agents: list[Agent] = field(init=False)
    current: int = 0
    wait_index: int = 0  # the current agent's next query blocks until this changes; 0: it does not block
    newest_index: int = 0  # of the last list that was used
    newest_agent: int = -1  # the agent that sent it
    lower_since_ms: float | None = None  # since when other agents have replied with lower indexes only
    has_list: bool = False

    def __post_init__(self) -> None:
        self.agents = [Agent(address) for address in self.settings.agents]

    def select(self, now_ms: float) -> tuple[int, float]:
        """Return the agent to query next and the time: the current one, or another one after a failure."""
        if not self.agents[self.current].failures:
            return self.current, max(now_ms, self.agents[self.current].not_before_ms)
        available = [n for n, agent in enumerate(self.agents) if agent.not_before_ms <= now_ms]
        if self.current not in available:
            count = len(self.agents)
            if available:
                chosen = min(available, key=lambda n: (self.agents[n].failures, (n - self.current) % count))
            else:
                chosen = min(range(count), key=lambda n: self.agents[n].not_before_ms)
            if chosen != self.current:
                self.current, self.wait_index = chosen, 0  # an index is only valid at the agent that sent it
        return self.current, max(now_ms, self.agents[self.current].not_before_ms)

    def on_failure(
        self, now_ms: float, number: int, reason: str, retry_after_ms: float | None = None
    ) -> ReplyResult:
        """Back off from an agent that has not replied, or not properly."""
        agent, s = self.agents[number], self.settings
        max_delay_ms = min(s.max_backoff_ms, s.base_backoff_ms * 2.0 ** min(agent.failures, 20))
        delay_ms = self.random.uniform(0.0, max_delay_ms)
        if retry_after_ms is not None:  # randomised too, so that not all watchers return at once
            delay_ms = retry_after_ms + delay_ms
        agent.failures += 1
        agent.not_before_ms, agent.failure_reason = now_ms + delay_ms, reason
        self.wait_index = 0
        return ReplyResult.FAILED

    def on_list_read(self, now_ms: float, number: int, took_ms: float) -> None:
        """Pause before the next query, in proportion to the time that reading the list took."""
        s, agent = self.settings, self.agents[number]
        agent.not_before_ms = max(
            agent.not_before_ms, now_ms + min(s.max_pause_ms, s.pause_per_read_time * took_ms)
        )

    def on_reply(self, now_ms: float, number: int, reply: ReplyHeaders) -> ReplyResult:
        """Decide by its headers whether a reply is used.

        `NEW_LIST` asks the caller to read the list, and to report a failure if it is malformed.
        """
        agent, s = self.agents[number], self.settings
        if reply.status != 200:
            return self.on_failure(now_ms, number, f"status {reply.status}", reply.retry_after_ms)
        if not reply.has_known_leader:
            return self.on_failure(now_ms, number, "the agent knows no leader")
        if s.max_stale_ms is not None and reply.last_contact_ms > s.max_stale_ms:
            return self.on_failure(now_ms, number, f"the agent is {reply.last_contact_ms:.0f} ms behind")
        agent.failures, agent.failure_reason = 0, ""
        agent.not_before_ms = now_ms + s.min_interval_ms
        if reply.index and reply.index < self.newest_index and number != self.newest_agent:
            # A lagging agent would bring back workers that are gone.
            if self.lower_since_ms is None:
                self.lower_since_ms = now_ms
            if now_ms - self.lower_since_ms < s.index_reset_ms:
                self.on_failure(now_ms, number, f"index {reply.index} is behind {self.newest_index}")
                return ReplyResult.OUTDATED
        self.lower_since_ms = None
        unchanged = (
            self.has_list
            and reply.index != 0
            and reply.index == self.wait_index
            and number == self.newest_agent
        )
        self.newest_index, self.newest_agent, self.has_list = reply.index, number, True
        # A query can't block on index 0. After an index that went back the next query doesn't block either.
        self.wait_index = reply.index if reply.index >= self.wait_index else 0
        if not reply.index:
            agent.not_before_ms = now_ms + max(1000.0, s.min_interval_ms)
        return ReplyResult.UNCHANGED if unchanged else ReplyResult.NEW_LIST
