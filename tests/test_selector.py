"""Tests of selectors."""

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import testtools

from bilberryhaven import errors
from bilberryhaven import selector

CASES = [
    ('', {}, True),
    ('zone=a', {'zone': 'a'}, True),
    ('zone=a', {'zone': 'b'}, False),
    ('zone!=a', {}, True),
    ('zone in (a, b)', {'zone': 'b'}, True),
    ('zone notin (a, b)', {'zone': 'b'}, False),
    ('gpu', {'gpu': 'yes'}, True),
    ('!gpu', {'gpu': 'yes'}, False),
    ('not gpu and zone=a', {'zone': 'a'}, True),
    ('a=1 or b=2, c=3', {'a': '1'}, True),
    ('(a=1 or b=2), c=3', {'a': '1'}, False),
    ('inside=1', {'inside': '1'}, True),
    ('in.x=1\nand not-b', {'in.x': '1', 'not-b': ''}, True),
]

INVALID = [
    ('a\n&', 3),
    ('zone in (a', 11),
    ('= a', 1),
    ('a=1 b=2', 5),
    ('a and', 6),
]


class TestSelector(testtools.TestCase):
    def test_match(self):
        for text, labels, expected in CASES:
            parsed = selector.parse_selector(text)
            self.assertEqual(expected, parsed.match(labels), text)

    def test_error_gives_the_column(self):
        for text, column in INVALID:
            error = self.assertRaises(
                errors.SelectorError, selector.parse_selector, text
            )
            self.assertIn(f'column {column} ', error.message)

    def test_error_lists_what_is_expected(self):
        error = self.assertRaises(
            errors.SelectorError, selector.parse_selector, 'zone=a, team='
        )
        self.assertIn('expected: a value', error.message)

    def test_deep_nesting_is_refused(self):
        for text in (
            '!' * 1999 + 'a',
            '(' * 900 + 'a' + ')' * 900,
            'a' * 3000,
        ):
            self.assertRaises(
                errors.SelectorError, selector.parse_selector, text
            )

    @hypothesis_settings(derandomize=True, database=None, deadline=None)
    @given(
        words=strategies.lists(
            strategies.sampled_from(
                ['a', 'in', 'not', 'and', 'or', '!', '=', '!=', '(', ')', ',']
            )
            | strategies.text(max_size=3),
            max_size=12,
        )
    )
    def test_any_text_is_parsed_or_refused(self, words):
        try:
            parsed = selector.parse_selector(' '.join(words))
        except errors.SelectorError as error:
            self.assertIn('expected: ', error.message)
        else:
            self.assertIsInstance(parsed.match({'a': '1'}), bool)
