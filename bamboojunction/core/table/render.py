"""The canonical text and the content hash of a table."""

import csv
import functools
import io

import xxhash

from bamboojunction.core.table.columns import COLUMN_NAMES, cells_from_row
from bamboojunction.core.table.rows import Row, Table

# Content hashes are sums of row hashes modulo this, so that they fit a signed 64-bit integer.
HASH_RANGE = 2**63


def render_table(table: Table) -> str:
    """Return the table as CSV, with the rows sorted so that equal tables have equal texts."""
    rows = [cells_from_row(table.by_kind[kind]) for kind in sorted(table.by_kind)]
    unknown = sorted({name for cells in rows for name in cells} - set(COLUMN_NAMES))
    names = [*COLUMN_NAMES, *unknown]
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(names)
    writer.writerows([cells.get(name, "") for name in names] for cells in rows)
    return output.getvalue()


def content_hash(table: Table) -> int:
    """Return a hash of the rows alone, independent of their order, the version and the edit id."""
    return sum(_row_hash(row) for row in table.by_kind.values()) % HASH_RANGE


@functools.lru_cache(maxsize=8_192)
def _row_hash(row: Row) -> int:
    text = "\x1f".join(f"{name}\x1e{cell}" for name, cell in cells_from_row(row).items())
    return xxhash.xxh3_64_intdigest(text.encode())
