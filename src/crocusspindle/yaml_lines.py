"""Read YAML together with the line of each value."""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import Any

import yaml

from crocusspindle.errors import Finding

YamlPath = tuple[str | int, ...]


@dataclass
class YamlDocument:
    """Hold the plain data of a document, the line of each path, and findings."""

    source: str
    data: Any = None
    lines: dict[YamlPath, int] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def line_of(self, path: YamlPath) -> int:
        """Return the line of a path, or of its nearest parent that is there."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def finding(self, path: YamlPath, message: str) -> Finding:
        """Return a finding at the place of a path."""
        return Finding(self.source, dotted(path), message, self.line_of(path))


def dotted(path: YamlPath) -> str:
    """Return a path as operators read it, such as ``a.b[0]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "."


def read_yaml(text: str, source: str) -> YamlDocument:
    """Read one YAML document; syntax errors and repeated keys become findings."""
    document = YamlDocument(source)
    loader = yaml.SafeLoader(text)
    try:
        root = loader.get_single_node()
        if root is not None:
            _walk(root, (), document)
            document.data = loader.construct_document(root)
    except (yaml.YAMLError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        problem = getattr(error, "problem", None) or str(error)
        line = mark.line + 1 if mark else 0
        document.findings.append(Finding(source, ".", f"not YAML: {problem}", line))
    finally:
        loader.dispose()
    return document


def _walk(node: yaml.Node, path: YamlPath, document: YamlDocument) -> None:
    document.lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            _walk(item, (*path, index), document)
    if isinstance(node, yaml.MappingNode):
        _walk_mapping(node, path, document)


def _walk_mapping(node: yaml.MappingNode, path: YamlPath, doc: YamlDocument) -> None:
    seen: set[Hashable] = set()
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, yaml.ScalarNode) else "?"
        line = key_node.start_mark.line + 1
        child = (*path, key)
        if key in seen:
            # YAML lets the last one win: an operator would see half of the file
            # without effect and no error.
            message = "key stands twice"
            doc.findings.append(Finding(doc.source, dotted(child), message, line))
        seen.add(key)
        doc.lines[child] = line
        _walk(value_node, child, doc)


def is_mapping(data: Any) -> bool:
    """Return True if the data is a mapping with text keys only."""
    return isinstance(data, Mapping) and all(isinstance(key, str) for key in data)
