"""The canonical text of a table."""

import csv
import io

import xxhash

from bamboojunction.core.table.columns import COLUMN_NAMES, cells_of
from bamboojunction.core.table.rows import Table


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
    """Return a hash of the rows that does not depend on version or edit."""
    return xxhash.xxh3_64_intdigest(render_table(table).encode())
