"""Call a crocusspindle fleet: look up addresses, cache them, act on the outcome.

Usage: python3 examples/caller.py NODE_URL KEY_FILE PATH [BODY]

It uses the standard library only, so that it is easy to port to any language.
"""

import json
import sys
import time
import urllib.error
import urllib.request
import uuid
from dataclasses import dataclass, field
from email.message import Message
from pathlib import Path
from typing import Any

WHERE_PATH = "/.well-known/crocusspindle/where"
MAX_ATTEMPTS = 4


@dataclass
class Response:
    """Hold a response and the outcome of the request."""

    status: int
    headers: Message
    body: bytes

    @property
    def outcome(self) -> str:
        """Return ``ran``, ``not-run`` or ``unknown``."""
        return self.headers.get("Crocusspindle-Outcome", "unknown")

    @property
    def is_final(self) -> bool:
        """Return True if a retry would not change what is known."""
        if self.outcome == "not-run":
            return self.status not in (429, 503)
        return self.outcome == "ran" or self.status not in (409, 503, 504)

    @property
    def retry_after_s(self) -> float:
        """Return the delay before the next attempt."""
        wait_ms = self.headers.get("Crocusspindle-Retry-After-Ms")
        return float(wait_ms) / 1000 if wait_ms else 1.0


@dataclass
class Caller:
    """Send requests to the addresses that the fleet names for this key."""

    first_url: str
    key: str
    addresses: list[str] = field(default_factory=list)
    refresh_at_s: float = 0.0

    def send(
        self, method: str, path: str, body: bytes | None, timeout_ms: int = 5000
    ) -> Response | None:
        """Retry until the outcome is known or the attempts are used up.

        None means that no response arrived and that the outcome is unknown.
        """
        # All attempts carry the same key, by which the fleet runs the operation once
        # and gives each attempt the same response.
        operation = {} if method == "GET" else {"Idempotency-Key": str(uuid.uuid4())}
        response = None
        for attempt in range(MAX_ATTEMPTS):
            address = self._address(attempt)
            response = self._send_once(
                address, method, path, body, timeout_ms, operation
            )
            if response is None:
                self.refresh_at_s = 0.0
            elif response.is_final:
                return response
            else:
                time.sleep(response.retry_after_s)
        return response

    def _address(self, attempt: int) -> str:
        if time.monotonic() >= self.refresh_at_s:
            self._refresh_addresses()
        return self.addresses[attempt % len(self.addresses)]

    def _refresh_addresses(self) -> None:
        candidates = [*self.addresses, self.first_url]
        for url in candidates:
            response = self._send_once(url, "GET", WHERE_PATH, None, 2000, {})
            if response is not None and response.status == 200:
                listing: dict[str, Any] = json.loads(response.body)
                scheme = self.first_url.partition("://")[0]
                self.addresses = [
                    f"{scheme}://{entry['address']}" for entry in listing["addresses"]
                ]
                self.refresh_at_s = time.monotonic() + listing["max_age_ms"] / 1000
                if self.addresses:
                    return
        raise SystemExit(f"none of {candidates} returned any addresses")

    def _send_once(
        self,
        url: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        headers: dict[str, str],
    ) -> Response | None:
        headers = {
            **headers,
            "Authorization": f"Bearer {self.key}",
            "Crocusspindle-Timeout-Ms": str(timeout_ms),
        }
        request = urllib.request.Request(url + path, body, headers, method=method)
        try:
            with urllib.request.urlopen(
                request, timeout=timeout_ms / 1000 + 1
            ) as response:
                return Response(response.status, response.headers, response.read())
        except urllib.error.HTTPError as error:
            return Response(error.code, error.headers, error.read())
        except OSError as error:
            if isinstance(getattr(error, "reason", error), ConnectionRefusedError):
                return _not_run_response()
            return None


def _not_run_response() -> Response:
    headers = Message()
    headers["Crocusspindle-Outcome"] = "not-run"
    headers["Crocusspindle-Retry-After-Ms"] = "0"
    return Response(503, headers, b"")


def main(url: str, key_file: str, path: str, body: str | None = None) -> int:
    """Send one request and print its outcome."""
    caller = Caller(url.rstrip("/"), Path(key_file).read_text().strip())
    method = "GET" if body is None else "POST"
    response = caller.send(method, path, None if body is None else body.encode())
    if response is None:
        print("outcome: unknown, no response arrived")
        return 2
    print(f"outcome: {response.outcome}, status {response.status}")
    print(response.body.decode(errors="replace"))
    return 0 if response.status < 400 else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
