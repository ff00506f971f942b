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
from tests.product.certificates import make, write

SETTLE_S = 30
KEY = "operator-key-of-the-test"


def settings_of(name, ports, files, platform):
    caller, peer, operator = ports
    pair = {"certificate_file": str(files[0]), "key_file": str(files[1])}
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    one = {"name": "ops", "role": "operator", "key_sha256": digest}
    local = {"host": "127.0.0.1"}
    content = {
        "node": {"name": name, "domain": name},
        "caller": {**local, "port": caller, "tls": pair},
        "peer": {**local, "port": peer, "tls": {**pair, "ca_file": str(files[2])}},
        "operator": {**local, "port": operator, "tls": pair, "principals": [one]},
        "fleet": {"name": "test", "key_file": str(files[3])},
        "platform": {"url": str(platform.make_url("/"))},
    }
    return check_settings(json.dumps(content), name)


@contextlib.asynccontextmanager
async def two_nodes(folder):
    """Run two nodes under one authority; yield one's settings and the CA file."""
    authority = make("authority")
    ca_file, _ = write(folder, authority, "ca")
    key_file = folder / "fleet.key"
    key_file.write_text("fleet-key-of-the-test")
    ports = free_ports(6)
    async with TestServer(PlatformServer().app()) as platform:
        settings, kernels = [], []
        for name, chosen in (("a1", ports[:3]), ("b1", ports[3:])):
            files = write(folder, make(name, authority), name)
            parts = (*files, ca_file, key_file)
            settings.append(settings_of(name, chosen, parts, platform))
            kernels.append(build(settings[-1]))
        try:
            for kernel in kernels:
                await kernel.start()
            yield settings[0], ca_file
        finally:
            for kernel in kernels:
                await kernel.stop()


@pytest.mark.parametrize("trusted", [True, False])
async def test_nodes_and_operators_meet_over_tls(tmp_path, capfd, trusted):
    """Every port shows a certificate, and nodes show theirs to each other.

    An operator whose computer does not trust the authority must get no further
    than the handshake: the key would go to whoever listens there.
    """
    operator_key = tmp_path / "ops.key"
    operator_key.write_text(KEY)
    async with two_nodes(tmp_path) as (settings, ca_file):
        url = f"https://127.0.0.1:{settings.operator.port}"
        words = ["status", "--operator", url, "--output", "json"]
        words += ["--operator_key_file", str(operator_key)]
        if not trusted:
            assert await asyncio.to_thread(cli.run, words) == ExitCode.COME_BACK
            assert "certificate" in capfd.readouterr().err
            return
        members = []
        async with asyncio.timeout(SETTLE_S):
            while [member["fit"] for member in members] != [True, True]:
                trusting = [*words, "--ca_file", str(ca_file)]
                assert await asyncio.to_thread(cli.run, trusting) == ExitCode.DONE
                members = json.loads(capfd.readouterr().out)["members"]
        assert not any(member["silent"] for member in members)
