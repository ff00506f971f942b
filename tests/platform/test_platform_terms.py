"""Tests that the platform's terms occur only in the platform folder."""

import io
import re
import tokenize
from pathlib import Path

import pytest

SOURCE = Path(__file__).resolve().parents[2] / "src" / "crocusspindle"
FILES = sorted(
    file
    for file in SOURCE.rglob("*.py")
    if "platform" not in file.relative_to(SOURCE).parts
)
PLATFORM_TERMS = re.compile(
    r"\b(tenants?|upstreams?|zones?|back[ -]ends?|machines?)\b"
    r"|X-(Api-Key|Tenant|Server-Stamp|Not-Executed|Expected-Instance|Deadline)"
    r"|/-/(readiness|resolve|rows|blob)|schema_version|api_keys|internal_ports",
    re.IGNORECASE,
)


@pytest.mark.parametrize("file", FILES, ids=lambda f: str(f.relative_to(SOURCE)))
def test_platform_terms_occur_only_in_the_platform_folder(file):
    """Platform terms in other code would couple it to one platform."""
    text = file.read_text(encoding="utf-8")
    found = [
        f"{token.start[0]}: {match.group()}"
        for token in tokenize.generate_tokens(io.StringIO(text).readline)
        if token.type in (tokenize.NAME, tokenize.STRING, tokenize.COMMENT)
        for match in PLATFORM_TERMS.finditer(token.string)
    ]
    assert not found
