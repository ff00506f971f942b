"""Open the ports of a node: callers, peers, operators and metrics."""

import asyncio
import hmac
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from aiohttp import web
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from crocusspindle.clock import now_ms
from crocusspindle.core.directory_dump import dump
from crocusspindle.core.operation_records import OperationName, decode_record
from crocusspindle.errors import PeerError
from crocusspindle.ids import CustomerId, MemberId, OperationKey, TargetId, TicketNumber
from crocusspindle.kernel import Service
from crocusspindle.services import words
from crocusspindle.services.caller_server import CallerServer
from crocusspindle.services.control import ControlService
from crocusspindle.services.entry import EntryService
from crocusspindle.services.follower import target_message
from crocusspindle.services.home import HomeService
from crocusspindle.services.ledger import LedgerService, answer_from, attempt_from
from crocusspindle.services.links import RemoteHomeLink
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

Asked = TypeVar("Asked")

BUSY_LOOK_S: Final = 0.05
TAIL_MAX: Final = 500


class PeerServer(FleetBase):
    """Answer the calls of other nodes."""

    def __init__(
        self,
        control: ControlService,
        rates: RatesService,
        home: HomeService,
        ledger: LedgerService,
    ) -> None:
        self._control = control
        self._ledger = ledger
        self._rates = rates
        self._home = home

    async def Heartbeat(self, stream: Stream[wire.Beat, wire.Echo]) -> None:
        """Echo the beats of a peer for as long as it sends them."""
        async for beat in stream:
            self._control.record_message(MemberId(beat.member), beat.standing)
            if beat.HasField("joining"):
                self._control.take_joining(MemberId(beat.member), beat.joining)
            echo = wire.Echo(
                member=self._control.me.member,
                sequence=beat.sequence,
                standing=self._control.standing(),
            )
            self._control.heartbeat_bytes += echo.ByteSize() + HEADER_BYTES
            await stream.send_message(echo)

    async def HandOver(
        self, stream: Stream[wire.HandOverFrame, wire.AnswerFrame]
    ) -> None:
        """Serve a request as the home of its targets."""
        try:
            await self._home.serve(RemoteHomeLink(stream))
        except PeerError as error:
            raise GRPCError(Status.ABORTED, str(error)) from error

    async def Lend(self, stream: Stream[wire.LendRequest, wire.LendReply]) -> None:
        """Lend tokens of a customer's share."""
        asked = await _request(stream)
        customer = CustomerId(asked.customer)
        loan = await self._rates.lend_whole(customer, asked.missing)
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
        """Give applied tickets, the view and the age of this node's stamp."""
        asked = await _request(stream)
        after, limit = TicketNumber(asked.after), min(asked.limit, TAIL_MAX)
        age_ms = self._control.fitness.stamp_age_ms(now_ms())
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
        """Give the whole directory as of the last applied ticket."""
        await _request(stream)
        reply = wire.SnapshotReply(
            applied_ticket=self._control.log.applied,
            content=dump(self._control.directory),
        )
        await stream.send_message(reply)

    async def Targets(
        self, stream: Stream[wire.TargetsRequest, wire.TargetsReply]
    ) -> None:
        """Give the host list that this node holds."""
        await _request(stream)
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
        """Try a target for a home in another failure domain."""
        asked = await _request(stream)
        began_ms = now_ms()
        reached = await self._home.try_target(
            TargetId(asked.target), asked.remaining_ms
        )
        reply = wire.TryTargetReply(reached=reached, latency_ms=now_ms() - began_ms)
        await stream.send_message(reply)

    async def Begin(self, stream: Stream[wire.BeginRequest, wire.BeginReply]) -> None:
        """Decide on an operation whose record this node holds."""
        asked = await _request(stream)
        decision = await self._ledger.begin(
            operation_name(asked), attempt_from(asked.attempt), asked.fingerprint
        )
        await stream.send_message(begin_reply(decision))

    async def RecordBegun(
        self, stream: Stream[wire.RecordBegunRequest, wire.RecordBegunReply]
    ) -> None:
        """Record an operation for its other holder."""
        await stream.send_message(self._ledger.record(await _request(stream)))

    async def Settle(
        self, stream: Stream[wire.SettleRequest, wire.SettleReply]
    ) -> None:
        """Take an entry's word on the end of an operation."""
        asked = await _request(stream)
        answer = answer_from(asked.answer) if asked.HasField("answer") else None
        self._ledger.settle(operation_name(asked), attempt_from(asked.attempt), answer)
        await stream.send_message(wire.SettleReply())

    async def PeerSettled(
        self, stream: Stream[wire.PeerSettledRequest, wire.PeerSettledReply]
    ) -> None:
        """Take the other holder's word on the end of an operation."""
        asked = await _request(stream)
        self._ledger.peer_settled(decode_record(asked.record))
        await stream.send_message(wire.PeerSettledReply())


def operation_name(asked: wire.BeginRequest | wire.SettleRequest) -> OperationName:
    """Return the name of the operation that a message is about."""
    return OperationName(CustomerId(asked.customer), OperationKey(asked.key))


async def _request(stream: Stream[Asked, Any]) -> Asked:
    asked = await stream.recv_message()
    if asked is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the request is missing")
    return asked


class PeerPort(Service):
    """Serve the port for the other nodes."""

    name = "peer_port"
    needs = ("control", "rates", "home", "ledger")

    def __init__(
        self,
        listening: socket.socket,
        server: PeerServer,
        proof: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = listening
        self._server = Server([server], config=wire_configuration())
        self._proof = proof
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
        shown = str(event.metadata.get(FLEET_KEY_HEADER, ""))
        if not hmac.compare_digest(shown.encode(), self._proof.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "not a node of this fleet")


class CallerPort(Service):
    """Serve the port for callers, and empty it ahead of a planned stop."""

    name = "caller_port"
    needs = ("entry", "follower")

    def __init__(
        self,
        listening: socket.socket,
        settings: CallerSettings,
        entry: EntryService,
        home: HomeService,
        where_max_age_ms: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = listening
        self._settings = settings
        self._entry = entry
        self._home = home
        self._where_max_age_ms = where_max_age_ms
        self._tls = tls
        self._runner: web.ServerRunner | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections of callers."""
        server = None if self._runner is None else self._runner.server
        return 0 if server is None else len(server.connections)

    async def start(self) -> None:
        """Listen for callers."""
        server = CallerServer(self._handle, self._settings)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.SockSite(self._runner, self._socket, ssl_context=self._tls).start()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        # Each open connection holds memory. Above the bound a caller gets a true
        # word and goes elsewhere, before the node is lost with all it serves.
        if self.connections > self._settings.max_connections:
            response = words.TOO_MANY_CONNECTIONS.response("none")
            response.force_close()
            return response
        return await self._entry.handle(request)

    async def drain(self) -> None:
        """Serve on while callers may keep our address, then finish what runs."""
        until_ms = now_ms() + self._where_max_age_ms
        await asyncio.sleep(max(0.0, until_ms - now_ms()) / 1e3)
        while self._entry.running or self._home.busy:
            # Both change with every request: an event each would cost more.
            await asyncio.sleep(BUSY_LOOK_S)

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()


class HttpPort(Service):
    """Serve an application of operators or of the metrics scraper."""

    name = "http_port"

    def __init__(
        self,
        listening: socket.socket,
        app: Callable[[], Awaitable[web.Application]],
        needs: tuple[str, ...] = (),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = listening
        self._app = app
        self.needs = needs  # type: ignore[misc] # one class, several ports
        self._tls = tls
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        self._runner = web.AppRunner(await self._app(), access_log=None)
        await self._runner.setup()
        await web.SockSite(self._runner, self._socket, ssl_context=self._tls).start()

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()
