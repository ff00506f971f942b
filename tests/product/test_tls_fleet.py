import asyncio
import contextlib
import hashlib
import json

import pytest
from aiohttp.test_utils import TestServer

from crocusspindle import cli
from crocusspindle.exit_codes import ExitCode
from crocusspindle.services.assembly import build
from crocusspindle.settings import check_settings
from crocusspindle_standins.platform import PlatformServer
from crocusspindle_standins.processes import free_ports
from tests.product.certificates import make_certificate, write_pem_files

CONVERGENCE_TIMEOUT_S = 30
KEY = "operator-key-of-the-test"


def make_settings(name, ports, files, platform):
    caller, peer, operator = ports
    pair = {"certificate_file": str(files[0]), "key_file": str(files[1])}
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    principal = {"name": "ops", "role": "operator", "key_sha256": digest}
    local = {"host": "127.0.0.1"}
    content = {
        "node": {"name": name, "domain": name},
        "caller": {**local, "port": caller, "tls": pair},
        "peer": {**local, "port": peer, "tls": {**pair, "ca_file": str(files[2])}},
        "operator": {**local, "port": operator, "tls": pair, "principals": [principal]},
        "fleet": {"name": "test", "key_file": str(files[3])},
        "platform": {"url": str(platform.make_url("/"))},
    }
    return check_settings(json.dumps(content), name)


@contextlib.asynccontextmanager
async def two_nodes(folder):
    """Run two nodes with one CA; yield the first one's settings and the CA file."""
    authority = make_certificate("authority")
    ca_file, _ = write_pem_files(folder, authority, "ca")
    key_file = folder / "fleet.key"
    key_file.write_text("fleet-key-of-the-test")
    ports = free_ports(6)
    async with TestServer(PlatformServer().app()) as platform:
        settings, kernels = [], []
        for name, node_ports in (("a1", ports[:3]), ("b1", ports[3:])):
            pair = write_pem_files(folder, make_certificate(name, authority), name)
            files = (*pair, ca_file, key_file)
            settings.append(make_settings(name, node_ports, files, platform))
            kernels.append(build(settings[-1]))
        try:
            for kernel in kernels:
                await kernel.start()
            yield settings[0], ca_file
        finally:
            for kernel in kernels:
                await kernel.stop()


@pytest.mark.parametrize("trusted", [True, False])
async def test_nodes_and_operators_connect_over_tls(tmp_path, capfd, trusted):
    """All ports use TLS, and nodes authenticate to each other.

    A client that doesn't trust the CA must fail in the handshake: otherwise it would
    send the operator key to an unverified server.
    """
    operator_key = tmp_path / "ops.key"
    operator_key.write_text(KEY)
    async with two_nodes(tmp_path) as (settings, ca_file):
        url = f"https://127.0.0.1:{settings.operator.port}"
        words = ["status", "--operator", url, "--output", "json"]
        words += ["--operator_key_file", str(operator_key)]
        if not trusted:
            assert await asyncio.to_thread(cli.run, words) == ExitCode.RETRY_LATER
            assert "certificate" in capfd.readouterr().err
            return
        members = []
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while [member["fit"] for member in members] != [True, True]:
                trusting = [*words, "--ca_file", str(ca_file)]
                assert await asyncio.to_thread(cli.run, trusting) == ExitCode.DONE
                members = json.loads(capfd.readouterr().out)["members"]
        assert not any(member["silent"] for member in members)
