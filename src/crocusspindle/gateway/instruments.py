"""Declare the metrics of a node that serves on the platform."""

from typing import Final

from crocusspindle.metrics import InstrumentKind, declare

RESPONSES: Final = declare(
    "gateway_answers",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("outcome",),
    meaning="Requests that got a target's response, by its status, whose caller left, "
    "or that a leaving node gave up without a response.",
    when_rising="More 502 and 504 than usual: see `gateway_sendings` for the outcomes "
    "of their attempts. `given up`: requests outlast the grace period.",
)
GIVEN_UP: Final = declare(
    "gateway_given_up",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("waited_for",),
    meaning="Requests that a leaving node gave up at the end of its grace period, by "
    "what they waited for: `response` of a target or another node, `place` at a "
    "target, `caller` who reads the response.",
    when_rising="`response`: work outlasted the grace period; `sends` in the line "
    "`given up` has its target, and what was expected of it.",
)
REFUSED: Final = declare(
    "gateway_refused",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("reason",),
    meaning="Requests that the fleet refused itself, by reason.",
    when_rising="Depends on the reason: `rate` and `unknown-key` concern one customer, "
    "`full` and `repeats` the capacity of a service, `proof-too-old` and `no-keeper` "
    "the network to the platform or between nodes.",
)
WAITING: Final = declare(
    "gateway_waiting",
    InstrumentKind.GAUGE,
    unit="requests",
    labels=("service",),
    meaning="Requests that wait at this node, as a placer, for a slot of a target.",
    when_rising="A service is at its capacity: see `service overloaded` in the log of "
    "its placer.",
)
SHORT_SERVICES: Final = declare(
    "gateway_short_services",
    InstrumentKind.GAUGE,
    unit="services",
    meaning="Services that this node places and that refused a request as full within "
    "the last two seconds.",
    when_rising="The line `service no longer overloaded` names the customers that "
    "used the service's room.",
)
ATTEMPTS: Final = declare(
    "gateway_sendings",
    InstrumentKind.COUNTER,
    unit="sendings",
    labels=("ending",),
    meaning="Attempts on targets, by outcome.",
    when_rising="`broken` and `error`: gray targets; `unreached` and `silent`: network "
    "paths or hung targets; `shed`: targets at capacity.",
)
EXCEEDED: Final = declare(
    "gateway_exceeded_bounds",
    InstrumentKind.COUNTER,
    unit="responses",
    labels=("bound",),
    meaning="Responses of targets that exceeded a bound, by bound: `interim`, `head`, "
    "`framing`, `parser` (refused by the HTTP library), `malformed` (a head that is "
    "not valid in HTTP/1), `body-bytes`, `body-time` (not ended by the deadline), "
    "`body-unusual` (longer by far than those of its service).",
    when_rising="A target sends without end, or what is no response: `detail` in "
    "`sends` and `response exceeded a bound` in the log name it.",
)
PLACED: Final = declare(
    "gateway_placed",
    InstrumentKind.COUNTER,
    unit="sendings",
    labels=("service", "kind"),
    meaning="Attempts that got a target, by kind: `first` of a request, `again` after "
    "attempts that reached no target, `retry` or `hedge` after one that may have. The "
    "sum over all hosts is what the service's targets get.",
    when_rising="`retry` and `hedge` count against the service's retry budget: see "
    "`gateway_sendings` for the outcomes before. `again`: connections fail.",
)
CRASHES: Final = declare(
    "gateway_target_crashes",
    InstrumentKind.COUNTER,
    unit="targets",
    labels=("service",),
    meaning="Targets whose process ended with attempts in flight, by their placer.",
    when_rising="Look for `crash record changed` in the log: one `content` in several "
    "crashes is a request that crashes its targets; see docs/OPERATIONS.md.",
)
REQUEST_MS: Final = declare(
    "gateway_request_ms",
    InstrumentKind.HISTOGRAM,
    unit="ms",
    labels=("route",),
    meaning="Time from a request's head to its response, by kind of route.",
    when_rising="Compare with the targets' own latency in the log's `sends`.",
)
MESSAGES: Final = declare(
    "gateway_messages",
    InstrumentKind.COUNTER,
    unit="datagrams",
    labels=("type",),
    meaning="Datagrams that this node sent to others, by type of message.",
    when_rising="More than two `Ping` per second, or `State` on several hosts: nodes "
    "disagree on the reader; see `reader passed over` in the log.",
)
MESSAGE_BYTES: Final = declare(
    "gateway_message_bytes",
    InstrumentKind.COUNTER,
    unit="bytes",
    labels=("type",),
    meaning="Bytes of these datagrams, by type of message.",
    when_rising="`State` near a quarter of the host's link: full documents are "
    "requested faster than they may be sent; members or targets keep changing.",
)
EVACUATED: Final = declare(
    "gateway_evacuated_domains",
    InstrumentKind.GAUGE,
    unit="failure domains",
    meaning="Failure domains to whose targets this node sends nothing, as evacuated.",
    when_rising="An operator evacuates a domain. A host whose value differs from the "
    "others' has not learned of it yet; see docs/OPERATIONS.md.",
)
STORE_ERA: Final = declare(
    "gateway_store_era",
    InstrumentKind.GAUGE,
    unit="eras",
    meaning="Newest era of the platform's store that this node has heard of; -1 if "
    "none.",
    when_rising="The store was restored from a copy. A host whose value is below the "
    "others' has not learned of it yet; see `store restored` in the log.",
)
STALE_RESPONSES: Final = declare(
    "gateway_stale_responses",
    InstrumentKind.GAUGE,
    unit="responses",
    meaning="Responses of the store since the start that this node dropped, as older "
    "than what it had read before.",
    when_rising="The store answers with old state, or was restored without naming a "
    "newer era: see `store lost` in the log.",
)
REJECTED_ROWS: Final = declare(
    "gateway_rejected_rows",
    InstrumentKind.GAUGE,
    unit="rows",
    meaning="Rows of the store that this node has read and can't use.",
    when_rising="Another program writes to these tables: see `row rejected` in the log "
    "for the row and what is wrong with it. The other rows are in force.",
)
CALLER_CONNECTIONS: Final = declare(
    "gateway_caller_connections",
    InstrumentKind.GAUGE,
    unit="connections",
    meaning="Open connections of callers.",
    when_rising="At the bound idle ones are closed, and new ones if there are none.",
)
CLOSED_AT_BOUND: Final = declare(
    "gateway_connections_closed",
    InstrumentKind.GAUGE,
    unit="connections",
    meaning="Connections closed at a bound since the start, by `reason`: `idle` and "
    "`refused` for their number, `heads` for the memory of their heads.",
    when_rising="Callers open more connections than the host has room for: see "
    "`connections are closed at a bound` in the log.",
)
REJECTED_MESSAGES: Final = declare(
    "gateway_rejected_messages",
    InstrumentKind.COUNTER,
    unit="datagrams",
    labels=("type",),
    meaning="Datagrams that this node could not read (`unreadable`) or use, by type.",
    when_rising="Another program sends to the port between nodes, or nodes of versions "
    "that don't understand each other: see `message rejected` in the log.",
)
LOST_PATHS: Final = declare(
    "gateway_lost_paths",
    InstrumentKind.GAUGE,
    unit="services",
    meaning="Services of whose targets this node reaches none, while other nodes may.",
    when_rising="On a few hosts: their network to the targets. On all hosts: the "
    "targets of the service. See `paths to targets lost` in the log.",
)
HANDED_OVER: Final = declare(
    "gateway_handed_over",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("ending",),
    meaning="Requests handed over to another node since this one reaches no target of "
    "their service, by outcome; once for each node that was asked.",
    when_rising="This host has lost its network to targets: see `paths to targets "
    "lost` in the log. `shed`, `closed`: the other nodes have no path either.",
)
TAKEN: Final = declare(
    "gateway_taken",
    InstrumentKind.COUNTER,
    unit="requests",
    meaning="Requests taken from other nodes that reach no target of their service.",
    when_rising="Other hosts have lost their network to targets: see `handed_over_by` "
    "in the request lines.",
)
TOKENS_RETURNED: Final = declare(
    "gateway_tokens_returned",
    InstrumentKind.COUNTER,
    unit="tokens",
    labels=("outcome",),
    meaning="Tokens of customers' rates returned since their requests certainly "
    "arrived at no target: `accepted` or `rejected` by this node as the quota keeper, "
    "`unconfirmed` by the keeper that this node returned them to.",
    when_rising="`accepted`: requests get tokens and are refused afterwards, see "
    "`gateway_refused` for the reasons. `rejected`: keepers change, or copies arrive "
    "late. `unconfirmed`: keepers or the network between nodes fail; these tokens are "
    "lost to their customers.",
)
HOST_LOAD: Final = declare(
    "gateway_host_load",
    InstrumentKind.GAUGE,
    unit="eighths",
    meaning="Fraction of its processor share that this host used in the last second, "
    "in eighths; 8 also if its event loop was late.",
    when_rising="From 5 on, fewer callers get its address. On all hosts: the fleet "
    "needs more hosts; on one: see its roles in `view in force` and `started`.",
)
HELD_BYTES: Final = declare(
    "gateway_held_bytes",
    InstrumentKind.GAUGE,
    unit="bytes",
    meaning="Request bodies that this node has read and not yet sent, and responses "
    "that it has read and their callers have not yet taken (without "
    "`memory_mb` until they are handed to the connection).",
    when_rising="Callers read their responses slowly, or targets read requests slowly; "
    "see `gateway_memory_measures`.",
)
MEMORY_MEASURES: Final = declare(
    "gateway_memory_measures",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("measure",),
    meaning="Requests that a measure against rising memory met: their body waited "
    "(`back-pressure`), they were refused (`refusal`), or their response was dropped "
    "(`drop`).",
    when_rising="One customer's callers read slowly: see `memory measure begins` in "
    "the log, with the customer that holds most. On all hosts: more hosts or memory.",
)
TARGET_LIMITS: Final = declare(
    "gateway_target_limits",
    InstrumentKind.GAUGE,
    unit="targets",
    meaning="Targets of the services that this node places for whose learned "
    "concurrency limit is below their listed slots.",
    when_rising="Targets answer fewer requests per second when all their slots are "
    "taken: see `target concurrency changed` in the log.",
)
LOG_DROPPED: Final = declare(
    "log_dropped",
    InstrumentKind.GAUGE,
    unit="lines",
    meaning="Log lines dropped since the start, above the rate limit or unread.",
    when_rising="The reader of standard output is slow, or the load is high.",
)
