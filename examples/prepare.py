"""Write settings, keys and initial tickets of a three-node fleet on one machine.

Usage: python3 examples/prepare.py FOLDER
"""

import hashlib
import json
import secrets
import sys
from pathlib import Path

PLATFORM_URL = "http://127.0.0.1:7000"
NODES = {"a1": 7101, "b1": 7201, "c1": 7301}

SETTINGS = """\
node: {{name: {name}, domain: {domain}}}
caller: {{host: 127.0.0.1, port: {port}}}
operator:
  host: 127.0.0.1
  port: {operator_port}
  principals:
    - {{name: ops, role: operator, key_sha256: "{ops}"}}
    - {{name: hall, role: owner, services: [katalog], key_sha256: "{hall}"}}
peer: {{host: 127.0.0.1, port: {peer_port}}}
metrics: {{host: 127.0.0.1, port: {metrics_port}}}
fleet: {{name: example, key_file: {folder}/fleet.key}}
platform: {{adapter: http, url: "{platform}"}}
"""

CONFIGURE = """\
number: 1
author: ops
reason: first customer and first service
customers:
  club: {{rate_per_s: 50, burst: 100}}
keys:
  "{club}": {{customer: club, state: active}}
services:
  katalog: {{timeout_ms: 5000}}
routes:
  /: {{service: katalog, idempotent_methods: [GET, HEAD]}}
"""

APPROVE = """\
number: 2
author: hall
reason: the club may call the catalogue
approvals:
  katalog:
    club: {approved_by: hall}
"""


def new_key(folder: Path, name: str) -> str:
    """Write a new key to a file and return its digest."""
    key = secrets.token_urlsafe(32)
    file = folder / f"{name}.key"
    file.touch(mode=0o600)
    file.write_text(key + "\n")
    return hashlib.sha256(key.encode()).hexdigest()


def prepare(folder: Path) -> None:
    """Write all files into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    digests = {name: new_key(folder, name) for name in ("ops", "hall", "club")}
    new_key(folder, "fleet")
    for name, port in NODES.items():
        text = SETTINGS.format(
            name=name,
            domain=name[0],
            port=port,
            peer_port=port + 1,
            operator_port=port + 2,
            metrics_port=port + 3,
            folder=folder.resolve(),
            platform=PLATFORM_URL,
            **digests,
        )
        (folder / f"{name}.yaml").write_text(text)
    (folder / "ticket-1.yaml").write_text(CONFIGURE.format(**digests))
    (folder / "ticket-2.yaml").write_text(APPROVE)
    target = {"target": "127.0.0.1:8000", "service": "katalog", "domain": "a"}
    hosts = {"hosts": [{**target, "slots": 2, "state": "live"}]}
    (folder / "hosts.json").write_text(json.dumps(hosts) + "\n")


if __name__ == "__main__":
    prepare(Path(sys.argv[1]))
