"""Start a node's process as the deploy file says, on the sources of this checkout."""

import os
import shlex
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[3]
SOURCE: Final = ROOT / "src"
START_FILE: Final = "target/deps/crocusspindle/gateway/start.py"


def deployed_command(folder: Path, start_file: Path | None = None) -> list[str]:
    """Build the start program into a folder, and return the deploy file's command.

    ``start_file`` replaces the file that the interpreter runs.
    """
    build = ROOT / "deploy" / "build_start"
    subprocess.run(["sh", build, folder], check=True, env=_build_environment())
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    paths = {"target/bin": folder, "target/deps": SOURCE}
    if start_file is not None:
        paths = {START_FILE: start_file, **paths}
    words = shlex.split(roles["gateway"]["run"])
    for built, path in paths.items():
        words = [word.replace(built, str(path)) for word in words]
    return words


def deployed_environment() -> dict[str, str]:
    """Return an environment with the sources and this interpreter's libraries."""
    path = f"{SOURCE}:{sysconfig.get_path('platlib')}"
    return {**os.environ, "PYTHONPATH": path}


def _build_environment() -> dict[str, str]:
    # The start program contains the interpreter whose libraries it uses.
    folder = Path(sys.executable).parent
    return {**os.environ, "PATH": f"{folder}:{os.environ['PATH']}"}
