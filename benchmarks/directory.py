"""Measure memory use and speed of the directory by number of customers.

Each size is measured in a fresh process that has imported the code of a whole node.
Run ``python -m benchmarks.directory --output FILE``; figures depend on the machine.
"""

import argparse
import csv
import gc
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final

import crocusspindle.services.assembly  # noqa: F401 - its memory is measured
from crocusspindle.core.directory import Directory, key_digest
from crocusspindle.core.directory_dump import dump_parts, load_parts
from crocusspindle.core.model import Approval, Customer, CustomerKey, Route, Service
from crocusspindle.ids import CustomerId, ServiceId

CUSTOMER_COUNTS: Final = (0, 1_000, 10_000, 100_000, 520_000)
SERVICES: Final = 2_000
ROUTES: Final = 32_000
LOOKUPS: Final = 50_000
COLUMNS: Final = (
    "customers",
    "node_rss_mb",
    "directory_mb",
    "dump_mb",
    "load_s",
    "loaded_rss_mb",
    "authenticate_per_s",
    "customer_per_s",
    "approved_per_s",
    "route_per_s",
    "put_customer_per_s",
    "remove_customer_ms",
    "clear_removed_ids_ms",
)


def rss_mb() -> float:
    """Return the resident memory of this process in MB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def service_of(number: int) -> ServiceId:
    """Return the id of the service with this number, modulo ``SERVICES``."""
    return ServiceId(f"service-{number % SERVICES}")


def fill(customers: int) -> Directory:
    """Return a directory with one key and one approval per customer."""
    directory = Directory()
    for number in range(SERVICES):
        directory.put_service(Service(service_of(number)))
    for number in range(ROUTES):
        prefix = f"/service-{number % SERVICES}/part-{number}"
        directory.put_route(Route(prefix, service_of(number)))
    for number in range(customers):
        name = CustomerId(f"customer-{number}")
        directory.put_customer(Customer(name, 1.0 + number % 50, 2 + number % 100))
        directory.put_key(CustomerKey(key_digest(f"key-{number}"), name))
        directory.put_approval(Approval(service_of(number), name, "owner"))
    return directory


def calls_per_s(call: Callable[[int], object], numbers: list[int]) -> int:
    """Return the number of calls per second."""
    began_s = time.perf_counter()
    for number in numbers:
        call(number)
    return round(len(numbers) / (time.perf_counter() - began_s))


def measure(customers: int) -> list[float]:
    """Return one row of figures for this process."""
    before_mb = rss_mb()
    directory = fill(customers)
    gc.collect()
    filled_mb = rss_mb()
    rng = Random(1)
    numbers = [rng.randrange(customers or 1) for _ in range(LOOKUPS)]
    names = [CustomerId(f"customer-{number}") for number in range(customers or 1)]
    rates = [
        calls_per_s(lambda index: directory.authenticate(f"key-{index}"), numbers),
        calls_per_s(lambda index: directory.customer(names[index]), numbers),
        calls_per_s(
            lambda index: directory.approved(service_of(index), names[index]), numbers
        ),
        calls_per_s(
            lambda index: directory.route(f"/service-{index % 2000}/part-{index}/x"),
            numbers,
        ),
        calls_per_s(
            lambda index: directory.put_customer(Customer(names[index], 2, 3)), numbers
        ),
    ]
    began_s = time.perf_counter()
    for number in range(min(20, customers)):
        directory.remove_customer(names[number])
    removal_ms = (time.perf_counter() - began_s) * 1000 / 20
    began_s = time.perf_counter()
    directory.customer_table.compact()
    compact_ms = (time.perf_counter() - began_s) * 1000
    size_mb = sum(map(len, dump_parts(directory))) / 1e6
    return [
        customers,
        round(filled_mb, 1),
        round(filled_mb - before_mb, 1),
        round(size_mb, 1),
        # write_table fills in load_s and loaded_rss_mb from another process.
        0.0,
        0.0,
        *rates,
        round(removal_ms, 2),
        round(compact_ms, 1),
    ]


def measure_load(path: Path) -> tuple[float, float]:
    """Return the seconds to load a dump from a file, and the MB of memory after it."""
    began_s = time.perf_counter()
    with path.open("rb") as file:
        directory = load_parts(iter(lambda: file.read(65_536), b""))
    load_s = time.perf_counter() - began_s
    assert directory.counts()["services"] == SERVICES
    return round(load_s, 3), round(rss_mb(), 1)


def in_fresh_process(*arguments: str) -> list[float]:
    """Run one measurement in a process of its own; return the figures it prints."""
    command = [sys.executable, "-m", "benchmarks.directory", *arguments]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return [float(word) for word in completed.stdout.split()]


def main() -> None:
    """Print one row, save or load one dump, or write the table of all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", type=Path)
    parser.add_argument("--count", type=int)
    parser.add_argument("--save", type=Path)
    parser.add_argument("--load", type=Path)
    options = parser.parse_args()
    if options.load:
        print(*measure_load(options.load))
    elif options.save:
        options.save.write_bytes(b"".join(dump_parts(fill(options.count))))
    elif options.count is not None:
        print(*measure(options.count))
    else:
        write_table(options.output or Path("directory.csv"))


def write_table(output: Path) -> None:
    """Write the figures of all sizes."""
    dump_path = output.with_suffix(".dump")
    with output.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(COLUMNS)
        for count in CUSTOMER_COUNTS:
            row = in_fresh_process("--count", str(count))
            in_fresh_process("--count", str(count), "--save", str(dump_path))
            row[4:6] = in_fresh_process("--load", str(dump_path))
            writer.writerow(row)
            print(*row, flush=True)
    dump_path.unlink()


if __name__ == "__main__":
    main()
