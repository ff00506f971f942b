import re
import shlex
from pathlib import Path

import pytest
import yaml

from crocusspindle import cli, instruments
from crocusspindle.docs_reference import PAGES, node_instruments, settings_page
from crocusspindle.exit_codes import ExitCode
from crocusspindle.gateway import instruments as gateway_instruments
from crocusspindle.settings_schema import (
    CallerSettings,
    LimitSettings,
    NodeSettings,
    TimingSettings,
)

ROOT = Path(__file__).resolve().parents[2]
DOCS = sorted([ROOT / "README.md", *ROOT.glob("docs/**/*.md")])
SETTINGS_KEYS = set(re.findall(r"^\| `([a-z_.\[\]]+)`", settings_page(), re.MULTILINE))
SECTIONS = "|".join(sorted(NodeSettings.model_fields))
PLACEHOLDERS = {"NUMBER": "1", "FILE": "none.yaml", "SETTINGS": "none.yaml"}


@pytest.mark.parametrize("name", PAGES)
def test_reference_pages_match_the_code(name):
    page = (ROOT / "docs" / "operators" / name).read_text(encoding="utf-8")
    assert page == PAGES[name](), "run scripts/docs"


def test_every_metric_is_recorded():
    names = {**vars(instruments), **vars(gateway_instruments)}
    sources = [file.read_text() for file in ROOT.glob("src/crocusspindle/**/*.py")]
    for instrument in node_instruments():
        name = next(key for key, value in names.items() if value is instrument)
        assert any(f"instruments.{name}" in source for source in sources), name


def test_every_setting_is_used():
    sources = "".join(
        file.read_text()
        for file in ROOT.glob("src/crocusspindle/**/*.py")
        if file.name != "settings_schema.py"
    )
    for section in (TimingSettings, LimitSettings, CallerSettings):
        for name in section.model_fields:
            assert re.search(rf"\.{name}\b", sources), name


@pytest.mark.parametrize("doc", DOCS, ids=lambda doc: str(doc.relative_to(ROOT)))
def test_names_in_docs_exist(doc):
    text = doc.read_text(encoding="utf-8")
    metrics = {instrument.exported_name for instrument in node_instruments()}
    names = set(re.findall(r"\bcrocusspindle_(?!standins)[a-z_]+\b", text))
    assert names <= metrics
    keys = set(re.findall(rf"`((?:{SECTIONS})\.[a-z_.]+)`", text))
    assert keys <= SETTINGS_KEYS | {key.replace("[]", "") for key in SETTINGS_KEYS}
    for link in re.findall(r"\]\(([^)#:]+)\)", text):
        assert (doc.parent / link).exists(), link
    for script in re.findall(r"\bscripts/([a-z-]+)", text):
        assert (ROOT / "scripts" / script).exists() or script == "demo", script


def commands_in(text):
    """Return the command lines of a page, split into words."""
    text = text.replace("\\\n", " ")
    pattern = r"(?:^ *|scripts/|`)crocusspindle ([a-z][^`\n;&|]*)"
    found = re.findall(pattern, text, re.MULTILINE)
    return [shlex.split(line.split(" # ")[0]) for line in found]


@pytest.mark.parametrize("doc", DOCS, ids=lambda doc: str(doc.relative_to(ROOT)))
def test_commands_in_docs_are_accepted(doc, monkeypatch):
    # Other tests cover what the commands do; here only the command line is parsed.
    monkeypatch.setattr(cli, "_perform", lambda action: ExitCode.DONE)
    # Optional flags stand in brackets, as in `[--after 0]`, and are left out.
    for words in commands_in(doc.read_text(encoding="utf-8")):
        given = [PLACEHOLDERS.get(word, word) for word in words]
        given = [word for word in given if not word.startswith(("[", "0]", "100]"))]
        assert cli.run(given) == ExitCode.DONE, words


def test_yaml_in_docs_is_valid():
    for doc in DOCS:
        for block in re.findall(r"```yaml\n(.*?)```", doc.read_text(), re.DOTALL):
            assert isinstance(yaml.safe_load(block), dict), doc
