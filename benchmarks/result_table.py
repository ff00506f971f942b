"""Write the rows of a benchmark as a CSV table that diffs line by line."""

import csv
import io
from collections.abc import Iterable
from dataclasses import astuple, fields
from pathlib import Path
from typing import Any


def table_text(row_type: type[Any], rows: Iterable[Any]) -> str:
    """Return dataclass rows as CSV, with their field names as header."""
    file = io.StringIO()
    writer = csv.writer(file, lineterminator="\n")
    writer.writerow(field.name for field in fields(row_type))
    for row in rows:
        writer.writerow(
            f"{cell:.4g}" if isinstance(cell, float) else cell for cell in astuple(row)
        )
    return file.getvalue()


def write_table(row_type: type[Any], rows: Iterable[Any], path: Path) -> None:
    """Write dataclass rows with their field names as header, and print the table."""
    text = table_text(row_type, rows)
    path.write_text(text)
    print(text)
