"""Output of operators' subcommands, as tables or JSON."""

import json
import re
import textwrap

__all__ = [
    'build_sort_key',
    'format_labels',
    'print_json',
    'print_table',
    'print_text',
]

WIDTH = 80
COLUMN_GAP = 2
MIN_LAST_COLUMN_WIDTH = 20


def print_json(value):
    """Print ``value`` as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def format_labels(labels):
    """Return labels as ``key=value`` words, sorted by key."""
    return ' '.join(f'{key}={labels[key]}' for key in sorted(labels))


def print_text(text):
    """Print ``text`` wrapped to ``WIDTH`` columns."""
    print(textwrap.fill(text, WIDTH))


def print_table(headers, rows):
    """Print rows below headers; the last column is wrapped."""
    rows = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(cell) for cell in column)
        for column in zip(headers, *rows, strict=True)
    ]
    indent = sum(width + COLUMN_GAP for width in widths[:-1])
    last = max(WIDTH - indent, MIN_LAST_COLUMN_WIDTH)
    for row in [headers, *rows]:
        head = ''.join(
            cell.ljust(width + COLUMN_GAP)
            for cell, width in zip(row[:-1], widths[:-1], strict=True)
        )
        lines = textwrap.wrap(row[-1], last) or ['']
        print(f'{head}{lines[0]}'.rstrip())
        for line in lines[1:]:
            print(' ' * indent + line)


def build_sort_key(row):
    """Return a sort key by name that orders ``a-9`` before ``a-10``."""
    parts = re.split(r'(\d+)', row['name'])
    parts[1::2] = [int(number) for number in parts[1::2]]
    return parts
