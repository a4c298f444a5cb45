"""Label selectors: parsing, matching and description of errors."""

import functools
import re

import lark

from bilberryhaven import errors

__all__ = ['Selector', 'parse_selector']

CACHE_SIZE = 4096
MAX_LENGTH = 2000
MAX_NESTING = 100
NESTING = re.compile(r'\(|!(?!=)|\bnot\b')
TERMINAL_DESCRIPTIONS = {
    'KEY': 'a label key',
    'VALUE': 'a value',
    '$END': 'end of input',
}

GRAMMAR = r"""
    start: [expression]
    ?expression: conjunction (("or" | "||") conjunction)*    -> any_of
    ?conjunction: term (("and" | "&&" | ",") term)*          -> all_of
    ?term: ("not" | "!") term                                -> negate
         | "(" expression ")"
         | KEY ("=" | "==") VALUE                            -> equals
         | KEY "!=" VALUE                                    -> not_equals
         | KEY "in" "(" VALUE ("," VALUE)* ")"               -> in_set
         | KEY "notin" "(" VALUE ("," VALUE)* ")"            -> not_in_set
         | KEY                                               -> exists
    KEY: /(?!(?:and|or|not|in|notin)(?![\w.\/-]))[A-Za-z0-9][A-Za-z0-9_.\/-]*/
    VALUE: /[A-Za-z0-9][A-Za-z0-9_.\/-]*/
    %ignore /\s+/
"""


class Selector:
    """A parsed selector.

    Args:
        text: The selector as written.
        matcher: Function from a mapping of labels to a bool.
    """

    def __init__(self, *, text, matcher):
        self.text = text
        self._matcher = matcher

    def match(self, labels):
        """Return whether ``labels``, a mapping, satisfy the selector."""
        return self._matcher(labels)

    def __repr__(self):
        return f'Selector({self.text!r})'


@lark.v_args(inline=True)
class _Builder(lark.Transformer):
    """Transforms a parse tree into one matching function."""

    def start(self, matcher=None):
        return matcher or (lambda labels: True)

    def any_of(self, *parts):
        return lambda labels: any(part(labels) for part in parts)

    def all_of(self, *parts):
        return lambda labels: all(part(labels) for part in parts)

    def negate(self, part):
        return lambda labels: not part(labels)

    def equals(self, key, value):
        key, value = str(key), str(value)
        return lambda labels: labels.get(key) == value

    def not_equals(self, key, value):
        key, value = str(key), str(value)
        return lambda labels: labels.get(key) != value

    def in_set(self, key, *values):
        key, allowed = str(key), frozenset(map(str, values))
        return lambda labels: labels.get(key) in allowed

    def not_in_set(self, key, *values):
        key, excluded = str(key), frozenset(map(str, values))
        return lambda labels: labels.get(key) not in excluded

    def exists(self, key):
        key = str(key)
        return lambda labels: key in labels


@functools.lru_cache(maxsize=1)
def _build_parser():
    return lark.Lark(GRAMMAR, parser='lalr', maybe_placeholders=False)


def _describe_error(text, error):
    column = getattr(error, 'column', -1)
    token = getattr(error, 'token', None)
    if column < 1 or getattr(token, 'type', '') == '$END':
        column = len(text) + 1
    pointer = ' ' * (column - 1) + '^'
    return (
        f'column {column} of the selector:\n  {text}\n  {pointer}\n'
        f'expected: {_describe_expected(error)}'
    )


def _describe_expected(error):
    expected = getattr(error, 'accepts', None)
    if not expected:
        expected = getattr(error, 'allowed', None) or error.expected
    texts = {
        term.name: repr(term.pattern.value)
        for term in _build_parser().terminals
    }
    descriptions = {
        TERMINAL_DESCRIPTIONS.get(name) or texts.get(name, name)
        for name in expected
    }
    return ', '.join(sorted(descriptions, key=lambda text: text.strip("'")))


def _check_size(text):
    violation = ''
    if len(text) > MAX_LENGTH:
        violation = (
            f'has {len(text)} characters; at most {MAX_LENGTH} are allowed'
        )
    elif len(NESTING.findall(text)) > MAX_NESTING:
        violation = f'has more than {MAX_NESTING} parentheses and negations'
    if violation:
        raise errors.SelectorError(
            f'the selector {violation}', step='parse selector'
        )


@functools.lru_cache(maxsize=CACHE_SIZE)
def parse_selector(text):
    """Return the ``Selector`` parsed from ``text``.

    The grammar has equality (``a=b``, ``a!=b``), sets (``a in (b,c)``,
    ``a notin (b)``), existence (``a``, ``!a``), ``and`` or a comma, ``or``,
    ``not`` and parentheses. The empty selector matches all labels.

    Raises:
        SelectorError: The text can't be parsed; the message gives the
            column.
    """
    _check_size(text)
    text = re.sub(r'\s', ' ', text)
    try:
        tree = _build_parser().parse(text)
    except lark.exceptions.UnexpectedInput as error:
        raise errors.SelectorError(
            f'syntax error at {_describe_error(text, error)}',
            step='parse selector',
        ) from error
    return Selector(text=text, matcher=_Builder().transform(tree))
