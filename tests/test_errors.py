"""Tests of error codes: documented, unique to one module, serialisable."""

import pathlib
import re

import testtools

from bilberryhaven import errors

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'errors.md'
ROW = re.compile(r'^\| `(\w+)` \| (\d+) \| `(\w+)` \|', re.MULTILINE)


class TestErrors(testtools.TestCase):
    def test_page_lists_each_code_and_no_other(self):
        expected = {
            (code, str(cls.status), str(cls.outcome))
            for code, cls in errors.get_codes().items()
        }
        rows = ROW.findall(PAGE.read_text())
        self.assertEqual(sorted(expected), sorted(rows))

    def test_codes_are_declared_in_one_module(self):
        for path in (ROOT / 'bilberryhaven').rglob('*.py'):
            found = re.search(r'^class \w+\(errors\.', path.read_text(), re.M)
            self.assertIsNone(found, str(path))

    def test_each_error_round_trips(self):
        for code, cls in errors.get_codes().items():
            error = cls('m', step='s', peer='p', request_id='r')
            rebuilt = errors.build_error(error.to_dict())
            self.assertEqual(code, rebuilt.code)
            self.assertEqual(error.to_dict(), rebuilt.to_dict())
