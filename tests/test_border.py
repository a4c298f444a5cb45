"""The border: bounds of numbers and texts, and one coded, bounded error."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import testtools

from bilberryhaven import border
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import ticker
from tests import odd

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
TREES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=20,
)


def measure_depth(tree):
    if isinstance(tree, dict):
        tree = list(tree.values())
    if isinstance(tree, list):
        return 1 + max(map(measure_depth, tree), default=0)
    return 0


def cut(tree, depth):
    """Return a tree whose dicts and lists below a depth are None."""
    if isinstance(tree, dict | list) and not depth:
        return None
    if isinstance(tree, dict):
        return {key: cut(value, depth - 1) for key, value in tree.items()}
    if isinstance(tree, list):
        return [cut(value, depth - 1) for value in tree]
    return tree


class FakeLogger:
    def __init__(self):
        self.lines = []

    def warning(self, text, *args, extra):
        self.lines.append((text.format(*args), extra))

    def exception(self, text, *args, extra):
        self.lines.append((text.format(*args), extra))


class GuardTest(testtools.TestCase):
    def decode(self, data, **fields):
        guard = border.Guard(what='entry', step='test', **fields)
        with guard:
            return msgspec.json.decode(data, type=dict[str, border.Number])

    def test_sound_data_passes(self):
        self.assertEqual({'a': 1}, self.decode(b'{"a":1}'))

    def test_each_odd_value_is_one_error(self):
        for value in odd.JSON_VALUES:
            if value == b'0':
                continue
            data = b'{"a":' + value + b'}'
            if value == b'4102444800001':
                self.assertTrue(self.decode(data))
                continue
            error = self.assertRaises(errors.BadInputError, self.decode, data)
            self.assertEqual('test', error.step)
            self.assertTrue(len(error.message) < 300)

    def test_error_has_the_class_of_the_border(self):
        for kind in (errors.PeerError, errors.DamagedFileError):
            self.assertRaises(kind, self.decode, b'[', kind=kind)

    def test_other_errors_pass(self):
        guard = border.Guard(what='entry', step='test')
        for raised in (errors.StorageError('x', step='y'), OSError()):

            def fail(error=raised):
                with guard:
                    raise error

            self.assertIs(raised, self.assertRaises(type(raised), fail))


class PruneTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(tree=TREES, depth=st.integers(0, 4))
    def test_levels_above_the_depth_stay_the_same(self, tree, depth):
        pruned = border.prune_json(json.dumps(tree).encode(), depth=depth)
        self.assertEqual(cut(tree, depth), json.loads(pruned))

    def test_deep_entry_leaves_the_others(self):
        data = b'[1,%s,{"a":"]}"},2]' % odd.JSON_VALUES[0]
        pruned = json.loads(border.prune_json(data))
        self.assertEqual([1, {'a': ']}'}, 2], [pruned[0], *pruned[2:]])
        self.assertEqual(border.MAX_DEPTH, measure_depth(pruned))

    @SETTINGS
    @hypothesis.given(data=st.binary(max_size=50))
    def test_invalid_text_raises_nothing(self, data):
        border.prune_json(data, depth=2)


class ParseTest(testtools.TestCase):
    def test_numbers_in_headers_are_bounded(self):
        cases = (
            ('5', 5),
            ('007', 7),
            ('0', 0),
            ('99', 50),
            ('9' * 5_000, 50),
            ('', None),
            ('-1', None),
            ('1_0', None),
            ('\xb2', None),
            ('x', None),
        )
        for text, expected in cases:
            self.assertEqual(
                expected, border.parse_number(text, maximum=50), text[:9]
            )

    def test_only_addresses_that_can_be_dialled_are_accepted(self):
        self.assertEqual(('127.0.0.1', 80), border.parse_peer('127.0.0.1:80'))
        self.assertEqual(('[::1]', 80), border.parse_peer('[::1]:80'))
        for text in (
            '127.0.0.1:0',
            '127.0.0.1:65536',
            '127.0.0.1:' + '9' * 5_000,
            '127.0.0.1:\xb2',
            '0.0.0.0:80',
            'host:80',
            '127.0.0.1',
            '',
        ):
            error = self.assertRaises(
                errors.OptionError, border.parse_peer, text
            )
            self.assertTrue(len(str(error)) < 400)


class BoundedLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.logger = FakeLogger()
        self.log = log.BoundedLog(logger=self.logger, clock=self.clock)

    def test_lines_left_out_are_counted(self):
        for _ in range(100):
            self.log.warning('a', 'odd', peer='p')
        self.assertEqual([('odd', {'peer': 'p'})], self.logger.lines)
        self.clock.advance(log.BOUNDED_INTERVAL)
        self.log.warning('a', 'odd')
        self.assertEqual(('odd', {'left_out': 99}), self.logger.lines[-1])

    def test_topics_do_not_hide_each_other(self):
        self.log.warning('a', 'first')
        self.log.exception('b', 'second')
        texts = [text for text, _ in self.logger.lines]
        self.assertEqual(['first', 'second'], texts)


class TickerTest(testtools.TestCase):
    def test_function_that_fails_at_once_is_not_called_without_a_pause(self):
        calls = []

        class Waits:
            def wait(self, seconds):
                calls.append(seconds)
                return True

            def is_set(self):
                return True

        def fail():
            raise ValueError('odd')

        tested = ticker.Ticker(
            name='t',
            func=fail,
            interval=clocks.seconds(0),
            clock=clocks.ManualClock(),
        )
        tested._stopping = Waits()
        tested.on_receive(None)
        self.assertEqual([ticker.RETRY_DELAY_S], calls)
