"""Timeouts of configuration distribution, and the worst-case delay for each single fault. Pure.

Milliseconds unless the name has another unit. A pair is a range from which each wait is drawn.
"""

from __future__ import annotations

# From decided to in force at every reachable dispatcher, with at most one fault.
PROPAGATION_BOUND_MS = 9000.0

# Follower.
POLL_INTERVAL_MS = (1500.0, 2200.0)
FAST_POLL_INTERVAL_MS = (600.0, 1000.0)  # of relays, and while a newer version is announced but not received
RESPONSE_TIMEOUT_MS = 1000.0
CONNECT_TIMEOUT_MS = 1000.0
SUBSCRIBE_TIMEOUT_MS = 700.0  # for the response to `Subscribe`
# A tick this late means that the process was suspended: the response may be unread.
STALL_THRESHOLD_MS = 500.0
RECONNECT_BACKOFF_MS = (0.0, 300.0)  # the upper end doubles with each consecutive failure
MAX_RECONNECT_BACKOFF_MS = 1000.0
STALE_RELAY_MS = 3500.0  # a relay is stale if it had no confirmation by a majority for this long
# When all relays are stale, the follower stays with one for this long before it tries the others again.
STALE_RELAY_STAY_MS = (1350.0, 2700.0)
# After so many stays the duration doubles. Voters that start together are connected by then.
STALE_RELAY_STAYS_BEFORE_BACKOFF = 2
MAX_STALE_RELAY_STAY_MS = (20_000.0, 40_000.0)
PREFERRED_RELAY_RETRY_MS = (60_000.0, 180_000.0)  # before leaving another relay for the preferred one
STARTUP_GRACE_MS = 2000.0  # the version on the disk waits this long for a relay or a majority

# Relay.
RESEND_INTERVAL_MS = 1000.0  # a push is not repeated for a poll within this time
OVERDUE_SCAN_INTERVAL_MS = 1000.0
FORGET_FOLLOWER_MS = 24 * 3_600_000.0  # after disconnecting
FOLLOWER_OVERDUE_MS = 6000.0  # without a message from a connected follower
FULL_CONTENTS_BYTES_PER_S = 16 * 1024 * 1024  # of a relay, so that many new followers do not overload it
FULL_CONTENTS_WAIT_MS = 1500.0  # longest wait of a follower for rate-limited full contents
FULL_CONTENTS_BURST_MS = 250.0  # capacity of the token bucket, as time at the full rate
STATUS_REPORT_INTERVAL_MS = (800.0, 1200.0)  # between reports of changes
FULL_STATUS_REPORT_INTERVAL_MS = (4000.0, 6000.0)

# Voter.
HEARTBEAT_INTERVAL_MS = (800.0, 1000.0)
REGISTER_READ_DELAY_MS = (100.0, 400.0)  # random, so that voters do not read simultaneously
REGISTER_TIMEOUT_MS = 800.0  # equal to the replica's limit for one change of a register
FETCH_RETRY_INTERVAL_MS = 500.0  # before contents are requested from the next voter
UNDECIDED_CONTENTS_TTL_MS = 60_000.0
RELAY_SILENT_MS = 13_000.0  # two full status reports missed: the relay's followers are unknown
PROPOSAL_TIMEOUT_MS = 5000.0  # after this the outcome of a proposal is unknown

# Allowances for work whose duration is not set here.
STORE_ALLOWANCE_MS = 500.0  # write, sync and apply a version
VOTER_RECONNECT_ALLOWANCE_MS = 1600.0  # two voters reconnect, including the backoff of their connections

_RECONNECT = (
    ("reconnect backoff", RECONNECT_BACKOFF_MS[1]),
    ("connect to another relay", CONNECT_TIMEOUT_MS),
    ("subscribe", SUBSCRIBE_TIMEOUT_MS),
    ("full contents", FULL_CONTENTS_WAIT_MS),
    ("stored and applied", STORE_ALLOWANCE_MS),
)
_SILENT_RELAY = (("poll", POLL_INTERVAL_MS[1]), ("no response", RESPONSE_TIMEOUT_MS), *_RECONNECT)

# For each single fault the delays in order, from a version being decided to its being in force.
FAULTS: dict[str, tuple[tuple[str, float], ...]] = {
    "relay killed": _RECONNECT,
    "relay silent": _SILENT_RELAY,
    "silent relay that another relay follows": (
        ("poll of the following relay", FAST_POLL_INTERVAL_MS[1]),
        ("no response", RESPONSE_TIMEOUT_MS),
        *_RECONNECT,
        ("full contents from the following relay", FULL_CONTENTS_WAIT_MS),
    ),
    "voter lost after deciding, before reporting it": (
        ("heartbeat of another voter", HEARTBEAT_INTERVAL_MS[1]),
        ("delay", REGISTER_READ_DELAY_MS[1]),
        ("register read", REGISTER_TIMEOUT_MS),
        ("delay", REGISTER_READ_DELAY_MS[1]),
        ("register read again", REGISTER_TIMEOUT_MS),
        ("contents fetched", FETCH_RETRY_INTERVAL_MS),
        ("full contents", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
    "lost push": (
        ("poll", POLL_INTERVAL_MS[1]),
        ("another poll, as the push may be in transit", FAST_POLL_INTERVAL_MS[1]),
        ("response", RESPONSE_TIMEOUT_MS),
        ("full contents", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
    "one-way cut between a follower and its relay": _SILENT_RELAY,
    "one-way cut between voters": (
        ("relay becomes stale", STALE_RELAY_MS),
        ("poll", POLL_INTERVAL_MS[1]),
        ("reconnect backoff", RECONNECT_BACKOFF_MS[1]),
        ("subscribe to another relay", SUBSCRIBE_TIMEOUT_MS),
        ("full contents", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
    "all relays start at once, one is then cut off from the majority": (
        ("heartbeat of the other voters", HEARTBEAT_INTERVAL_MS[1]),
        ("stay with the stale relay", STALE_RELAY_STAY_MS[1]),
        ("response", RESPONSE_TIMEOUT_MS),
        *_RECONNECT,
    ),
    "process suspended and resumed": (("stall detection", STALL_THRESHOLD_MS), *_RECONNECT),
    "regions reconnected": (
        ("voters reconnect", VOTER_RECONNECT_ALLOWANCE_MS),
        ("heartbeat", HEARTBEAT_INTERVAL_MS[1]),
        ("contents fetched", FETCH_RETRY_INTERVAL_MS),
        ("connection of a follower that was trying relays", CONNECT_TIMEOUT_MS),
        ("reconnect backoff", MAX_RECONNECT_BACKOFF_MS),
        ("subscribe", SUBSCRIBE_TIMEOUT_MS),
        ("full contents", FULL_CONTENTS_WAIT_MS),
        ("stored and applied", STORE_ALLOWANCE_MS),
    ),
}
