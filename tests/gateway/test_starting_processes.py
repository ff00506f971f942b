"""Tests of gateway processes that start while something they need is not ready."""

import asyncio
import os
import signal
import socket
import subprocess
from contextlib import suppress

import pytest

from crocusspindle_standins.on_platform.deployed import (
    deployed_command,
    deployed_environment,
)
from crocusspindle_standins.on_platform.fleet import Fleet

REACHED_STATUS = 7


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


@pytest.mark.parametrize("module", ["encodings", "enum", "signal", "crocusspindle"])
def test_a_signal_to_reload_before_any_import_does_not_end_the_process(
    tmp_path, module
):
    """Guards against a settings change that kills a node in the first of its start.

    The stand-in of the module sends the signal to its own process. The interpreter
    imports the first one itself, before it runs any program.
    """
    command = deployed_command(tmp_path / "bin")
    environment = deployed_environment()
    stand_in = tmp_path / f"{module}.py"
    stand_in.write_text(
        "import posix\n"
        f"posix.kill(posix.getpid(), {signal.SIGHUP.value})\n"
        f"posix._exit({REACHED_STATUS})\n"
    )
    ended = subprocess.run(
        command,
        env={**environment, "PYTHONPATH": f"{tmp_path}:{environment['PYTHONPATH']}"},
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == REACHED_STATUS


@pytest.mark.parametrize("module", ["encodings", "enum", "signal", "crocusspindle"])
def test_a_signal_to_stop_before_any_import_is_a_planned_stop(tmp_path, module):
    """Guards against a planned stop in a start that counts as a failed process."""
    command = deployed_command(tmp_path / "bin")
    environment = deployed_environment()
    stand_in = tmp_path / f"{module}.py"
    stand_in.write_text(
        "import posix\n"
        f"posix.kill(posix.getpid(), {signal.SIGTERM.value})\n"
        f"posix._exit({REACHED_STATUS})\n"
    )
    ended = subprocess.run(
        command,
        env={**environment, "PYTHONPATH": f"{tmp_path}:{environment['PYTHONPATH']}"},
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == 0


async def test_a_signal_to_reload_until_the_end_does_not_end_the_process(fleet):
    """Guards against a settings change that kills a node that is stopping."""
    gateway = fleet.gateways[0]
    gateway.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(10):
        while gateway.process.returncode is None:
            # The library's function may read the status of an ended process itself.
            with suppress(ProcessLookupError):
                os.kill(gateway.process.pid, signal.SIGHUP)
            await asyncio.sleep(0)
    assert gateway.process.returncode == 0


async def restart(fleet: Fleet, gateway) -> None:
    """Kill a gateway's process and start the next."""
    if gateway.process.returncode is None:
        gateway.process.kill()
    await gateway.process.wait()
    await fleet.run(gateway)


@pytest.mark.parametrize("share", [0.0, 0.3, 0.9])
async def test_a_process_waits_for_settings_that_are_being_written(fleet, share):
    """Guards against a start that fails as its settings file is half written."""
    gateway = fleet.gateways[0]
    content = gateway.settings.read_text()
    gateway.settings.write_text(content[: int(len(content) * share)])
    await restart(fleet, gateway)
    async with asyncio.timeout(10):
        while "waiting for valid settings" not in gateway.log():
            assert gateway.process.returncode is None
            await asyncio.sleep(0.05)
    gateway.settings.write_text(content)
    await fleet.until_ready()
    assert gateway.process.returncode is None


PORT_KINDS = ("caller", "readiness", "directory", "peers", "datagrams", "metrics")


def taken_address(gateway, kind: str) -> tuple[int, int]:
    """Return the type and the port of one of a gateway's sockets."""
    front, ready, directory = gateway.ports
    port = {
        "caller": front,
        "readiness": ready,
        "directory": directory,
        "peers": 7340,
        "datagrams": 7340,
        "metrics": 9464,
    }[kind]
    kind_of_socket = socket.SOCK_DGRAM if kind == "datagrams" else socket.SOCK_STREAM
    return kind_of_socket, port


@pytest.mark.parametrize("kind", PORT_KINDS)
async def test_a_process_waits_for_a_port_that_another_holds(fleet, kind):
    """Guards against a start that fails while the process before it still ends."""
    gateway = fleet.gateways[0]
    gateway.process.kill()
    await gateway.process.wait()
    kind_of_socket, port = taken_address(gateway, kind)
    with socket.socket(socket.AF_INET, kind_of_socket) as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((gateway.ip, port))
        if kind_of_socket == socket.SOCK_STREAM:
            holder.listen()
        await fleet.run(gateway)
        async with asyncio.timeout(10):
            while "waiting for a port" not in gateway.log():
                assert gateway.process.returncode is None
                await asyncio.sleep(0.05)
    await fleet.until_ready()
    assert gateway.process.returncode is None
