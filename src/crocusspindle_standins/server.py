"""Run one aiohttp application in its own process."""

import os

os.environ["UV_USE_IO_URING"] = "0"

import uvloop
from aiohttp import web


def run_server(app: web.Application, host: str, port: int) -> None:
    """Serve an application until a signal ends the process."""
    web.run_app(
        app,
        host=host,
        port=port,
        print=None,
        access_log=None,
        loop=uvloop.new_event_loop(),
        handler_cancellation=True,
        shutdown_timeout=0.2,
    )
