"""Tests of log segments and snapshots on a faulty disk."""

import pathlib
import random
import tempfile

import testtools

from bilberryhaven.consensus import effects
from bilberryhaven.consensus import files
from bilberryhaven.consensus import memory
from bilberryhaven.consensus import message
from bilberryhaven.consensus import storage
from bilberryhaven import errors
from tests.fuzz import cluster

VOTERS = {'a': 'a:1'}


class StorageTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = memory.MemoryFolder()
        self.open()

    def create_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(folder.name)

    def open(self):
        self.storage = storage.Storage(
            folder=self.folder, options=cluster.OPTIONS
        )
        self.found = self.storage.recover(VOTERS)

    def write(self, count, *, term=1, vote='a'):
        log = self.found.log
        for _ in range(count):
            entry = message.Entry(term, data=b'x' * 100)
            log.append([entry])
            self.storage.write(
                hard_state=effects.HardState(term=term, vote=vote),
                first=log.last_index,
                entries=[entry],
                log=log,
                history=self.found.history,
            )

    def save_snapshot(self, index):
        return self.storage.save_snapshot(
            index=index,
            term=1,
            members=self.found.history.current,
            data=bytes(range(256)) * 40,
        )

    def find_file_name(self, prefix, position=-1):
        names = self.folder.list_names()
        return [n for n in names if n.startswith(prefix)][position]

    def assert_refused(self, *words):
        error = self.assertRaises(errors.DamagedFileError, self.open)
        for word in words:
            self.assertIn(word, error.message)


class TestRecovery(StorageTestCase):
    def test_entries_and_vote_are_recovered_from_many_segments(self):
        self.write(300, term=7, vote='b')
        self.open()
        self.assertEqual(300, self.found.log.last_index)
        self.assertEqual(
            effects.HardState(term=7, vote='b'), self.found.hard_state
        )
        self.assertGreater(len(self.folder.list_names()), 5)

    def test_conflicting_entries_are_replaced(self):
        self.write(5)
        self.found.log.truncate(3)
        self.write(1, term=2)
        self.open()
        self.assertEqual(3, self.found.log.last_index)
        self.assertEqual(2, self.found.log.last_term)

    def test_torn_tail_is_cut_off_at_every_length(self):
        self.write(3)
        name = self.find_file_name('log')
        intact = self.folder.read(name)
        self.write(1)
        torn = self.folder.read(name)
        for end in range(len(intact), len(torn)):
            self.folder.replace(name, torn[:end])
            self.open()
            self.assertEqual(3, self.found.log.last_index)
            self.assertEqual(intact, self.folder.read(name))

    def test_unsynced_entries_may_be_lost_but_nothing_else(self):
        for seed in range(50):
            self.folder = memory.MemoryFolder()
            self.open()
            self.write(20)
            self.folder.operations_until_power_loss = 2
            self.assertRaises(memory.PowerLossError, self.write, 1)
            self.folder.crash(random.Random(seed))
            self.open()
            self.assertIn(self.found.log.last_index, (20, 21))

    def test_power_loss_may_bring_removed_segments_back(self):
        """Guards against a gap between segments, taken for a missing one."""
        for seed in range(20):
            self.folder = memory.MemoryFolder()
            self.open()
            self.write(300)
            self.save_snapshot(290)
            self.storage.compact(280)
            self.folder.crash(random.Random(seed))
            self.open()
            self.assertEqual(300, self.found.log.last_index)


class TestDamage(StorageTestCase):
    def test_any_damaged_byte_before_the_tail_is_refused(self):
        self.write(3)
        name = self.find_file_name('log')
        content = self.folder.read(name)
        for offset in range(len(content)):
            self.folder.replace(name, content)
            self.folder.corrupt(name, offset)
            self.assert_refused(name, 'offset')

    def test_damage_in_an_older_segment_names_file_and_offset(self):
        self.write(100)
        name = self.find_file_name('log', 0)
        self.folder.corrupt(name, 200)
        self.assert_refused(name, 'offset')

    def test_missing_segment_is_refused(self):
        self.write(150)
        self.folder.remove(self.find_file_name('log', 1))
        self.assert_refused('missing')

    def test_damaged_snapshot_is_refused(self):
        self.write(20)
        self.save_snapshot(20)
        name = self.find_file_name('snapshot')
        for offset in range(0, len(self.folder.read(name)), 97):
            self.folder.corrupt(name, offset)
            self.assert_refused(name, 'offset')
            self.folder.corrupt(name, offset)
        self.open()
        self.assertEqual(20, self.found.meta.index)

    def test_missing_snapshot_is_refused(self):
        self.write(200)
        self.save_snapshot(180)
        self.storage.compact(170)
        self.folder.remove(self.find_file_name('snapshot'))
        self.assert_refused('missing')


class TestFaults(StorageTestCase):
    def test_nothing_is_written_after_a_failed_sync(self):
        self.write(3)
        self.folder.fail_sync = True
        self.assertRaises(errors.StorageError, self.write, 1)
        self.folder.fail_sync = False
        self.assertRaises(errors.StorageError, self.write, 1)

    def test_snapshot_on_a_full_disk_leaves_the_log_usable(self):
        self.write(3)
        self.folder.capacity = 2000
        self.assertRaises(errors.StorageError, self.save_snapshot, 3)
        self.write(1)

    def test_folder_lock_excludes_a_second_user(self):
        path = self.create_folder()
        first = files.DiskFolder(path=path)
        first.lock()
        second = files.DiskFolder(path=path)
        self.assertRaises(errors.StorageError, second.lock)
        first.unlock()
        second.lock()
        second.unlock()

    def test_files_on_disk_are_recovered(self):
        path = self.create_folder()
        self.folder = files.DiskFolder(path=path)
        self.open()
        self.write(60)
        self.save_snapshot(40)
        self.storage.close()
        self.open()
        self.storage.close()
        self.assertEqual(60, self.found.log.last_index)
        self.assertEqual(40, self.found.meta.index)


class DraftTest(testtools.TestCase):
    """Guards against a listing that removes what another thread writes.

    Snapshots are stored, and the folder is listed, while segments are begun.
    """

    def setUp(self):
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = pathlib.Path(temporary.name)
        self.folder = files.DiskFolder(path=self.path)
        self.draft = self.path / f'log-1{files.TEMP_SUFFIX}'

    def test_draft_of_a_write_in_progress_is_kept(self):
        self.folder.lock()
        self.addCleanup(self.folder.unlock)
        self.draft.write_bytes(b'x')
        self.assertEqual([], self.folder.list_names())
        self.assertTrue(self.draft.exists())

    def test_draft_of_an_interrupted_write_is_removed(self):
        self.draft.write_bytes(b'x')
        self.folder.lock()
        self.addCleanup(self.folder.unlock)
        self.assertFalse(self.draft.exists())
