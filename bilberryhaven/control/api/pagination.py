"""Lists in pages, so that no read holds the tables still for long."""

import heapq

__all__ = ['show_page']

DEFAULT_LIMIT = 1000
MAX_LIMIT = 5000


def show_page(request, name, table, show):
    """Return a page of rows by name, and the query of the next.

    Args:
        request: The ``Request``; its query may hold ``limit`` and ``after``.
        name: Field of the answer that holds the rows.
        table: Table with a ``name`` in each row.
        show: Function from a row to its JSON value.
    """
    limit = request.read_number('limit', DEFAULT_LIMIT, low=1, high=MAX_LIMIT)
    after = request.query.get('after', '')
    with request.ctx.read():
        names = (row.name for row in table if row.name > after)
        found = heapq.nsmallest(limit, names)
        shown = [show(table.get(key)) for key in found]
    last = found[-1] if len(found) == limit else ''
    return {name: shown, 'next_after': last}
