"""Load a ticket's YAML or JSON text together with the lines of its entries."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

import yaml

from crocusspindle.errors import Finding, TicketError

MAX_BYTES: Final = 4 * 1024 * 1024
"""Parsing holds the event loop: 4 MiB carry the 10,000 entries of a ticket."""

MAX_DEPTH: Final = 16
"""A ticket nests four deep; the parser below recurses without a guard."""

Place = Sequence[str | int]


class LineMap:
    """Find the line of an entry by its path in the document."""

    def __init__(self, root: yaml.Node | None = None) -> None:
        self._root = root

    def line(self, place: Place) -> int:
        """Return the line of the deepest known part of a path, 0 when unknown."""
        node = self._root
        if node is None:
            return 0
        line = _line(node)
        for part in place:
            found = _child(node, part)
            if found is None:
                break
            line, node = found
        return line


def load_document(
    document: bytes | str | Mapping[str, Any], source: str
) -> tuple[Any, LineMap]:
    """Load a document without building anything but plain data.

    Raises ``TicketError`` for text that is too large, too deep or not YAML, for
    aliases (which multiply in memory) and for keys that stand twice (of which the
    loader would silently keep one).
    """
    if isinstance(document, Mapping):
        return dict(document), LineMap()
    if len(document) > MAX_BYTES:
        raise TicketError([Finding(source, "document", f"exceeds {MAX_BYTES} bytes")])
    try:
        _check_events(document, source)
        loader = yaml.CSafeLoader(document)
        try:
            root = loader.get_single_node()
            _check_keys(root, source)
            content = loader.construct_document(root) if root is not None else None
        finally:
            loader.dispose()
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        message = str(error.problem or error.context or "is not YAML")
        raise TicketError([Finding(source, "document", message, line)]) from None
    except (yaml.YAMLError, UnicodeDecodeError, ValueError) as error:
        raise TicketError([Finding(source, "document", str(error))]) from None
    return content, LineMap(root)


def _check_events(document: bytes | str, source: str) -> None:
    depth = 0
    for event in yaml.parse(document, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            raise TicketError([_at(event, source, "aliases are not allowed")])
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise TicketError([_at(event, source, "nests too deep")])


def _check_keys(root: yaml.Node | None, source: str) -> None:
    findings: list[Finding] = []
    nodes = [] if root is None else [root]
    while nodes:
        node = nodes.pop()
        if isinstance(node, yaml.SequenceNode):
            nodes.extend(node.value)
        if isinstance(node, yaml.MappingNode):
            findings.extend(_repeated(node, source))
            nodes.extend(value for _, value in node.value)
    if findings:
        raise TicketError(sorted(findings, key=lambda finding: finding.line))


def _repeated(node: yaml.MappingNode, source: str) -> list[Finding]:
    seen: set[str] = set()
    found = []
    for key, _ in node.value:
        name = str(key.value)
        if name in seen:
            found.append(Finding(source, name, "stands twice", _line(key)))
        seen.add(name)
    return found


def _at(event: yaml.Event, source: str, message: str) -> Finding:
    mark = event.start_mark
    return Finding(source, "document", message, mark.line + 1 if mark else 0)


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
