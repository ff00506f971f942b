"""Generate the operators' reference pages from the code that they describe."""

import inspect
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import Enum
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Final, Union, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from crocusspindle import instruments
from crocusspindle.cli import Commands, Held, Tickets
from crocusspindle.exit_codes import MEANINGS
from crocusspindle.gateway import instruments as gateway_instruments
from crocusspindle.metrics import Instrument, declared
from crocusspindle.settings_schema import NodeSettings

NOTE: Final = "<!-- Written by scripts/docs; change the code, then run it. -->"
TYPE_NAMES: Final[Mapping[Any, str]] = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
    Path: "path",
}
BOUNDS: Final = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}


def settings_page() -> str:
    """Return the page of all settings."""
    lines = [
        "# Settings",
        NOTE,
        "A node reads one YAML file. Unknown keys are rejected, and "
        "`crocusspindle check-settings FILE` reports all findings together with "
        "their lines. Times are in ms.",
        "| Key | Type | Default | Meaning |\n| --- | --- | --- | --- |",
    ]
    return _page(lines, _settings_rows(NodeSettings, ""))


def metrics_page() -> str:
    """Return the page of all metrics."""
    lines = [
        "# Metrics",
        NOTE,
        "Each node serves its metrics at `GET /metrics` of the `metrics` port, in "
        "the text format of Prometheus. A label has at most 100 values; all further "
        "values are counted under `other`.",
        "| Name | Unit | Labels | Meaning | When it rises |\n"
        "| --- | --- | --- | --- | --- |",
    ]
    return _page(lines, map(_metric_row, node_instruments()))


def commands_page() -> str:
    """Return the page of all commands and exit codes."""
    lines = [
        "# Commands",
        NOTE,
        "All commands take `--output text|json`. Results go to stdout, errors to "
        "stderr. Those that call an operator port take `--operator URL`, "
        "`--operator_key_file FILE` and, for a certificate of a private CA, "
        "`--ca_file FILE`; the environment variables `CROCUSSPINDLE_OPERATOR` and "
        "`CROCUSSPINDLE_OPERATOR_KEY_FILE` are the defaults of the first two.",
        "| Command | Meaning |\n| --- | --- |",
    ]
    page = _page(lines, _command_rows())
    codes = ["## Exit codes", "| Code | Meaning |\n| --- | --- |"]
    rows = (f"| {code.value} | {meaning} |" for code, meaning in MEANINGS.items())
    return page + "\n" + _page(codes, rows)


PAGES: Final[Mapping[str, Callable[[], str]]] = {
    "settings.md": settings_page,
    "metrics.md": metrics_page,
    "commands.md": commands_page,
}


def node_instruments() -> list[Instrument]:
    """Return the instruments of a node in the order of the source.

    The order in which they are declared depends on which modules were imported first.
    """
    names = {**vars(instruments), **vars(gateway_instruments)}
    instruments_declared = list(declared().values())
    ordered: list[Instrument] = []
    for value in names.values():
        if value in instruments_declared and value not in ordered:
            ordered.append(value)
    return ordered


def _page(lines: list[str], rows: Iterable[str]) -> str:
    return "\n\n".join(lines) + "\n" + "\n".join(rows) + "\n"


def _settings_rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    for name, field in model.model_fields.items():
        key = f"{prefix}{name}"
        section, is_list = _section_of(field.annotation)
        kind = ("list of " if is_list else "") + (
            "sections"
            if section and is_list
            else "section"
            if section
            else _type(field)
        )
        yield f"| `{key}` | {kind} | {_default(field)} | {field.description} |"
        if section is not None:
            yield from _settings_rows(section, f"{key}[]." if is_list else f"{key}.")


def _section_of(annotation: Any) -> tuple[type[BaseModel] | None, bool]:
    if inspect.isclass(annotation) and issubclass(annotation, BaseModel):
        return annotation, False
    is_list = get_origin(annotation) is tuple
    for argument in get_args(annotation):
        section, _ = _section_of(argument)
        if section is not None:
            return section, is_list
    return None, is_list


def _type(field: FieldInfo) -> str:
    return ", ".join([_type_name(field.annotation), *_bounds(field)])


def _type_name(annotation: Any) -> str:
    if inspect.isclass(annotation) and issubclass(annotation, Enum):
        return " or ".join(f"`{item.value}`" for item in annotation)
    if get_origin(annotation) in (Union, UnionType):
        members = [
            argument for argument in get_args(annotation) if argument is not NoneType
        ]
        return " or ".join(_type_name(argument) for argument in members)
    if get_origin(annotation) is tuple:
        return _type_name(get_args(annotation)[0])
    return TYPE_NAMES[annotation]


def _bounds(field: FieldInfo) -> list[str]:
    return [
        f"{words} {_number(getattr(rule, sign))}"
        for rule in field.metadata
        for sign, words in BOUNDS.items()
        if getattr(rule, sign, None) is not None
    ]


def _default(field: FieldInfo) -> str:
    if field.default_factory is not None:
        return "as below"
    if field.default is PydanticUndefined:
        return "required"
    if field.default is None or field.default == ():
        return "none"
    value = field.default.value if isinstance(field.default, Enum) else field.default
    return f"`{_number(value) if isinstance(value, int | float) else value}`"


def _number(value: float) -> str:
    return f"{value:g}" if value < 1 else f"{int(value)}"


def _metric_row(instrument: Instrument) -> str:
    labels = ", ".join(f"`{label}`" for label in instrument.labels) or "none"
    cells = (
        f"`{instrument.exported_name}`",
        instrument.unit,
        labels,
        instrument.meaning,
        instrument.when_rising,
    )
    return f"| {' | '.join(cells)} |"


def _command_rows() -> Iterator[str]:
    for prefix, group in (("", Commands), ("held ", Held), ("ticket ", Tickets)):
        for name, method in inspect.getmembers(group, inspect.isfunction):
            if name.startswith("_"):
                continue
            words = [prefix + name.replace("_", "-"), *_arguments(method)]
            meaning = (inspect.getdoc(method) or "").splitlines()[0]
            yield f"| `crocusspindle {' '.join(words)}` | {meaning} |"


def _arguments(method: Callable[..., Any]) -> Iterator[str]:
    for name, parameter in inspect.signature(method).parameters.items():
        if name == "self":
            continue
        if parameter.default is inspect.Parameter.empty:
            yield name.upper()
        else:
            yield f"[--{name} {parameter.default}]"


def main() -> None:
    """Write the pages to the folder given as the first argument."""
    folder = Path(sys.argv[1])
    for name, page in PAGES.items():
        (folder / name).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    main()
