"""HTTP client of the operator port and of the callers' address list."""

import asyncio
import json
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import aiohttp

from crocusspindle.errors import CrocusspindleError, Finding
from crocusspindle.exit_codes import ExitCode
from crocusspindle.shielded_connector import ShieldedConnector

WHERE_PATH: Final = "/.well-known/crocusspindle/where"
CALL_TIMEOUT_S: Final = 20.0
CONNECT_TIMEOUT_S: Final = 5.0
IN_FORCE_POLL_S: Final = 0.25

_CODE_BY_STATUS: Final = {
    400: ExitCode.FINDINGS,
    401: ExitCode.NOT_ALLOWED,
    403: ExitCode.NOT_ALLOWED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    413: ExitCode.FINDINGS,
    503: ExitCode.RETRY_LATER,
    504: ExitCode.UNKNOWN,
}


class CommandError(CrocusspindleError):
    """Report why a command failed, with its exit code and findings."""

    def __init__(
        self,
        message: str,
        code: ExitCode,
        findings: tuple[Finding, ...] = (),
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.findings = findings
        self.retry_after_s = retry_after_s


@dataclass(frozen=True)
class Endpoint:
    """Identify a port, the key to present and the CA that signs its certificate."""

    url: str
    key: str
    ca_file: Path | None = None

    @classmethod
    def from_config(
        cls, url: str | None, key_file: str | None, ca_file: str | None
    ) -> "Endpoint":
        """Read the key file; raise ``CommandError`` if an option is missing."""
        if not url:
            raise CommandError("give the URL of a node's port", ExitCode.USAGE)
        if not key_file:
            raise CommandError("give the file that contains your key", ExitCode.USAGE)
        try:
            key = Path(key_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise CommandError(f"key file: {error}", ExitCode.USAGE) from error
        base = url if "://" in url else f"http://{url}"
        return cls(base.rstrip("/"), key, Path(ca_file) if ca_file else None)


async def call(
    endpoint: Endpoint, method: str, path: str, body: bytes | None = None
) -> dict[str, Any]:
    """Call an endpoint; raise ``CommandError`` unless the call succeeds."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {endpoint.key}"}
    try:
        tls = ssl.create_default_context(cafile=endpoint.ca_file)
        connector = ShieldedConnector(ssl=tls)
        async with (
            aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
            session.request(
                method,
                endpoint.url + path,
                data=body,
                headers=headers,
                allow_redirects=False,
            ) as response,
        ):
            return _result(response.status, response.headers, await response.text())
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        raise CommandError(f"cannot connect: {error}", ExitCode.RETRY_LATER) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        # Only a submitted ticket may have taken effect despite the error.
        may_have_taken_effect = method == "POST" and path == "/v1/tickets"
        code = ExitCode.UNKNOWN if may_have_taken_effect else ExitCode.RETRY_LATER
        advice = "; submit the same ticket again" if may_have_taken_effect else ""
        message = f"no response: {error or type(error).__name__}{advice}"
        raise CommandError(message, code) from error


async def wait_in_force(
    endpoint: Endpoint, number: int, wait_ms: float
) -> dict[str, Any]:
    """Poll a ticket until it is in force on all members or ``wait_ms`` is over."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_ms / 1000
    waits_for = "a response"
    while True:
        try:
            record = await call(endpoint, "GET", f"/v1/tickets/{number}")
        except CommandError as error:
            # The ticket is recorded: the exit code of this call would report that
            # nothing was done.
            waits_for = str(error)
        else:
            if record.get("in_force"):
                return record
            waits_for = ", ".join(record.get("waiting_for", ())) or "unknown members"
        if loop.time() >= deadline_s:
            message = f"ticket {number} is recorded, but waits for {waits_for}"
            raise CommandError(message, ExitCode.NOT_IN_FORCE)
        await asyncio.sleep(IN_FORCE_POLL_S)


def _result(status: int, headers: Mapping[str, str], text: str) -> dict[str, Any]:
    try:
        data = json.loads(text)
    except ValueError:
        data = {"error": text[:200] or f"status {status}"}
    if status < HTTPStatus.MULTIPLE_CHOICES and isinstance(data, dict):
        return data
    if not isinstance(data, dict):
        data = {}
    findings = tuple(
        Finding(
            str(item.get("source", "")),
            str(item.get("path", "")),
            str(item.get("message", "")),
            int(item.get("line", 0)),
        )
        for item in data.get("findings", ())
    )
    retry_after = headers.get("Retry-After", "")
    raise CommandError(
        str(data.get("error", f"status {status}")),
        _CODE_BY_STATUS.get(status, ExitCode.FAILED),
        findings,
        int(retry_after) if retry_after.isdigit() else None,
    )
