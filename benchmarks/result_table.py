"""Write the rows of a benchmark as a CSV table that diffs line by line."""

import csv
from collections.abc import Iterable
from dataclasses import astuple, fields
from pathlib import Path
from typing import Any


def write_table(row_type: type[Any], rows: Iterable[Any], path: Path) -> None:
    """Write dataclass rows with their field names as header, and print the table."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(field.name for field in fields(row_type))
        for row in rows:
            writer.writerow(
                f"{cell:.4g}" if isinstance(cell, float) else cell
                for cell in astuple(row)
            )
    print(path.read_text())
