"""Declare the metrics of a node."""

from typing import Final

from crocusspindle.metrics import InstrumentKind, declare

REQUESTS: Final = declare(
    "requests",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("service", "outcome"),
    meaning="Callers' requests that ended at this entry, by service and outcome.",
    when_rising="Compare the outcomes: more `unknown` points to targets or peers "
    "that stop responding, more `not-run` to overload or an ineligible node.",
)
CUSTOMER_REQUESTS: Final = declare(
    "customer_requests",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("customer", "outcome"),
    meaning="Callers' requests that ended at this entry, by customer and outcome.",
    when_rising="For one customer only: see the page on a customer over its rate.",
)
REFUSALS: Final = declare(
    "refusals",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("service", "reason"),
    meaning="Requests that were refused and not run, by reason.",
    when_rising="Check the reason: `rate` and `key` concern one customer; "
    "`queue-full`, `wait-too-long` and `deadline-unreachable` the service's "
    "capacity, `no-target` its targets, `unfit` this node.",
)
REQUEST_MS: Final = declare(
    "request_ms",
    InstrumentKind.HISTOGRAM,
    unit="ms",
    labels=("service",),
    meaning="Time from a request's head to the end of its response at the entry.",
    when_rising="Check `queue_wait_ms` (too few slots) and `attempt_ms` (slow "
    "targets); the rest is added by the fleet.",
)
QUEUE_WAIT_MS: Final = declare(
    "queue_wait_ms",
    InstrumentKind.HISTOGRAM,
    unit="ms",
    labels=("service",),
    meaning="Time that requests waited at their group coordinator for a slot.",
    when_rising="The service needs more targets, or some are ejected: see `status`.",
)
QUEUED: Final = declare(
    "queued",
    InstrumentKind.GAUGE,
    unit="requests",
    labels=("service",),
    meaning="Requests that wait at this group coordinator.",
    when_rising="As for `queue_wait_ms`.",
)
ATTEMPTS: Final = declare(
    "attempts",
    InstrumentKind.COUNTER,
    unit="attempts",
    labels=("service", "result"),
    meaning="Attempts of requests at targets, by result.",
    when_rising="More failures: see `status` for the evidence on each target.",
)
ATTEMPT_MS: Final = declare(
    "attempt_ms",
    InstrumentKind.HISTOGRAM,
    unit="ms",
    labels=("service",),
    meaning="Time from sending a request to a target to the head of its response.",
    when_rising="Targets are slow: see the page on gray targets.",
)
RETRIES: Final = declare(
    "retries",
    InstrumentKind.COUNTER,
    unit="attempts",
    labels=("service",),
    meaning="Retries of idempotent requests after a failure.",
    when_rising="Targets fail; `limits.retry_fraction` bounds the extra load.",
)
HEDGES: Final = declare(
    "hedges",
    InstrumentKind.COUNTER,
    unit="attempts",
    labels=("service",),
    meaning="Second attempts of slow idempotent requests at another target.",
    when_rising="Some targets are slow; `limits.hedge_fraction` bounds the load.",
)
EJECTED: Final = declare(
    "ejected",
    InstrumentKind.GAUGE,
    unit="targets",
    labels=("service",),
    meaning="Targets to which this group coordinator sends no work now.",
    when_rising="Near the service's floor, ejection stops: repair targets first.",
)
FIT: Final = declare(
    "fit",
    InstrumentKind.GAUGE,
    unit="1",
    meaning="1 while the node is eligible for new work, else 0.",
    when_rising="0 on some nodes: see the page on partitions; 0 on all: the platform "
    "is unreachable and no majority is in contact.",
)
STAMP_AGE_MS: Final = declare(
    "stamp_age_ms",
    InstrumentKind.GAUGE,
    unit="ms",
    meaning="Age of the node's freshness timestamp.",
    when_rising="On one node: it is cut off; on all: the platform is unreachable.",
)
MEMBERS: Final = declare(
    "members",
    InstrumentKind.GAUGE,
    unit="nodes",
    meaning="Live members in the node's view.",
    when_rising="Fewer than hosts: look for nodes that are down or cut off.",
)
TICKET: Final = declare(
    "ticket",
    InstrumentKind.GAUGE,
    unit="number",
    meaning="Number of the last ticket that the node applied.",
    when_rising="It rises with each ticket; a node that lags is cut off.",
)
PLATFORM_CALLS: Final = declare(
    "platform_calls",
    InstrumentKind.COUNTER,
    unit="calls",
    labels=("call", "result"),
    meaning="Calls to the platform, by result.",
    when_rising='More `unavailable` or `unknown`: see the page "Platform outage".',
)
PLATFORM_CALL_MS: Final = declare(
    "platform_call_ms",
    InstrumentKind.HISTOGRAM,
    unit="ms",
    labels=("call",),
    meaning="Duration of calls to the platform.",
    when_rising="The platform is slow; tickets take longer to come into force.",
)
PEERS: Final = declare(
    "peers",
    InstrumentKind.GAUGE,
    unit="connections",
    meaning="Peers in two-way contact.",
    when_rising="Fewer than `members`: see the page on partitions.",
)
SHARE_REFUSALS: Final = declare(
    "share_refusals",
    InstrumentKind.COUNTER,
    unit="requests",
    labels=("customer",),
    meaning="Requests refused because their entry had no tokens and could borrow none.",
    when_rising="If the customer is within its rate, other holders have the tokens.",
)
SHARE_LOANS: Final = declare(
    "share_loans",
    InstrumentKind.COUNTER,
    unit="loans",
    meaning="Attempts to lend tokens to another node, also those that lent none.",
    when_rising="Callers use outdated addresses, or holders were replaced.",
)
CALLER_CONNECTIONS: Final = declare(
    "caller_connections",
    InstrumentKind.GAUGE,
    unit="connections",
    meaning="Open connections of callers.",
    when_rising="At `caller.max_connections` new ones are refused: callers should keep "
    "connections, or more entry hosts are needed.",
)
OPERATOR_CALLS: Final = declare(
    "operator_calls",
    InstrumentKind.COUNTER,
    unit="calls",
    labels=("status",),
    meaning="Calls at the operator port, by HTTP status.",
    when_rising="More 401: unknown keys are tried; more 409: tickets conflict.",
)
HEALTH_CHANGES: Final = declare(
    "health_changes",
    InstrumentKind.COUNTER,
    unit="changes",
    labels=("service", "change"),
    meaning="Changes of target health at this node's group coordinators, by kind.",
    when_rising="See the page on gray targets; `GroupSuspect` points to the path.",
)
OPERATIONS_KEPT: Final = declare(
    "operations_kept",
    InstrumentKind.GAUGE,
    unit="operations",
    meaning="Records of operation keys that this node holds.",
    when_rising="Callers begin more operations within the retention time; at the "
    "bound, new operations are refused.",
)
HEARTBEAT_BYTES: Final = declare(
    "heartbeat_bytes",
    InstrumentKind.GAUGE,
    unit="bytes",
    meaning="Bytes of heartbeats and echoes sent to peers since the start, including "
    "66 bytes of headers each.",
    when_rising="It always grows; above 20 KB/s the fleet is larger than the heartbeat "
    "interval is designed for.",
)
