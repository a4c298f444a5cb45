"""Odd settings files.

Guards against one odd field that ends a process without a code, or takes the
other seeds from it (incident ``docs/incidents/odd-entries.md``).
"""

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies as st
import msgspec
import testtools

from bilberryhaven import errors
from bilberryhaven.platform import settings as platform_settings
from bilberryhaven import settings
from bilberryhaven import util

SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
FEW = hypothesis.settings(SETTINGS, max_examples=100)
SETTINGS_FIELDS = {
    'node_name': 'frontend-1',
    'ip': '127.0.0.1',
    'zone': 'z',
    'listen.control': '127.0.0.1:8166',
    'internal_port_range': '7720,7735',
    'seeds': '127.0.0.1:8166,127.0.0.2:8166',
    'bootstrap': 'true',
    'data_dir': '/data/my-frontend',
    'fault_tolerance.machines': '1',
    'bounds.max_lease_ms': '4000',
    'bounds.evacuate_ms': '5000',
    'bounds.status_s': '120',
    'app': '127.0.0.1:9000',
}
ODD_TEXTS = (
    b'',
    b'x',
    b'-1',
    b'99999',
    b'1' + b'0' * 30,
    b'9' * 5_000,
    b'nan',
    b'inf',
    b'1e308',
    b'\xff\xfe',
    b'\xc2\xb2',
    b'127.0.0.1:99999',
    b'127.0.0.1:0',
    b'127.0.0.2:8166,127.0.0.1:99999,nowhere:1,:1,127.0.0.1:',
    b'0.0.0.0',
)


YAML_VALUES = (
    '1' + '0' * 400,
    '-1',
    '.nan',
    '.inf',
    '1e400',
    '2023-01-01',
    '!!binary "/w=="',
    '[' * 300 + ']' * 300,
    '"\\ud800"',
    '"127.0.0.1:\xb2"',
    '"127.0.0.1:99999"',
    '~',
    '{}',
    'yes',
    '"\\0"',
    '&a [*a]',
    '9' * 5000,
)
YAML_FIELDS = (
    'name: {}',
    'listen: {}',
    'control: {}',
    'control: [{}]',
    'voters: {{a: {}}}',
    'labels: {{a: {}}}',
    'capacity: {{cpu: {}}}',
    'capacity: {{slots: {}}}',
    'zones: [{{name: a, delay_ms: {}}}]',
    'workflows: {{zone_weights: {}}}',
    'log_level: {}',
)


class OwnSettingsTest(testtools.TestCase):
    def test_odd_field_is_one_coded_error_or_can_be_used(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 's.yaml'
        for field in YAML_FIELDS:
            for value in YAML_VALUES:
                path.write_text(field.format(value) + '\n')
                try:
                    loaded = settings.load_settings(path)
                except errors.SettingsError as error:
                    self.assertTrue(str(error))
                else:
                    msgspec.json.encode(loaded)


class SettingsTest(testtools.TestCase):
    def load(self, fields):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'local.conf'
            path.write_bytes(
                b''.join(
                    key.encode() + b'=' + value + b'\n'
                    for key, value in fields.items()
                )
            )
            return platform_settings.load_deployment(path)

    def encode(self, **changes):
        fields = {k: v.encode() for k, v in SETTINGS_FIELDS.items()}
        return {**fields, **changes}

    @SETTINGS
    @hypothesis.given(
        name=st.sampled_from(sorted(SETTINGS_FIELDS)),
        value=st.sampled_from(ODD_TEXTS) | st.binary(max_size=30),
    )
    def test_odd_field_is_one_coded_error_or_can_be_used(self, name, value):
        fields = self.encode()
        fields[name] = value
        try:
            loaded = self.load(fields)
        except errors.SettingsError as error:
            self.assertTrue(len(str(error)) < 1_000)
            return
        for seed in loaded.settings.control:
            _, port = util.parse_address(seed)
            self.assertTrue(0 < port < 65_536)
        self.assertTrue(1 <= loaded.options.voters <= 1_000)

    def test_odd_seed_leaves_the_others(self):
        for odd_seed in (b'127.0.0.1:99999', b'nowhere', b':1', b'1.2.3.4:0'):
            loaded = self.load(
                self.encode(seeds=odd_seed + b',127.0.0.2:8166')
            )
            self.assertEqual(['127.0.0.2:7720'], loaded.settings.control)
