"""Tests of gateway processes that start while something they need is not ready."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import pytest

from crocusspindle_standins.on_platform.deployed import (
    ROOT,
    deployed_command,
    deployed_environment,
)
from crocusspindle_standins.on_platform.fleet import Fleet

REACHED_STATUS = 7
HANGING_S = 60
"""Ends a test that hangs. A process loads its modules in seconds on a busy machine."""


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


def test_a_build_that_can_not_load_the_library_uses_the_interpreter(tmp_path):
    """Guards against processes that replace themselves at each start, or never start.

    Some hosts name a shared library that is not there.
    """
    stand_in = tmp_path / "python3"
    stand_in.write_text(
        "#!/bin/sh\n"
        f'case "$2" in *LIBDIR*) echo {tmp_path}/libpython.so;; '
        f'*) exec {sys.executable} "$@";; esac\n'
    )
    stand_in.chmod(0o755)
    subprocess.run(
        ["sh", ROOT / "deploy" / "build_start", tmp_path / "bin"],
        env={**os.environ, "PATH": f"{tmp_path}:{os.environ['PATH']}"},
        check=True,
    )
    assert (tmp_path / "bin" / "python3").is_symlink()


@pytest.mark.parametrize("module", ["encodings", "enum", "signal", "crocusspindle"])
@pytest.mark.parametrize(
    ("number", "status"), [(signal.SIGHUP, REACHED_STATUS), (signal.SIGTERM, 0)]
)
def test_a_signal_before_any_import_has_its_usual_effect(
    tmp_path, module, number, status
):
    """Guards against a signal that ends a node as a failure in the first of its start.

    The stand-in of the module sends the signal to its own process. The interpreter
    imports the first one itself, before it runs any program.
    """
    command = deployed_command(tmp_path / "bin")
    environment = deployed_environment()
    stand_in = tmp_path / f"{module}.py"
    stand_in.write_text(
        "import posix\n"
        f"posix.kill(posix.getpid(), {number.value})\n"
        f"posix._exit({REACHED_STATUS})\n"
    )
    ended = subprocess.run(
        command,
        env={**environment, "PYTHONPATH": f"{tmp_path}:{environment['PYTHONPATH']}"},
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == status


async def test_a_signal_to_reload_until_the_end_does_not_end_the_process(fleet):
    """Guards against a settings change that kills a node that is stopping."""
    gateway = fleet.gateways[0]
    gateway.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(HANGING_S):
        while gateway.process.returncode is None:
            # `send_signal` may reap the process, and the event loop lose its status.
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
    async with asyncio.timeout(HANGING_S):
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
        async with asyncio.timeout(HANGING_S):
            while "waiting for a port" not in gateway.log():
                assert gateway.process.returncode is None
                await asyncio.sleep(0.05)
    await fleet.until_ready()
    assert gateway.process.returncode is None


async def test_a_process_that_waits_for_a_port_ends_when_asked(fleet):
    """Guards against a planned stop that a waiting process does not obey."""
    gateway = fleet.gateways[0]
    gateway.process.kill()
    await gateway.process.wait()
    kind_of_socket, port = taken_address(gateway, "datagrams")
    with socket.socket(socket.AF_INET, kind_of_socket) as holder:
        holder.bind((gateway.ip, port))
        await fleet.run(gateway)
        async with asyncio.timeout(HANGING_S):
            while "waiting for a port" not in gateway.log():
                await asyncio.sleep(0.05)
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(HANGING_S):
            await gateway.process.wait()
    assert gateway.process.returncode == 0


async def test_a_process_serves_without_standard_streams(fleet):
    """Guards against a node that ends, or logs into a caller's connection."""
    gateway = fleet.gateways[0]
    gateway.process.kill()
    await gateway.process.wait()
    gateway.process = await asyncio.create_subprocess_exec(
        "sh",
        "-c",
        'exec "$@" <&- >&- 2>&-',
        "sh",
        sys.executable,
        "-m",
        fleet.program,
        gateway.settings,
        env=deployed_environment(),
    )
    await fleet.until_ready()
    descriptors = Path(f"/proc/{gateway.process.pid}/fd")
    for number in range(3):
        assert (descriptors / str(number)).readlink() == Path(os.devnull)
    gateway.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(HANGING_S):
        await gateway.process.wait()
    assert gateway.process.returncode == 0
