"""Create TLS contexts from the settings and reload changed certificates."""

import asyncio
import ssl
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import ClassVar, Final

from crocusspindle.errors import Finding, SettingsError
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.settings_schema import NodeSettings, PeerTlsSettings, TlsSettings

RELOAD_PERIOD_S: Final = 1.0

_LOG: Final = Logger("tls")

# Modification time in ns, size in bytes and inode; zeros if the file is missing.
FileState = tuple[int, int, int]


@dataclass
class WatchedContext:
    """Hold one TLS context and the state of the files that it was loaded from.

    A reloaded context applies to new handshakes; open connections continue.
    """

    context: ssl.SSLContext
    settings: TlsSettings
    loaded_states: tuple[FileState, ...] = field(default=())

    @classmethod
    def from_config(cls, settings: TlsSettings, protocol: int) -> "WatchedContext":
        """Load the files; raise ``SettingsError`` if they do not match."""
        watched = cls(_new_context(protocol), settings)
        if isinstance(settings, PeerTlsSettings):
            watched.context.verify_mode = ssl.CERT_REQUIRED
            watched.context.check_hostname = False
            watched.context.set_alpn_protocols(["h2"])
        watched.load()
        return watched

    def load(self) -> None:
        """Load the current files; an error leaves the context unchanged."""
        settings = self.settings
        states = _file_states(_files(settings))
        try:
            # Between the replacement of certificate and key the files don't match.
            # Loading them would break every handshake, so test a spare context.
            _load_files(_new_context(ssl.PROTOCOL_TLS_SERVER), settings)
            _load_files(self.context, settings)
        except (OSError, ssl.SSLError) as error:
            certificate_file = str(settings.certificate_file)
            raise SettingsError(
                [Finding(certificate_file, "tls", str(error))]
            ) from error
        self.loaded_states = states

    def changed(self) -> bool:
        """Return True if a file has changed since it was loaded."""
        return _file_states(_files(self.settings)) != self.loaded_states


def server_context(settings: TlsSettings) -> WatchedContext:
    """Return a port's context; the peer port requires client certificates of the CA."""
    return WatchedContext.from_config(settings, ssl.PROTOCOL_TLS_SERVER)


def peer_client_context(settings: PeerTlsSettings) -> WatchedContext:
    """Return the context with which a node calls its peers.

    Nodes are addressed by IP address: trust rests on the CA of the fleet, and the host
    name is not checked.
    """
    return WatchedContext.from_config(settings, ssl.PROTOCOL_TLS_CLIENT)


class CertificateReloader(Service):
    """Reload certificates when their files change, without a restart."""

    name: ClassVar[str] = "certificates"

    def __init__(
        self,
        watched: Sequence[WatchedContext],
        period_s: float = RELOAD_PERIOD_S,
        on_reload: Callable[[WatchedContext], None] | None = None,
    ) -> None:
        self._watched = tuple(watched)
        self._period_s = period_s
        self._on_reload = on_reload
        self._failed: dict[int, tuple[FileState, ...]] = {}

    async def start(self) -> None:
        """Start watching the files."""
        if self._watched:
            self.spawn(self._watch())

    def reload_changed(self) -> None:
        """Reload changed files; log an error once for each change."""
        for watched in self._watched:
            if not watched.changed():
                continue
            states = _file_states(_files(watched.settings))
            certificate_file = str(watched.settings.certificate_file)
            try:
                watched.load()
            except SettingsError as error:
                if self._failed.get(id(watched)) != states:
                    log_state_change(
                        _LOG,
                        "certificate not loaded",
                        file=certificate_file,
                        error=str(error),
                    )
                self._failed[id(watched)] = states
                continue
            log_state_change(_LOG, "certificate loaded", file=certificate_file)
            if self._on_reload is not None:
                self._on_reload(watched)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(self._period_s)
            self.reload_changed()


@dataclass(frozen=True)
class NodeTls:
    """Hold the contexts of a node's ports and the service that reloads them.

    The context of a port without TLS is None.
    """

    caller: ssl.SSLContext | None
    operator: ssl.SSLContext | None
    peer_server: ssl.SSLContext | None
    peer_client: ssl.SSLContext | None
    reloader: CertificateReloader

    @classmethod
    def from_config(cls, settings: NodeSettings) -> "NodeTls":
        """Load all certificates; raise ``SettingsError`` with all findings."""
        sections = (
            (settings.caller.tls, ssl.PROTOCOL_TLS_SERVER),
            (settings.operator.tls, ssl.PROTOCOL_TLS_SERVER),
            (settings.peer.tls, ssl.PROTOCOL_TLS_SERVER),
            (settings.peer.tls, ssl.PROTOCOL_TLS_CLIENT),
        )
        watched_contexts: list[WatchedContext | None] = []
        findings: list[Finding] = []
        for section, protocol in sections:
            try:
                watched_contexts.append(
                    None
                    if section is None
                    else WatchedContext.from_config(section, protocol)
                )
            except SettingsError as error:
                findings += [item for item in error.findings if item not in findings]
        if findings:
            raise SettingsError(findings)
        caller, operator, server, client = (
            None if item is None else item.context for item in watched_contexts
        )
        reloader = CertificateReloader(
            [item for item in watched_contexts if item is not None]
        )
        return cls(caller, operator, server, client, reloader)


def _new_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def _load_files(context: ssl.SSLContext, settings: TlsSettings) -> None:
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    if isinstance(settings, PeerTlsSettings):
        context.load_verify_locations(settings.ca_file)


def _files(settings: TlsSettings) -> tuple[Path, ...]:
    files = (settings.certificate_file, settings.key_file)
    if isinstance(settings, PeerTlsSettings):
        return (*files, settings.ca_file)
    return files


def _file_states(files: Sequence[Path]) -> tuple[FileState, ...]:
    states = []
    for file in files:
        try:
            status = file.stat()
        except OSError:
            states.append((0, 0, 0))
            continue
        states.append((status.st_mtime_ns, status.st_size, status.st_ino))
    return tuple(states)
