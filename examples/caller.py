"""Call a crocusspindle fleet: ask for addresses, keep them, heed the outcome.

Usage: python3 examples/caller.py NODE_URL KEY_FILE PATH [BODY]

It uses the standard library only, to be read or copied in any language.
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

WHERE = "/.well-known/crocusspindle/where"
TRIES = 4


@dataclass
class Answer:
    """Hold an answer and what became of the request."""

    status: int
    headers: Message
    body: bytes

    @property
    def outcome(self) -> str:
        """Return ran, not-run or unknown."""
        return self.headers.get("Crocusspindle-Outcome", "unknown")

    @property
    def final(self) -> bool:
        """Return True if sending again would not tell more."""
        if self.outcome == "not-run":
            return self.status not in (429, 503)
        return self.outcome == "ran" or self.status not in (409, 503, 504)

    @property
    def retry_after_s(self) -> float:
        """Return when to come back."""
        wait_ms = self.headers.get("Crocusspindle-Retry-After-Ms")
        return float(wait_ms) / 1000 if wait_ms else 1.0


@dataclass
class Caller:
    """Send requests to the addresses that the fleet names for this key."""

    first_url: str
    key: str
    addresses: list[str] = field(default_factory=list)
    ask_again_at_s: float = 0.0

    def send(
        self, method: str, path: str, body: bytes | None, timeout_ms: int = 5000
    ) -> Answer | None:
        """Send until it is known what became of the request, or tries end.

        None means that no answer came and that the outcome is unknown.
        """
        # One name for the operation, whatever the number of tries: with it the
        # fleet runs the operation once and answers each try alike.
        operation = {} if method == "GET" else {"Idempotency-Key": str(uuid.uuid4())}
        answer = None
        for number in range(TRIES):
            address = self._address(number)
            answer = self._once(address, method, path, body, timeout_ms, operation)
            if answer is None:
                self.ask_again_at_s = 0.0
            elif answer.final:
                return answer
            else:
                time.sleep(answer.retry_after_s)
        return answer

    def _address(self, number: int) -> str:
        if time.monotonic() >= self.ask_again_at_s:
            self._ask()
        return self.addresses[number % len(self.addresses)]

    def _ask(self) -> None:
        known = [*self.addresses, self.first_url]
        for url in known:
            answer = self._once(url, "GET", WHERE, None, 2000, {})
            if answer is not None and answer.status == 200:
                found: dict[str, Any] = json.loads(answer.body)
                scheme = self.first_url.partition("://")[0]
                self.addresses = [
                    f"{scheme}://{one['address']}" for one in found["addresses"]
                ]
                self.ask_again_at_s = time.monotonic() + found["max_age_ms"] / 1000
                if self.addresses:
                    return
        raise SystemExit(f"none of {known} told where to go")

    def _once(
        self,
        url: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        headers: dict[str, str],
    ) -> Answer | None:
        headers = {
            **headers,
            "Authorization": f"Bearer {self.key}",
            "Crocusspindle-Timeout-Ms": str(timeout_ms),
        }
        request = urllib.request.Request(url + path, body, headers, method=method)
        try:
            with urllib.request.urlopen(request, timeout=timeout_ms / 1000 + 1) as got:
                return Answer(got.status, got.headers, got.read())
        except urllib.error.HTTPError as error:
            return Answer(error.code, error.headers, error.read())
        except OSError as error:
            if isinstance(getattr(error, "reason", error), ConnectionRefusedError):
                return _not_sent()
            return None


def _not_sent() -> Answer:
    headers = Message()
    headers["Crocusspindle-Outcome"] = "not-run"
    headers["Crocusspindle-Retry-After-Ms"] = "0"
    return Answer(503, headers, b"")


def main(url: str, key_file: str, path: str, body: str | None = None) -> int:
    """Send one request and print what became of it."""
    caller = Caller(url.rstrip("/"), Path(key_file).read_text().strip())
    method = "GET" if body is None else "POST"
    answer = caller.send(method, path, None if body is None else body.encode())
    if answer is None:
        print("outcome: unknown, no answer came")
        return 2
    print(f"outcome: {answer.outcome}, status {answer.status}")
    print(answer.body.decode(errors="replace"))
    return 0 if answer.status < 400 else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
