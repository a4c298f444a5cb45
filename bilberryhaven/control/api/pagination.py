"""Pagination of lists, which limits how long a read locks the tables."""

import heapq

__all__ = ['build_page']

DEFAULT_LIMIT = 1000
MAX_LIMIT = 5000


def build_page(request, field, table, serialize):
    """Return a page of rows ordered by name.

    The response's ``next_after`` is the ``after`` of the next page, empty on
    the last one.

    Args:
        request: The ``Request``; its query may hold ``limit`` and ``after``.
        field: Field of the response that holds the rows.
        table: Table whose rows have a ``name``.
        serialize: Function that returns the JSON value of a row.
    """
    limit = request.read_integer('limit', DEFAULT_LIMIT, low=1, high=MAX_LIMIT)
    after = request.query.get('after', '')
    with request.ctx.read():
        names = (row.name for row in table if row.name > after)
        page_names = heapq.nsmallest(limit, names)
        rows = [serialize(table.get(key)) for key in page_names]
    last_name = page_names[-1] if len(page_names) == limit else ''
    return {field: rows, 'next_after': last_name}
