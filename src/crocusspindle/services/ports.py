"""Open the ports of a node: callers, peers, operators and metrics."""

import asyncio
import hmac
import math
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from aiohttp import web
from aiohttp.typedefs import Handler
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from crocusspindle.caller_connections import (
    CallerConnection,
    abort_connections,
    close_connections,
)
from crocusspindle.clock import now_ms
from crocusspindle.connection_table import ConnectionTable, limit_receive_buffer
from crocusspindle.core.connection_bound import ConnectionBound
from crocusspindle.core.directory_dump import dump
from crocusspindle.core.operation_records import OperationName, decode_record
from crocusspindle.errors import PeerError
from crocusspindle.ids import CustomerId, MemberId, OperationKey, TargetId, TicketNumber
from crocusspindle.kernel import Service
from crocusspindle.pending_reads import read_arrived
from crocusspindle.services import error_responses
from crocusspindle.services.caller_server import CallerServer
from crocusspindle.services.control import ControlService
from crocusspindle.services.coordinator import CoordinatorService
from crocusspindle.services.entry import EntryService
from crocusspindle.services.follower import target_message
from crocusspindle.services.ledger import (
    LedgerService,
    attempt_from_message,
    response_from_message,
)
from crocusspindle.services.links import RemoteCoordinatorLink
from crocusspindle.services.operations import begin_reply
from crocusspindle.services.peers import (
    FLEET_KEY_HEADER,
    HEADER_BYTES,
    wire_configuration,
)
from crocusspindle.services.rates import RatesService
from crocusspindle.settings_schema import CallerSettings
from crocusspindle.wire import fleet_pb2 as wire
from crocusspindle.wire.fleet_grpc import FleetBase

RequestMessage = TypeVar("RequestMessage")

BUSY_POLL_S: Final = 0.05
MAX_TAIL_TICKETS: Final = 500
BACKLOG: Final = 128

LAST_RESPONSES_MS: Final = 9_000.0
"""Time that a port gives running requests when it stops: less than the kernel gives a
service to stop."""

ADDITIONAL_PART: Final = 8
"""Fraction of the connections, as a divisor, that may be open above their maximum."""

HEADS_BYTES: Final = 16_000_000
"""Maximum memory of the heads of all callers' requests."""

HTTP_CONNECTIONS: Final = 64
"""Maximum open connections of the operators' port, and of the metrics' port."""

HTTP_HEADS_BYTES: Final = 2_000_000

ABORT_TIMEOUT_S: Final = 0.2
"""Time that requests whose connections were closed have to end."""


class PeerServer(FleetBase):
    """Serve the calls of other nodes."""

    def __init__(
        self,
        control: ControlService,
        rates: RatesService,
        coordinator: CoordinatorService,
        ledger: LedgerService,
    ) -> None:
        self._control = control
        self._ledger = ledger
        self._rates = rates
        self._coordinator = coordinator

    async def Heartbeat(self, stream: Stream[wire.Beat, wire.Echo]) -> None:
        """Echo the heartbeats of a peer for as long as it sends them."""
        async for beat in stream:
            self._control.record_message(MemberId(beat.member), beat.standing)
            if beat.HasField("joining"):
                self._control.receive_join_request(MemberId(beat.member), beat.joining)
            echo = wire.Echo(
                member=self._control.own_member.member,
                sequence=beat.sequence,
                standing=self._control.standing(),
            )
            self._control.heartbeat_bytes += echo.ByteSize() + HEADER_BYTES
            await stream.send_message(echo)

    async def HandOver(
        self, stream: Stream[wire.HandOverFrame, wire.AnswerFrame]
    ) -> None:
        """Serve a request as the coordinator of its targets."""
        try:
            await self._coordinator.serve(RemoteCoordinatorLink(stream))
        except PeerError as error:
            raise GRPCError(Status.ABORTED, str(error)) from error

    async def Lend(self, stream: Stream[wire.LendRequest, wire.LendReply]) -> None:
        """Lend tokens of a customer's share."""
        message = await _receive_message(stream)
        customer = CustomerId(message.customer)
        loan = await self._rates.lend_whole_token(customer, message.missing)
        await stream.send_message(
            wire.LendReply(
                amount=loan.amount,
                refill_per_s=loan.refill_per_s,
                retry_after_ms=loan.retry_after_ms,
                available=loan.available,
                grace_ms=loan.grace_ms,
            )
        )

    async def Tail(self, stream: Stream[wire.TailRequest, wire.TailReply]) -> None:
        """Send applied tickets, the view and the age of the freshness timestamp."""
        message = await _receive_message(stream)
        after, limit = TicketNumber(message.after), min(message.limit, MAX_TAIL_TICKETS)
        age_ms = self._control.node_eligibility.timestamp_age_ms(now_ms())
        reply = wire.TailReply(
            tickets=self._control.tail(after, limit) or [],
            view=self._control.view_bytes(),
            has_stamp=age_ms is not None,
            stamp_age_ms=age_ms or 0.0,
            applied_ticket=self._control.log.applied,
        )
        await stream.send_message(reply)

    async def Snapshot(
        self, stream: Stream[wire.SnapshotRequest, wire.SnapshotReply]
    ) -> None:
        """Send the whole directory as of the last applied ticket."""
        await _receive_message(stream)
        reply = wire.SnapshotReply(
            applied_ticket=self._control.log.applied,
            content=dump(self._control.directory),
        )
        await stream.send_message(reply)

    async def Targets(
        self, stream: Stream[wire.TargetsRequest, wire.TargetsReply]
    ) -> None:
        """Send the host list that this node holds."""
        await _receive_message(stream)
        reply = wire.TargetsReply(age_ms=now_ms() - self._control.targets_read_ms)
        reply.targets.extend(
            target_message(target)
            for targets in self._control.targets.values()
            for target in targets
        )
        await stream.send_message(reply)

    async def TryTarget(
        self, stream: Stream[wire.TryTargetRequest, wire.TryTargetReply]
    ) -> None:
        """Try to connect to a target for a coordinator in another failure domain."""
        message = await _receive_message(stream)
        started_ms = now_ms()
        reached = await self._coordinator.try_target(
            TargetId(message.target), message.remaining_ms
        )
        reply = wire.TryTargetReply(reached=reached, latency_ms=now_ms() - started_ms)
        await stream.send_message(reply)

    async def Begin(self, stream: Stream[wire.BeginRequest, wire.BeginReply]) -> None:
        """Decide on an operation whose record this node holds."""
        message = await _receive_message(stream)
        decision = await self._ledger.begin(
            operation_name(message),
            attempt_from_message(message.attempt),
            message.fingerprint,
        )
        await stream.send_message(begin_reply(decision))

    async def RecordBegun(
        self, stream: Stream[wire.RecordBegunRequest, wire.RecordBegunReply]
    ) -> None:
        """Record an operation for its other holder."""
        await stream.send_message(self._ledger.record(await _receive_message(stream)))

    async def Settle(
        self, stream: Stream[wire.SettleRequest, wire.SettleReply]
    ) -> None:
        """Record the end of an operation as its entry reports it."""
        message = await _receive_message(stream)
        response = (
            response_from_message(message.answer)
            if message.HasField("answer")
            else None
        )
        self._ledger.settle(
            operation_name(message), attempt_from_message(message.attempt), response
        )
        await stream.send_message(wire.SettleReply())

    async def PeerSettled(
        self, stream: Stream[wire.PeerSettledRequest, wire.PeerSettledReply]
    ) -> None:
        """Record the end of an operation as the other holder reports it."""
        message = await _receive_message(stream)
        self._ledger.peer_settled(decode_record(message.record))
        await stream.send_message(wire.PeerSettledReply())


def operation_name(message: wire.BeginRequest | wire.SettleRequest) -> OperationName:
    """Return the name of the operation that a message is about."""
    return OperationName(CustomerId(message.customer), OperationKey(message.key))


async def _receive_message(stream: Stream[RequestMessage, Any]) -> RequestMessage:
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the request is missing")
    return message


class PeerPort(Service):
    """Serve the port for the other nodes."""

    name = "peer_port"
    needs = ("control", "rates", "home", "ledger")

    def __init__(
        self,
        listening_socket: socket.socket,
        server: PeerServer,
        credential: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = listening_socket
        self._server = Server([server], config=wire_configuration())
        self._credential = credential
        self._tls = tls

    async def start(self) -> None:
        """Listen for peers."""
        listen(self._server, RecvRequest, self._check)
        await self._server.start(sock=self._socket, ssl=self._tls)

    async def stop(self) -> None:
        """Close the port and its connections."""
        self._server.close()
        await self._server.wait_closed()

    async def _check(self, event: RecvRequest) -> None:
        presented = str(event.metadata.get(FLEET_KEY_HEADER, ""))
        if not hmac.compare_digest(presented.encode(), self._credential.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "not a node of this fleet")


class CallerPort(Service):
    """Serve the port for callers, and drain it before a planned stop."""

    name = "caller_port"
    needs = ("entry", "follower")

    def __init__(
        self,
        listening_socket: socket.socket,
        settings: CallerSettings,
        entry: EntryService,
        coordinator: CoordinatorService,
        where_max_age_ms: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = listening_socket
        self._settings = settings
        self._entry = entry
        self._coordinator = coordinator
        self._where_max_age_ms = where_max_age_ms
        self._tls = tls
        self._listener: asyncio.Server | None = None
        self._server: CallerServer | None = None
        most = settings.max_connections
        # The additional ones are told that there are too many.
        self._table = ConnectionTable(
            ConnectionBound(most + most // ADDITIONAL_PART, HEADS_BYTES)
        )

    @property
    def connections(self) -> int:
        """Return the number of open connections of callers."""
        return len(self._table)

    async def start(self) -> None:
        """Listen for callers."""
        self._server = CallerServer(self._handle, self._settings, self._table)
        limit_receive_buffer(self._socket)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, sock=self._socket, ssl=self._tls, backlog=BACKLOG
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        # Each open connection holds memory. Above the limit a caller is refused and
        # can use another address, before the node runs out of memory.
        if self.connections > self._settings.max_connections:
            response = error_responses.TOO_MANY_CONNECTIONS.response("none")
            response.force_close()
            return response
        return await self._entry.handle(request)

    async def drain(self) -> None:
        """Serve while callers may cache this address, then finish running requests."""
        if self._server is None:
            return
        self._server.leaving = True
        await asyncio.sleep(self._where_max_age_ms / 1e3)
        await self._until_idle()
        await read_arrived()
        self._close_port()
        # The kernel bounds the drain.
        await close_connections(self._server, math.inf)
        await self._until_idle()

    async def _until_idle(self) -> None:
        while self._entry.running or self._coordinator.busy:
            # Polled, since both change with every request and events would cost more.
            await asyncio.sleep(BUSY_POLL_S)

    def _close_port(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def stop(self) -> None:
        """Close the port, and each connection once its running request has ended."""
        await read_arrived()
        self._close_port()
        if self._server is None:
            return
        self._server.leaving = True
        await close_connections(self._server, now_ms() + LAST_RESPONSES_MS)
        abort_connections(self._server)


class HttpPort(Service):
    """Serve an HTTP application: the operators' API or the metrics."""

    name = "http_port"

    def __init__(
        self,
        listening_socket: socket.socket,
        app: Callable[[], Awaitable[web.Application]],
        needs: tuple[str, ...] = (),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = listening_socket
        self._app = app
        self.needs = needs  # type: ignore[misc] # one class, several ports
        self._tls = tls
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._leaving = False
        self._table = ConnectionTable(
            ConnectionBound(HTTP_CONNECTIONS, HTTP_HEADS_BYTES)
        )

    async def start(self) -> None:
        """Listen for requests."""
        app = await self._app()
        app.middlewares.append(self._announce_close)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=ABORT_TIMEOUT_S
        )
        await self._runner.setup()
        server = self._runner.server
        assert server is not None
        limit_receive_buffer(self._socket)
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(server, self._table),
            sock=self._socket,
            ssl=self._tls,
            backlog=BACKLOG,
        )

    @web.middleware
    async def _announce_close(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        response = await handler(request)
        if self._leaving:
            response.force_close()
        return response

    async def stop(self) -> None:
        """Close the port, and each connection once its running request has ended."""
        self._leaving = True
        if self._listener is not None:
            await read_arrived()
            self._listener.close()
            self._listener = None
        if self._runner is None:
            return
        if self._runner.server is not None:
            give_up_ms = now_ms() + LAST_RESPONSES_MS
            await close_connections(self._runner.server, give_up_ms)
            abort_connections(self._runner.server)
        await self._runner.cleanup()
