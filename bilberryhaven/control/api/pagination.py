"""Lists in pages, so that no read holds the tables still for long."""

import heapq

__all__ = ['build_page']

DEFAULT_LIMIT = 1000
MAX_LIMIT = 5000


def build_page(request, field, table, serialize):
    """Return a page of rows by name, and the query of the next.

    Args:
        request: The ``Request``; its query may hold ``limit`` and ``after``.
        name: Field of the answer that holds the rows.
        table: Table with a ``name`` in each row.
        show: Function from a row to its JSON value.
    """
    limit = request.read_integer('limit', DEFAULT_LIMIT, low=1, high=MAX_LIMIT)
    after = request.query.get('after', '')
    with request.ctx.read():
        names = (row.name for row in table if row.name > after)
        page_names = heapq.nsmallest(limit, names)
        rows = [serialize(table.get(key)) for key in page_names]
    last_name = page_names[-1] if len(page_names) == limit else ''
    return {field: rows, 'next_after': last_name}
