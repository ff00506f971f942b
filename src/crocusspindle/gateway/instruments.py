"""Declare the metrics of a node that serves on the platform."""

from typing import Final

from crocusspindle.metrics import InstrumentKind, declare

ANSWERS: Final = declare(
    "gateway_answers",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("outcome",),
    meaning="Requests that were sent to a target, by the status the caller got.",
    when_rising="More 502 and 504 than usual: see `gateway_sendings` for how targets "
    "ended them.",
)
REFUSED: Final = declare(
    "gateway_refused",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("reason",),
    meaning="Requests that the fleet answered itself, by reason.",
    when_rising="Go by the reason: `rate` and `unknown-key` concern one customer, "
    "`full` and `repeats` a service's room, `proof-too-old` and `no-keeper` the way "
    "to the platform or between nodes.",
)
SENDINGS: Final = declare(
    "gateway_sendings",
    InstrumentKind.COUNTER,
    unit="sendings",
    labels=("ending",),
    meaning="Sendings to targets by how they ended.",
    when_rising="`broken` and `error`: gray targets; `unreached` and `silent`: paths "
    "or hung targets; `shed`: targets without room.",
)
CRASHES: Final = declare(
    "gateway_target_crashes",
    InstrumentKind.COUNTER,
    unit="targets",
    labels=("service",),
    meaning="Targets whose process ended while work ran there, by their placer.",
    when_rising="Look for `crash record changed` in the log: one `content` in several "
    "crashes is a request that ends its targets; see docs/OPERATIONS.md.",
)
REQUEST_MS: Final = declare(
    "gateway_request_ms",
    InstrumentKind.HISTOGRAM,
    unit="ms",
    labels=("route",),
    meaning="Time from a request's head to its answer, by kind of route.",
    when_rising="Compare with the targets' own latency in the log's `sends`.",
)
MESSAGES: Final = declare(
    "gateway_messages",
    InstrumentKind.COUNTER,
    unit="datagrams",
    labels=("type",),
    meaning="Datagrams that this node sent to others, by type of message.",
    when_rising="More than two `Ping` a second, or `State` on several hosts: nodes do "
    "not agree who reads for the fleet; see `reader passed over` in the log.",
)
MESSAGE_BYTES: Final = declare(
    "gateway_message_bytes",
    InstrumentKind.COUNTER,
    unit="bytes",
    labels=("type",),
    meaning="Bytes of these datagrams, by type of message.",
    when_rising="`State` near a quarter of the host's link: whole lists are asked for "
    "faster than they may leave; the members or the targets change all the time.",
)
LOG_DROPPED: Final = declare(
    "log_dropped",
    InstrumentKind.GAUGE,
    unit="lines",
    meaning="Log lines dropped since the start, over the bound or unread.",
    when_rising="Whoever reads standard output is slow, or the load is high.",
)
