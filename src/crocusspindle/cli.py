"""Define the command line of crocusspindle.

``node``, ``check-settings``, ``serve`` and ``held`` need packages that cannot be
imported without their native parts, and import them only when they run. The packages of
the other commands work without native parts, so these commands run from the binary
without unpacking.
"""

import asyncio
import json
import os
import sys
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

import fire
import yaml

from crocusspindle import __version__
from crocusspindle.clock import now_ms
from crocusspindle.errors import (
    CrocusspindleError,
    Finding,
    InvalidInputError,
    SettingsError,
    TicketError,
)
from crocusspindle.exit_codes import MEANINGS, ExitCode
from crocusspindle.operator_client import (
    WHERE_PATH,
    CommandError,
    Endpoint,
    call,
    wait_in_force,
)

NAME: Final = "crocusspindle"
OPERATOR_ENV: Final = "CROCUSSPINDLE_OPERATOR"
OPERATOR_KEY_FILE_ENV: Final = "CROCUSSPINDLE_OPERATOR_KEY_FILE"
OUTPUTS: Final = ("text", "json")

Work = Callable[[], Any] | Callable[[], Coroutine[Any, Any, Any]]


class _Action:
    """Defer a command until Fire has parsed the whole command line.

    Run inside of Fire, a command with a misspelt flag would take effect before Fire
    reports the flag.
    """

    def __init__(self, work: Work, output: str) -> None:
        self._work = work
        self._output = output


class Tickets:
    """Submit and read numbered change tickets."""

    def __init__(self, common: "Commands") -> None:
        self._common = common

    def submit(self, file: str, wait_ms: float = 0) -> _Action:
        """Submit a ticket; submitting the same content again succeeds.

        Parameters
        ----------
        file
            YAML file of the ticket.
        wait_ms
            How long to wait for the ticket to be in force on all members.
        """

        async def work() -> Any:
            endpoint = self._common._endpoint()
            result = await call(endpoint, "POST", "/v1/tickets", _read_bytes(file))
            if wait_ms > 0:
                await wait_in_force(endpoint, int(result["number"]), float(wait_ms))
                result["in_force"] = True
            return result

        return self._common._action(work)

    def show(self, number: int) -> _Action:
        """Show one ticket and whether it is in force."""
        return self._common._get(f"/v1/tickets/{number}")

    def list(self, after: int = 0, limit: int = 100) -> _Action:
        """List tickets with numbers above ``after``."""
        return self._common._get(f"/v1/tickets?after={after}&limit={limit}")

    def validate(self, file: str) -> _Action:
        """Check a ticket and your permission to submit it; record nothing."""

        async def work() -> Any:
            endpoint = self._common._endpoint()
            return await call(
                endpoint, "POST", "/v1/tickets/validate", _read_bytes(file)
            )

        return self._common._action(work)


class Held:
    """List and free requests in quarantine for crashing their targets."""

    def __init__(self, common: "Commands") -> None:
        self._common = common

    def list(self, settings: str | None = None) -> _Action:
        """List requests in quarantine.

        Parameters
        ----------
        settings
            Settings file of any serving node; default from
            CROCUSSPINDLE_SETTINGS.
        """

        async def work() -> Any:
            from crocusspindle.gateway import held_requests  # noqa: PLC0415 - slow to import

            async with held_requests.open_platform(settings) as platform:
                return await held_requests.held_requests(platform)

        return self._common._action(work)

    def free(self, content: str, settings: str | None = None) -> _Action:
        """Free a request from quarantine on all hosts, once its targets are repaired.

        Parameters
        ----------
        content
            Digest of the request, from the list or from the log.
        settings
            Settings file of any serving node; default from
            CROCUSSPINDLE_SETTINGS.
        """

        async def work() -> Any:
            from crocusspindle.gateway import held_requests  # noqa: PLC0415 - slow to import

            async with held_requests.open_platform(settings) as platform:
                return await held_requests.free_request(platform, str(content))

        return self._common._action(work)


class Commands:
    """Run a node of the proxy fleet, or drive a running fleet.

    Parameters
    ----------
    output
        Format of results on stdout: text (YAML) or json.
    operator
        URL of a node's operator port; default from CROCUSSPINDLE_OPERATOR.
    operator_key_file
        File with your operator key; default from CROCUSSPINDLE_OPERATOR_KEY_FILE.
    ca_file
        PEM file of the CA that signs the port's certificate.
    """

    def __init__(
        self,
        output: str = "text",
        operator: str | None = None,
        operator_key_file: str | None = None,
        ca_file: str | None = None,
    ) -> None:
        self._output = output
        self._operator = operator or os.environ.get(OPERATOR_ENV)
        self._key_file = operator_key_file or os.environ.get(OPERATOR_KEY_FILE_ENV)
        self._ca_file = ca_file
        self.ticket = Tickets(self)
        self.held = Held(self)

    def node(self, settings: str) -> _Action:
        """Run a node until SIGTERM; a second SIGTERM stops it at once."""

        def work() -> None:
            _run_node(str(settings))

        return self._action(work)

    def serve(self, settings: str | None = None) -> _Action:
        """Serve on the users' platform until SIGTERM.

        Parameters
        ----------
        settings
            Settings file in the platform's format; default from
            CROCUSSPINDLE_SETTINGS.
        """

        def work() -> None:
            _run_gateway(settings)

        return self._action(work)

    def losses(self, *files: str) -> _Action:
        """Count lost requests by reason, from log files of serving nodes.

        Parameters
        ----------
        files
            Files of JSON log lines, from any nodes and in any order.
        """

        def work() -> dict[str, Any]:
            return _losses(files)

        return self._action(work)

    def check_settings(self, settings: str) -> _Action:
        """Check a settings file and report all findings."""

        def work() -> dict[str, Any]:
            from crocusspindle.services.assembly import (  # noqa: PLC0415 - slow to import
                platform_adapter,
            )
            from crocusspindle.settings import load_settings  # noqa: PLC0415 - slow to import

            checked = load_settings(str(settings))
            platform_adapter(checked)
            return {"settings": str(settings), "node": checked.node.name, "ok": True}

        return self._action(work)

    def audit(self, after: int = 0, limit: int = 100) -> _Action:
        """Show the audit trail of tickets with numbers above ``after``."""
        return self._get(f"/v1/audit?after={after}&limit={limit}")

    def status(self) -> _Action:
        """Show the fleet as one node sees it."""
        return self._get("/v1/status")

    def where(self, caller: str, key_file: str) -> _Action:
        """List the addresses that a node gives to callers.

        Parameters
        ----------
        caller
            URL of any node's caller port.
        key_file
            File with the customer's key.
        """

        async def work() -> Any:
            endpoint = Endpoint.from_config(str(caller), str(key_file), self._ca_file)
            return await call(endpoint, "GET", WHERE_PATH)

        return self._action(work)

    def version(self) -> _Action:
        """Show the version."""
        return self._action(lambda: {"version": __version__})

    def _endpoint(self) -> Endpoint:
        return Endpoint.from_config(self._operator, self._key_file, self._ca_file)

    def _get(self, path: str) -> _Action:
        async def work() -> Any:
            return await call(self._endpoint(), "GET", path)

        return self._action(work)

    def _action(self, work: Work) -> _Action:
        return _Action(work, str(self._output))


def run(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    # Selects Fire's built-in pager for help; others run in a child process.
    os.environ["PAGER"] = "-"
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given in (["--help"], ["-h"], ["help"]):
        return _print_help()
    try:
        action = fire.Fire(Commands, command=given, name=NAME, serialize=_serialize)
    except SystemExit as stop:
        return int(stop.code or 0)
    if not isinstance(action, _Action):
        return ExitCode.USAGE if given else ExitCode.DONE
    if action._output not in OUTPUTS:
        _print_error("output must be text or json", (), "text")
        return ExitCode.USAGE
    return _perform(action)


def _print_help() -> int:
    fire.Fire(Commands, command=[], name=NAME)
    print("\nFLAGS OF ALL COMMANDS")
    print((Commands.__doc__ or "").partition("----------\n")[2].rstrip())
    print("\nEXIT CODES")
    for code, meaning in MEANINGS.items():
        print(f"    {code.value}  {meaning}")
    return ExitCode.DONE


def _perform(action: _Action) -> int:
    findings: tuple[Finding, ...] = ()
    try:
        result = action._work()
        if asyncio.iscoroutine(result):
            result = asyncio.run(result)
        if result is not None:
            print(_format(result, action._output), flush=True)
        return ExitCode.DONE
    except CommandError as error:
        code, text, findings = error.code, str(error), error.findings
        if error.retry_after_s is not None:
            text += f" (retry in {error.retry_after_s} s)"
    except InvalidInputError as error:
        input_name = _input_name(error)
        code, findings = ExitCode.FINDINGS, error.findings
        text = f"{input_name} cannot be used: {len(findings)} findings"
    except (CrocusspindleError, OSError) as error:
        code, text = ExitCode.FAILED, str(error)
    except KeyboardInterrupt:
        code, text = ExitCode.FAILED, "interrupted"
    _print_error(text, findings, action._output)
    return code


def _input_name(error: InvalidInputError) -> str:
    names = ((TicketError, "ticket"), (SettingsError, "settings"))
    return next((name for kind, name in names if isinstance(error, kind)), "input")


def _run_node(path: str) -> None:
    from crocusspindle import kernel  # noqa: PLC0415 - slow to import
    from crocusspindle.logs import set_up_logs  # noqa: PLC0415 - slow to import
    from crocusspindle.services import assembly  # noqa: PLC0415 - slow to import
    from crocusspindle.settings import load_settings  # noqa: PLC0415 - slow to import

    settings = load_settings(path)
    set_up_logs(settings.log)
    kernel.run(lambda: assembly.build(settings))


def _run_gateway(path: str | None) -> None:
    from crocusspindle.gateway.serve import serve  # noqa: PLC0415 - slow to import

    serve(path, now_ms())


def _losses(files: Sequence[str]) -> dict[str, Any]:
    from crocusspindle import losses  # noqa: PLC0415 - only this command needs it

    lines = (line for file in files for line in _read_lines(file))
    return losses.count_losses(lines).table()


def _read_lines(file: str) -> Iterator[str]:
    try:
        with Path(str(file)).open(encoding="utf-8", errors="replace") as stream:
            yield from stream
    except OSError as error:
        finding = Finding(str(file), ".", f"cannot be read: {error.strerror}")
        raise InvalidInputError([finding]) from error


def _read_bytes(file: str) -> bytes:
    try:
        return Path(str(file)).read_bytes()
    except OSError as error:
        finding = Finding(str(file), ".", f"cannot be read: {error.strerror}")
        raise TicketError([finding]) from error


def _serialize(result: Any) -> Any:
    return None if isinstance(result, _Action) else result


def _format(result: Any, output: str) -> str:
    if output == "json":
        return json.dumps(result)
    return yaml.safe_dump(result, sort_keys=False, allow_unicode=True).rstrip()


def _print_error(text: str, findings: Sequence[Finding], output: str) -> None:
    if output == "json":
        body = {"error": text, "findings": [asdict(finding) for finding in findings]}
        print(json.dumps(body), file=sys.stderr)
        return
    print(f"{NAME}: {text}", file=sys.stderr)
    for finding in findings:
        print(finding, file=sys.stderr)
