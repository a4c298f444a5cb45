"""Tests of selectors."""

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
]

BAD = [('zone in (a', 11), ('= a', 1), ('a=1 b=2', 5), ('a and', 6)]


class TestSelector(testtools.TestCase):
    def test_cases(self):
        for text, labels, expected in CASES:
            parsed = selector.parse_selector(text)
            self.assertEqual(expected, parsed.match(labels), text)

    def test_bad_selectors_point_at_the_column(self):
        for text, column in BAD:
            error = self.assertRaises(
                errors.SelectorError, selector.parse_selector, text
            )
            self.assertIn(f'column {column} ', error.message)
