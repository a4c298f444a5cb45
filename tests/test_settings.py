"""Tests of settings files: invalid input gives a coded error."""

import pathlib
import tempfile

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import testtools
import yaml

from bilberryhaven.cmdline import apply
from bilberryhaven import errors
from bilberryhaven import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'

CASES = [
    ('capacity: {slots: -1}', 'capacity.slots: -1 is invalid'),
    ('objective: {evictions: .nan}', 'objective.evictions: nan'),
    ('objective: {evictions: .inf}', 'objective.evictions: inf'),
    ('listen: 127.0.0.1:70000', "listen: '127.0.0.1:70000'"),
    ('control: [127.0.0.1:1, somewhere]', "control[1]: 'somewhere'"),
    ('voters: {a: 0.0.0.0:7}', "voters.a: '0.0.0.0:7'"),
    ('advertise: 127.0.0.1:0', 'must be able to reach it'),
    ('contol: []', "contol: unknown key; did you mean 'control'?"),
    (
        'zones: [{name: a}, {name: a}]',
        "zones[1].name: duplicate zone name 'a'",
    ),
    ('zones: [{region: a}]', 'zones[0].name: required key is missing'),
    ('{zone: b, zones: [{name: a}]}', "zone: 'b' is not one of zones: a"),
    ('{name: a, name: b}', "duplicate key 'name'"),
    ('service_reserve: 9', 'capacity.slots is 8'),
    ('workflows: {max_active: 0}', 'workflows.max_active: 0'),
    ('labels: {zone: a}', 'labels.zone: reserved label'),
    ('log_level: loud', 'expected one of debug, info'),
    ('data: 7', 'data: 7 is invalid: expected str'),
    ('[1]', 'expected a mapping'),
    ('? [a]\n: 1', 'a mapping key must be a scalar'),
    ('&a [*a]', 'expected a mapping'),
    ('a: !!python/name:os.system', 'could not determine'),
    ('\x00', 'special characters are not allowed'),
    ('--- {}\n--- {}', 'expected one YAML document, found 2'),
]


class TestSettings(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / 's.yaml'

    def load(self, data):
        self.path.write_bytes(data)
        return settings.load_settings(self.path)

    def load_invalid(self, text):
        error = self.assertRaises(
            errors.SettingsError, self.load, text.encode()
        )
        self.assertIn(str(self.path), error.message)
        return error.message

    def test_each_violation_gives_path_and_reason(self):
        for text, expected in CASES:
            self.assertIn(expected, self.load_invalid(text))

    def test_all_violations_are_reported_at_once(self):
        text = 'listen: x\ncolour: 1\ncapacity: {slots: 0, cpu: a}\nrack: 1\n'
        lines = self.load_invalid(text).splitlines()
        self.assertEqual(5, len(lines), lines)

    def test_missing_file_is_a_coded_error(self):
        self.assertRaises(
            errors.SettingsError, settings.load_settings, self.path
        )

    def test_empty_file_gives_the_defaults(self):
        self.assertEqual(settings.Settings(), self.load(b''))

    @hypothesis_settings(derandomize=True, database=None, deadline=None)
    @given(data=strategies.binary(max_size=60))
    def test_any_bytes_load_or_give_a_coded_error(self, data):
        self.try_to_load(data)

    @hypothesis_settings(derandomize=True, database=None, deadline=None)
    @given(data=strategies.data())
    def test_any_tree_loads_or_gives_a_coded_error(self, data):
        keys = strategies.sampled_from(
            [*settings.Settings.__struct_fields__, 'slots', 'name', 'x']
        )
        leaves = strategies.sampled_from(
            [None, '', 'a', '127.0.0.1:1', 0, -1, 2**70, 1.5, True]
        )
        trees = strategies.recursive(
            leaves,
            lambda children: (
                strategies.lists(children, max_size=3)
                | strategies.dictionaries(keys, children, max_size=5)
            ),
            max_leaves=12,
        )
        tree = data.draw(strategies.dictionaries(keys, trees, max_size=6))
        self.try_to_load(yaml.safe_dump(tree).encode())

    def try_to_load(self, data):
        try:
            loaded = self.load(data)
        except errors.SettingsError as error:
            self.assertIn(str(self.path), error.message)
        else:
            self.assertIsInstance(loaded, settings.Settings)


class TestExamples(testtools.TestCase):
    def test_each_example_loads(self):
        names = []
        for path in sorted(EXAMPLES.glob('*.yaml')):
            names.append(path.stem)
            if path.stem.endswith('-workloads'):
                self.assertNotEqual([], apply.read_declarations(path))
            else:
                settings.load_settings(path)
        for role in ('agent', 'control', 'entry', 'lianhe', 'al-harthy'):
            self.assertIn(role, names)
