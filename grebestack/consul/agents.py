"""Which agent is asked, when, and whether its answer is believed. Pure: time and chance are arguments.

From the public description of Consul's HTTP API: blocking queries by index, `X-Consul-KnownLeader`,
`X-Consul-LastContact`, `Retry-After`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random


class ReplyResult(Enum):
    """What becomes of an answer."""

    NEW_LIST = "taken"  # it is the list
    UNCHANGED = "same"  # nothing has changed
    OUTDATED = "old"  # the agent lags behind what another has said: it is not believed
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """How agents are asked; times in milliseconds.

    After failures an agent rests for a time drawn from 0 to `again_ms`, doubled with each up to
    `again_most_ms`: so many watchers of an agent that restarts come back spread over that window.
    """

    agents: tuple[tuple[str, int], ...]
    base_backoff_ms: float = 250.0
    max_backoff_ms: float = 8000.0
    min_interval_ms: float = (
        50.0  # between two queries: a service that changes all the time must not keep us busy
    )
    pause_per_read_time: float = 12.0  # nor a large one: a rest of so many times what reading a list took
    max_pause_ms: float = 1000.0
    max_stale_ms: float | None = None  # an answer that is older by the agent's word is not believed
    index_reset_ms: float = 10_000.0  # an index that is lower at all agents for so long has been reset

    def __post_init__(self) -> None:
        if not self.agents or len(set(self.agents)) < len(self.agents):
            raise ValueError("agents must be named, each once")
        if (
            not 0 < self.base_backoff_ms <= self.max_backoff_ms
            or self.min_interval_ms < 0
            or self.index_reset_ms < 0
        ):
            raise ValueError(f"{self} has a time out of range")


@dataclass(frozen=True, slots=True)
class ReplyHeaders:
    """The head of an answer. An index of 0: there was none."""

    status: int
    index: int = 0
    has_known_leader: bool = True
    last_contact_ms: float = 0.0
    retry_after_ms: float | None = None


@dataclass(slots=True)
class Agent:
    """What is known of one agent."""

    address: tuple[str, int]
    failures: int = 0
    not_before_ms: float = 0.0  # it is not asked before
    failure_reason: str = ""


@dataclass(slots=True)
class AgentSelector:
    """The agents of one list: one is asked at a time, the next when it fails."""

    settings: AgentSettings
    random: Random
    agents: list[Agent] = field(init=False)
    current: int = 0
    wait_index: int = (
        0  # that the current agent's next query waits for a change of; 0: it is answered at once
    )
    newest_index: int = 0  # the highest index whose list was taken
    newest_agent: int = -1  # from which agent
    lower_since_ms: float | None = None  # only lower indexes have been seen since
    has_list: bool = False  # a list was taken

    def __post_init__(self) -> None:
        self.agents = [Agent(address) for address in self.settings.agents]

    def select(self, now_ms: float) -> tuple[int, float]:
        """The agent to ask next, and when: the current one, or the first that has rested."""
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
                self.current, self.wait_index = chosen, 0  # an index is waited for where it was seen
        return self.current, max(now_ms, self.agents[self.current].not_before_ms)

    def on_failure(
        self, now_ms: float, number: int, reason: str, retry_after_ms: float | None = None
    ) -> ReplyResult:
        """An agent did not answer, or not as it should: it rests."""
        agent, s = self.agents[number], self.settings
        max_delay_ms = min(s.max_backoff_ms, s.base_backoff_ms * 2.0 ** min(agent.failures, 20))
        delay_ms = self.random.uniform(0.0, max_delay_ms)
        if retry_after_ms is not None:  # it says itself when; spread, lest all come at that moment
            delay_ms = retry_after_ms + delay_ms
        agent.failures += 1
        agent.not_before_ms, agent.failure_reason = now_ms + delay_ms, reason
        self.wait_index = 0
        return ReplyResult.FAILED

    def on_list_read(self, now_ms: float, number: int, took_ms: float) -> None:
        """A list has been read, which took so long: how soon the next query follows."""
        s, agent = self.settings, self.agents[number]
        agent.not_before_ms = max(
            agent.not_before_ms, now_ms + min(s.max_pause_ms, s.pause_per_read_time * took_ms)
        )

    def on_reply(self, now_ms: float, number: int, reply: ReplyHeaders) -> ReplyResult:
        """Judge an answer by its head. `TAKEN` asks the caller to read the list, and to say if it can't."""
        agent, s = self.agents[number], self.settings
        if reply.status != 200:
            return self.on_failure(now_ms, number, f"status {reply.status}", reply.retry_after_ms)
        if not reply.has_known_leader:
            return self.on_failure(now_ms, number, "it knows no leader")
        if s.max_stale_ms is not None and reply.last_contact_ms > s.max_stale_ms:
            return self.on_failure(now_ms, number, f"it is {reply.last_contact_ms:.0f} ms behind")
        agent.failures, agent.failure_reason = 0, ""
        agent.not_before_ms = now_ms + s.min_interval_ms
        if reply.index and reply.index < self.newest_index and number != self.newest_agent:
            # Guards against an agent that lags: it would bring back servers that are gone.
            if self.lower_since_ms is None:
                self.lower_since_ms = now_ms
            if now_ms - self.lower_since_ms < s.index_reset_ms:
                self.on_failure(now_ms, number, f"its index {reply.index} is behind {self.newest_index}")
                return ReplyResult.OUTDATED
        self.lower_since_ms = None
        unchanged = (
            self.has_list
            and reply.index != 0
            and reply.index == self.wait_index
            and number == self.newest_agent
        )
        self.newest_index, self.newest_agent, self.has_list = reply.index, number, True
        # An index of 0 can't be waited for; and one that went back is waited for from anew.
        self.wait_index = reply.index if reply.index >= self.wait_index else 0
        if not reply.index:
            agent.not_before_ms = now_ms + max(1000.0, s.min_interval_ms)
        return ReplyResult.UNCHANGED if unchanged else ReplyResult.NEW_LIST
