"""Timeouts of configuration distribution, and the worst case they sum up to for each single fault. Pure.

Milliseconds unless the name has another unit. A pair is a range from which each wait is drawn.
"""

from __future__ import annotations

PROPAGATION_BOUND_MS = 9000.0  # from decided to in force at every reachable dispatcher, with one fault

# Follower.
POLL_INTERVAL_MS = (1500.0, 2200.0)
FAST_POLL_INTERVAL_MS = (600.0, 1000.0)  # for relays, and while a newer version is announced but not here
RESPONSE_TIMEOUT_MS = 1000.0
CONNECT_TIMEOUT_MS = 1000.0
SUBSCRIBE_TIMEOUT_MS = 700.0  # for the relay's answer to `Subscribe`
STALL_THRESHOLD_MS = 500.0  # a tick this late means that the process stood still: the response may be unread
RECONNECT_BACKOFF_MS = (0.0, 300.0)  # the upper end doubles with each failure in a row
MAX_RECONNECT_BACKOFF_MS = 1000.0
STALE_RELAY_MS = 3500.0  # a relay without a majority's confirmation for this long is left for another
STALE_RELAY_STAY_MS = (1350.0, 2700.0)  # stay with one when all relays are stale, before trying the others
STALE_RELAY_STAYS_BEFORE_BACKOFF = (
    2  # then the stay doubles; voters that start together are connected by then
)
MAX_STALE_RELAY_STAY_MS = (20_000.0, 40_000.0)
PREFERRED_RELAY_RETRY_MS = (60_000.0, 180_000.0)  # connected to another relay than the preferred one
STARTUP_GRACE_MS = 2000.0  # the disk's version waits this long for a relay or a majority

# Relay.
RESEND_INTERVAL_MS = 1000.0  # a poll within this time of a push does not repeat the push
OVERDUE_SCAN_INTERVAL_MS = 1000.0
FORGET_FOLLOWER_MS = 24 * 3_600_000.0  # after disconnecting
FOLLOWER_OVERDUE_MS = 6000.0  # without a poll from a connected follower
FULL_CONTENTS_BYTES_PER_S = 16 * 1024 * 1024  # see docs/design-configuration.md
FULL_CONTENTS_WAIT_MS = 1500.0  # longest wait for a turn to be sent full contents
FULL_CONTENTS_BURST_MS = 250.0  # capacity of the token bucket, as time at the full rate
STATUS_REPORT_INTERVAL_MS = (800.0, 1200.0)  # of changes
FULL_STATUS_REPORT_INTERVAL_MS = (4000.0, 6000.0)

# Voter.
HEARTBEAT_INTERVAL_MS = (800.0, 1000.0)
REGISTER_READ_DELAY_MS = (100.0, 400.0)  # drawn, so that voters do not read at the same moment
REGISTER_TIMEOUT_MS = 800.0  # as the replica's own limit for one change of a register
FETCH_RETRY_INTERVAL_MS = 500.0  # before contents are requested from another voter
UNDECIDED_CONTENTS_TTL_MS = 60_000.0
RELAY_SILENT_MS = 13_000.0  # two full status reports missed: the relay's followers are unknown
PROPOSAL_TIMEOUT_MS = 5000.0  # after this the proposal's fate is unknown

# Allowances for work whose duration is not set here.
STORE_ALLOWANCE_MS = 500.0  # write, sync and apply a version
VOTER_RECONNECT_ALLOWANCE_MS = 1600.0  # two voters connect again, with the backoff of their connections

_RECONNECT = (
    ("pause", RECONNECT_BACKOFF_MS[1]),
    ("another relay is dialled", CONNECT_TIMEOUT_MS),
    ("its welcome", SUBSCRIBE_TIMEOUT_MS),
    ("its contents, in their turn", FULL_CONTENTS_WAIT_MS),
    ("stored and applied", STORE_ALLOWANCE_MS),
)
_SILENT_RELAY = (("poll", POLL_INTERVAL_MS[1]), ("no answer", RESPONSE_TIMEOUT_MS), *_RECONNECT)

# For each single fault every wait in order, from a version's decision to its being in force.
FAULTS: dict[str, tuple[tuple[str, float], ...]] = {
    "relay killed": _RECONNECT,
    "relay silent": _SILENT_RELAY,
    "relay silent that another relay follows": (
        ("poll of a relay", FAST_POLL_INTERVAL_MS[1]),
        ("no answer", RESPONSE_TIMEOUT_MS),
        *_RECONNECT,
        ("contents of that relay, in their turn", FULL_CONTENTS_WAIT_MS),
    ),
    "voter lost that has decided and told nobody": (
        ("beat of another", HEARTBEAT_INTERVAL_MS[1]),
        ("pause", REGISTER_READ_DELAY_MS[1]),
        ("the register is read", REGISTER_TIMEOUT_MS),
        ("pause", REGISTER_READ_DELAY_MS[1]),
        ("it is read again", REGISTER_TIMEOUT_MS),
        ("contents are fetched", FETCH_RETRY_INTERVAL_MS),
        ("contents, in their turn", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
    "lost push": (
        ("poll", POLL_INTERVAL_MS[1]),
        ("it may still be on its way: another poll", FAST_POLL_INTERVAL_MS[1]),
        ("answer", RESPONSE_TIMEOUT_MS),
        ("contents, in their turn", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
    "one-way cut between a follower and its relay": _SILENT_RELAY,
    "one-way cut between voters": (
        ("its relay has known no majority", STALE_RELAY_MS),
        ("poll", POLL_INTERVAL_MS[1]),
        ("pause", RECONNECT_BACKOFF_MS[1]),
        ("welcome of another", SUBSCRIBE_TIMEOUT_MS),
        ("its contents, in their turn", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
    "start with all relays, one of which then hears no majority": (
        ("beat of the others", HEARTBEAT_INTERVAL_MS[1]),
        ("it has settled", STALE_RELAY_STAY_MS[1]),
        ("answer", RESPONSE_TIMEOUT_MS),
        *_RECONNECT,
    ),
    "stopped and gone on": (("it stood still", STALL_THRESHOLD_MS), *_RECONNECT),
    "regions met again": (
        ("voters are connected", VOTER_RECONNECT_ALLOWANCE_MS),
        ("beat", HEARTBEAT_INTERVAL_MS[1]),
        ("contents are fetched", FETCH_RETRY_INTERVAL_MS),
        ("dialling of one that looked round", CONNECT_TIMEOUT_MS),
        ("pause", MAX_RECONNECT_BACKOFF_MS),
        ("welcome", SUBSCRIBE_TIMEOUT_MS),
        ("contents, in their turn", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
}
