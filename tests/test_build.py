"""Checksum by which logs name the sources of a process."""

import pathlib
import tempfile

import testtools

from bilberryhaven import build


class DigestTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def compute(self, **files):
        for name, text in files.items():
            (self.folder / f'{name}.py').write_text(text)
        return build.compute_digest(self.folder)

    def test_no_sources(self):
        self.assertEqual('', self.compute())

    def test_size_and_name_count(self):
        first = self.compute(a='x = 1\n')
        self.assertEqual(8, len(first))
        self.assertEqual(first, self.compute())
        longer = self.compute(a='x = 12\n')
        self.assertNotEqual(first, longer)
        self.assertNotEqual(longer, self.compute(b=''))

    def test_sources_of_this_process(self):
        self.assertEqual(8, len(build.compute_digest()))
