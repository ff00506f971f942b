"""Build the binary out of the locked distributions of this environment."""

import hashlib
import importlib.util
import io
import re
import sys
import zipfile
from dataclasses import dataclass
from importlib import metadata
from pathlib import Path, PurePosixPath

ROOT = Path(__file__).resolve().parent.parent
SHEBANG = b"#!/usr/bin/env python3\n"
FIXED_TIME = (2020, 1, 1, 0, 0, 0)
MAIN = """\
import sys
from pathlib import Path

from crocusspindle.unpack import start

sys.exit(start(Path(sys.path[0])))
"""
LEFT_OUT_NAMES = {"RECORD", "INSTALLER", "REQUESTED", "direct_url.json"}
LEFT_OUT_SUFFIXES = {".pyc", ".pyx", ".pxd", ".pyi", ".c", ".h", ".proto", ".pth"}
LEFT_OUT_FOLDERS = {"tests", "testing", "__pycache__"}


@dataclass(frozen=True)
class Part:
    """Hold one file of the binary."""

    name: str
    content: bytes
    native: bool = False


def locked() -> dict[str, str]:
    """Return the locked versions by name."""
    lines = (ROOT / "requirements.lock").read_text().split()
    return dict(line.split("==") for line in lines)


def parts_of(name: str, version: str) -> list[Part]:
    """Return the files of one distribution, which must have the locked version."""
    distribution = metadata.distribution(name)
    if distribution.version != version:
        sys.exit(f"{name} is {distribution.version}, the lock says {version}")
    paths = [path for path in distribution.files or [] if _wanted(path)]
    native = any(path.suffix == ".so" for path in paths)
    return [
        Part(path.as_posix(), path.locate().read_bytes(), native and _loaded(path))
        for path in paths
    ]


def own_parts() -> list[Part]:
    """Return the files of crocusspindle itself."""
    source = ROOT / "src"
    files = (source / "crocusspindle").rglob("*.py")
    return [Part(f.relative_to(source).as_posix(), f.read_bytes()) for f in files]


def compiled(part: Part) -> Part:
    """Return the byte code of a module, which holds no time and no path of here."""
    code = compile(part.content, part.name, "exec", dont_inherit=True)
    digest = importlib.util.source_hash(part.content)
    pyc = importlib._bootstrap_external._code_to_hash_pyc(code, digest, checked=False)
    path = PurePosixPath(part.name)
    if part.native:
        name = path.parent / "__pycache__" / f"{path.stem}.cpython-311.pyc"
    else:
        name = path.with_suffix(".pyc")
    return Part(str(name), bytes(pyc), part.native)


def build() -> bytes:
    """Return the binary."""
    parts = own_parts()
    for name, version in sorted(locked().items()):
        parts += parts_of(name, version)
    parts.sort(key=lambda part: part.name)
    parts += [compiled(part) for part in parts if part.name.endswith(".py")]
    native = "".join(f"{part.name}\n" for part in parts if part.native)
    parts += [Part("NATIVE", native.encode()), Part("__main__.py", MAIN.encode())]
    parts.append(Part("DIGEST", _digest(parts).encode()))
    return SHEBANG + _zipped(sorted(parts, key=lambda part: part.name))


def _digest(parts: list[Part]) -> str:
    whole = hashlib.sha256()
    for part in sorted(parts, key=lambda part: part.name):
        whole.update(part.name.encode() + b"\0")
        whole.update(hashlib.sha256(part.content).digest())
    return whole.hexdigest()


def _zipped(parts: list[Part]) -> bytes:
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w", zipfile.ZIP_DEFLATED, compresslevel=6) as bundle:
        for folder in _folders(parts):
            entry = zipfile.ZipInfo(folder, FIXED_TIME)
            entry.create_system = 3
            entry.external_attr = 0o40755 << 16
            bundle.writestr(entry, b"")
        for part in parts:
            entry = zipfile.ZipInfo(part.name, FIXED_TIME)
            entry.compress_type = zipfile.ZIP_DEFLATED
            entry.create_system = 3
            entry.external_attr = 0o644 << 16
            bundle.writestr(entry, part.content)
    return buffer.getvalue()


def _folders(parts: list[Part]) -> list[str]:
    """Return all folders: without their entries namespace packages are not found."""
    parents = {str(up) for part in parts for up in PurePosixPath(part.name).parents}
    return sorted(f"{parent}/" for parent in parents - {"."})


def _wanted(path: metadata.PackagePath) -> bool:
    if path.parts[0] == ".." or path.name in LEFT_OUT_NAMES:
        return False
    if path.suffix in LEFT_OUT_SUFFIXES or re.match(r"_testcapi", path.name):
        return False
    return not LEFT_OUT_FOLDERS.intersection(path.parts)


def _loaded(path: metadata.PackagePath) -> bool:
    return not path.parts[0].endswith(".dist-info")


if __name__ == "__main__":
    Path(sys.argv[1]).write_bytes(build())
