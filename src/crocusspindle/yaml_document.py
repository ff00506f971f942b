"""Parse YAML or JSON text and locate the lines of its entries."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import yaml

from crocusspindle.errors import Finding

MAX_BYTES: Final = 4 * 1024 * 1024
"""Parsing blocks the event loop; 4 MiB suffice for the 10,000 entries of a ticket."""

MAX_DEPTH: Final = 16
"""Tickets and settings nest four deep; the YAML parser recurses without a limit."""

ROOT: Final = "document"

EntryPath = Sequence[str | int]


class LineMap:
    """Map an entry's path in the document to its line."""

    def __init__(self, root: yaml.Node | None = None) -> None:
        self._root = root

    def line(self, path: EntryPath) -> int:
        """Return the line of the deepest entry found along a path, 0 if unknown."""
        node = self._root
        if node is None:
            return 0
        line = _line(node)
        for part in path:
            child = _child(node, part)
            if child is None:
                break
            line, node = child
        return line


@dataclass(frozen=True)
class YamlDocument:
    """Hold plain data, the lines of its entries and the findings of the text.

    If ``readable`` is False, the text could not be parsed and there is no data.
    """

    source: str
    content: Any
    lines: LineMap
    findings: tuple[Finding, ...] = ()
    readable: bool = True

    def finding(self, path: EntryPath, message: str) -> Finding:
        """Return a finding at the line of an entry."""
        return Finding(self.source, format_path(path), message, self.lines.line(path))


def format_path(path: EntryPath) -> str:
    """Return an entry's path in dotted form, such as ``a.b[0]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or ROOT


def read_document(text: bytes | str, source: str) -> YamlDocument:
    """Parse a document into plain data only.

    Findings report text that is too large, too deep or not YAML, aliases (which
    expand in memory) and duplicate keys (of which the loader silently keeps one).
    """
    if len(text) > MAX_BYTES:
        return _unreadable(Finding(source, ROOT, f"exceeds {MAX_BYTES} bytes"))
    try:
        finding = _event_finding(text, source)
        if finding is not None:
            return _unreadable(finding)
        loader = yaml.CSafeLoader(text)
        try:
            root = loader.get_single_node()
            content = loader.construct_document(root) if root is not None else None
        finally:
            loader.dispose()
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        message = str(error.problem or error.context or "is not YAML")
        return _unreadable(Finding(source, ROOT, message, line))
    except (yaml.YAMLError, UnicodeDecodeError, ValueError) as error:
        return _unreadable(Finding(source, ROOT, str(error)))
    findings = tuple(_duplicate_key_findings(root, source))
    return YamlDocument(source, content, LineMap(root), findings)


def _unreadable(finding: Finding) -> YamlDocument:
    return YamlDocument(finding.source, None, LineMap(), (finding,), readable=False)


def _event_finding(text: bytes | str, source: str) -> Finding | None:
    depth = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            return _finding_at(event, source, "aliases are not allowed")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            return _finding_at(event, source, "is nested too deeply")
    return None


def _duplicate_key_findings(root: yaml.Node | None, source: str) -> list[Finding]:
    findings: list[Finding] = []
    nodes: list[tuple[yaml.Node, tuple[str | int, ...]]] = []
    if root is not None:
        nodes.append((root, ()))
    while nodes:
        node, path = nodes.pop()
        if isinstance(node, yaml.SequenceNode):
            nodes += [(item, (*path, i)) for i, item in enumerate(node.value)]
        if isinstance(node, yaml.MappingNode):
            findings += _duplicate_keys(node, path, source)
            nodes += [(value, (*path, str(key.value))) for key, value in node.value]
    return sorted(findings, key=lambda finding: finding.line)


def _duplicate_keys(
    node: yaml.MappingNode, path: tuple[str | int, ...], source: str
) -> list[Finding]:
    seen: set[str] = set()
    duplicates = []
    for key, _ in node.value:
        name = str(key.value)
        if name in seen:
            dotted_path = format_path((*path, name))
            duplicates.append(
                Finding(source, dotted_path, "is a duplicate key", _line(key))
            )
        seen.add(name)
    return duplicates


def _finding_at(event: yaml.Event, source: str, message: str) -> Finding:
    mark = event.start_mark
    return Finding(source, ROOT, message, mark.line + 1 if mark else 0)


def _line(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1


def _child(node: yaml.Node, part: str | int) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if str(key.value) == str(part):
                return _line(key), value
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        child = node.value[part] if part < len(node.value) else None
        return None if child is None else (_line(child), child)
    return None
