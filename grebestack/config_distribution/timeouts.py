"""All waits of the configuration in force on its way to followers, and for each single fault their sum. Pure.

Milliseconds; where two are given the wait is drawn between them.
"""

from __future__ import annotations

BOUND_MS = 9000.0  # from decided to in force at all that can be reached, with one fault

# A follower.
POLL_MS = (1500.0, 2200.0)  # after it was last answered it asks again
SOON_MS = (600.0, 1000.0)  # ... where it knows of a newer number that has not come; a relay's own pace too
ANSWER_MS = 1000.0  # an answer is awaited, else it leaves the relay
DIAL_MS = 1000.0  # a connection is awaited
GREET_MS = 700.0  # the welcome is awaited
LATE_MS = 500.0  # a tick that is so late says that the process itself stood still: an answer may be unread
PAUSE_MS = (0.0, 300.0)  # before another relay is dialled, doubled with each failure in a row
PAUSE_MOST_MS = 1000.0
STALE_MS = 3500.0  # a relay that has known nothing of a majority for so long is left for another
SETTLED_MS = (1350.0, 2700.0)  # where all are stale it stays with one, then looks round again
SETTLED_ALIKE = 2  # so often for as long, then doubled each time: voters that start with it are heard by then
SETTLED_MOST_MS = (20_000.0, 40_000.0)
HOME_MS = (60_000.0, 180_000.0)  # away from its first relay for so long it tries that one again
START_MS = 2000.0  # what is on the disk waits for a relay's word for so long

# A relay.
RESEND_MS = 1000.0  # what was sent within this is not sent again at a poll
SCAN_MS = 1000.0  # it looks for followers that are overdue
FORGET_MS = 24 * 3_600_000.0  # one that has gone is forgotten
OVERDUE_MS = 6000.0  # a follower that is connected and has not polled for so long is not heard
WHOLE_BYTES_S = 16 * 1024 * 1024  # whole contents a second, see docs/design-configuration.md
WHOLE_MS = 1500.0  # for so long a whole may wait for its turn
BURST_MS = 250.0  # the bucket holds as much as goes in this
TALLY_MS = (800.0, 1200.0)  # where something has changed
TALLY_WHOLE_MS = (4000.0, 6000.0)  # the whole word

# Voters.
BEAT_MS = (800.0, 1000.0)
READ_MS = (100.0, 400.0)  # before the register is read for what another seems to have decided
ASK_MS = 800.0  # a change of the register that is not through by then has come to nothing (member.ASK_MS)
FETCH_MS = 500.0  # contents are asked for at another voter after this
KEPT_MS = 60_000.0  # contents that nobody has decided are kept for so long at least
RELAY_SILENT_MS = 13_000.0  # two whole words of a relay have not come: its followers are not known
PROPOSE_MS = 5000.0  # a proposal that is not through by then is not known to be in force

# Allowances, no waits of this code's: what is measured stands far below them.
STORE_MS = 500.0  # a version is written, synced and put in force
MESH_MS = (
    1600.0  # two voters are connected again (cluster_io.node.MAX_DIAL_BACKOFF_S, a second for the dialling)
)

_GOES_OVER = (
    ("pause", PAUSE_MS[1]),
    ("another relay is dialled", DIAL_MS),
    ("its welcome", GREET_MS),
    ("its contents, in their turn", WHOLE_MS),
    ("stored and applied", STORE_MS),
)
_SILENT = (("poll", POLL_MS[1]), ("no answer", ANSWER_MS), *_GOES_OVER)

# For each single fault every wait, one after the other, from a decided version to its being in force.
FAULTS: dict[str, tuple[tuple[str, float], ...]] = {
    "relay killed": _GOES_OVER,
    "relay silent": _SILENT,
    "relay silent that another relay follows": (
        ("poll of a relay", SOON_MS[1]),
        ("no answer", ANSWER_MS),
        *_GOES_OVER,
        ("contents of that relay, in their turn", WHOLE_MS),
    ),
    "voter lost that has decided and told nobody": (
        ("beat of another", BEAT_MS[1]),
        ("pause", READ_MS[1]),
        ("the register is read", ASK_MS),
        ("pause", READ_MS[1]),
        ("it is read again", ASK_MS),
        ("contents are fetched", FETCH_MS),
        ("contents, in their turn", WHOLE_MS),
        ("stored and applied", STORE_MS),
    ),
    "lost push": (
        ("poll", POLL_MS[1]),
        ("it may still be on its way: another poll", SOON_MS[1]),
        ("answer", ANSWER_MS),
        ("contents, in their turn", WHOLE_MS),
        ("stored and applied", STORE_MS),
    ),
    "one-way cut between a follower and its relay": _SILENT,
    "one-way cut between voters": (
        ("its relay has known no majority", STALE_MS),
        ("poll", POLL_MS[1]),
        ("pause", PAUSE_MS[1]),
        ("welcome of another", GREET_MS),
        ("its contents, in their turn", WHOLE_MS),
        ("stored and applied", STORE_MS),
    ),
    "start with all relays, one of which then hears no majority": (
        ("beat of the others", BEAT_MS[1]),
        ("it has settled", SETTLED_MS[1]),
        ("answer", ANSWER_MS),
        *_GOES_OVER,
    ),
    "stopped and gone on": (("it stood still", LATE_MS), *_GOES_OVER),
    "regions met again": (
        ("voters are connected", MESH_MS),
        ("beat", BEAT_MS[1]),
        ("contents are fetched", FETCH_MS),
        ("dialling of one that looked round", DIAL_MS),
        ("pause", PAUSE_MOST_MS),
        ("welcome", GREET_MS),
        ("contents, in their turn", WHOLE_MS),
        ("stored and applied", STORE_MS),
    ),
}
