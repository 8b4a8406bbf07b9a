"""The canonical text of a table."""

import csv
import functools
import io

import xxhash

from bamboojunction.core.table.columns import COLUMN_NAMES, cells_of
from bamboojunction.core.table.rows import Row, Table

# Sums of row hashes wrap around here, so that they fit in a link message.
HASH_RANGE = 2**63


def render_table(table: Table) -> str:
    """Return the table as comma-separated text, the same for equal rows whatever their order."""
    rows = [cells_of(table.by_kind[kind]) for kind in sorted(table.by_kind)]
    unknown = sorted({name for cells in rows for name in cells} - set(COLUMN_NAMES))
    names = [*COLUMN_NAMES, *unknown]
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(names)
    writer.writerows([cells.get(name, "") for name in names] for cells in rows)
    return output.getvalue()


def content_hash(table: Table) -> int:
    """Return a hash of the rows that does not depend on version, edit or order."""
    return sum(_row_hash(row) for row in table.by_kind.values()) % HASH_RANGE


@functools.lru_cache(maxsize=8_192)
def _row_hash(row: Row) -> int:
    text = "\x1f".join(f"{name}\x1e{cell}" for name, cell in cells_of(row).items())
    return xxhash.xxh3_64_intdigest(text.encode())
