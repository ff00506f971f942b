"""Close ports on a node that has no descriptors left."""

import asyncio
import os
import resource
import socket
from contextlib import contextmanager

from crocusspindle.core.configuration import CallerLimits
from crocusspindle.gateway.caller_port import CallerServer
from crocusspindle.gateway.listener import Listener
from crocusspindle.idle_close import has_unread
from tests.gateway.test_ports import REQUEST, SlowEntry


@contextmanager
def no_descriptors_left():
    """Let the process open no further descriptor."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


async def test_a_port_closes_without_free_descriptors():
    """Guards against a drain that fails, and drops the requests that run."""
    server = CallerServer(SlowEntry(), CallerLimits)
    listening = await Listener.open("127.0.0.1:0", server)
    address = ("127.0.0.1", listening.port)
    with no_descriptors_left():
        async with asyncio.timeout(5):
            await listening.accept_and_close()
    with socket.socket() as caller:
        assert caller.connect_ex(address) != 0


async def test_an_unread_request_is_seen_without_free_descriptors():
    """Guards against a request that is dropped where connections took all of them."""
    server = CallerServer(SlowEntry(), CallerLimits)
    listening = await Listener.open("127.0.0.1:0", server)
    with socket.create_connection(("127.0.0.1", listening.port)) as caller:
        await asyncio.sleep(0.05)
        (connection,) = server.connections
        assert not has_unread(connection.transport)
        caller.sendall(REQUEST)
        with no_descriptors_left():
            assert has_unread(connection.transport)
    listening.close()


async def test_an_idle_connection_ends_at_once_without_free_descriptors():
    """Guards against a closed connection that stays open while the node is busy."""
    server = CallerServer(SlowEntry(), CallerLimits)
    listening = await Listener.open("127.0.0.1:0", server)
    with socket.create_connection(("127.0.0.1", listening.port), 1.0) as caller:
        await asyncio.sleep(0.05)
        (connection,) = server.connections
        with no_descriptors_left():
            connection.close_if_idle()
        # The event loop has not run since.
        assert caller.recv(1) == b""
    listening.close()
