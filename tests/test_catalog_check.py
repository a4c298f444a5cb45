"""Tests of the check of a catalog and of its difference from another one."""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from bilberryhaven import cmdline
from bilberryhaven import errors
from bilberryhaven.platform import handlers
from bilberryhaven.tables import catalog
from bilberryhaven.wire import server
from bilberryhaven.workflow import catalog_check
from bilberryhaven.workflow import catalog_diff
from bilberryhaven.workflow import checks
from bilberryhaven.workflow import message
from tests import test_platform

ROUTE = {
    'name': 'r',
    'host': 'h.example',
    'path_prefix': '/p/',
    'timeout_ms': 3000,
    'service': 's',
}
OTHER = {**ROUTE, 'name': 'o', 'path_prefix': '/o/'}
SERVICE = {'name': 's', 'max_connections': 64}
DOCUMENT = {'version': 7, 'routes': [ROUTE], 'services': [SERVICE]}

ERRORS = (
    ({'service': 'x'}, 'queues[1].pool', 'unknown pool'),
    ({'timeout_ms': 0}, 'queues[1].timeout_ms', 'must be positive'),
    ({'path_prefix': '/p/'}, 'queues[1].prefix', 'same address'),
)
NEVER = (
    ({'host': ''}, 'queues[1].host'),
    ({'host': 'h.example:80'}, 'queues[1].host'),
    ({'path_prefix': 'o/'}, 'queues[1].prefix'),
    ({'service': 'off'}, 'queues[1].pool'),
)
CONTRADICTIONS = (
    ({'path_prefix': '/p/o'}, 'queues[0].prefix'),
    ({'target_latency_ms': 3001}, 'queues[1].timeout_ms'),
    ({'target_latency_ms': -1}, 'queues[1].latency_ms'),
    ({'max_attempts': 0}, 'queues[1].max_attempts'),
    ({'slack_factor': 0.9}, 'queues[1].slack_factor'),
    ({'priority': -1}, 'queues[1].priority'),
    ({'name': 'r'}, 'queues[1].name'),
)
NAMES = {'path_prefix': 'prefix', 'service': 'pool'}
NAMES['target_latency_ms'] = 'latency_ms'


def build_queue(route):
    return catalog.Queue(**{NAMES.get(key, key): route[key] for key in route})


class FindingsTest(testtools.TestCase):
    def find(self, changes, version=7):
        self.queues = [build_queue(ROUTE), build_queue({**OTHER, **changes})]
        self.pools = [
            catalog.Pool(name='s'),
            *[
                catalog.Pool(name=name, standby=True)
                for name in ('off',)
                if changes.get('service') == name
            ],
        ]
        return [
            (str(finding.kind), finding.place, finding.message)
            for finding in catalog_check.find_all(
                version, self.queues, self.pools
            )
        ]

    def test_valid_catalog_has_no_findings(self):
        for changes in (
            {},
            {'path_prefix': '/p/o/'},
            {'path_prefix': '/p'},
            {'path_prefix': '/p/o', 'host': 'i.example'},
        ):
            self.assertEqual([], self.find(changes), changes)

    def test_errors_are_those_that_the_server_answers(self):
        for changes, place, words in ERRORS:
            found = self.find(changes)
            self.assertEqual(('error', place), found[0][:2], changes)
            error = self.assertRaises(
                errors.BadInputError,
                checks.check_catalog,
                self.queues,
                self.pools,
            )
            self.assertEqual(found[0][2], error.message)
            self.assertIn(words, error.message)

    def test_all_errors_are_listed(self):
        found = self.find({'service': 'x', 'timeout_ms': 0, 'name': 'r'})
        self.assertEqual(
            ['error', 'error', 'contradiction'], [row[0] for row in found]
        )

    def test_entries_that_never_match_are_found(self):
        for changes, place in NEVER:
            found = [row[:2] for row in self.find(changes)]
            self.assertEqual([('never matches', place)], found, changes)

    def test_unused_pool_is_found_unless_on_standby(self):
        pools = [
            catalog.Pool(name='s'),
            catalog.Pool(name='a'),
            catalog.Pool(name='b', standby=True),
        ]
        found = catalog_check.find_all(7, [build_queue(ROUTE)], pools)
        self.assertEqual(['pools[1]'], [row.place for row in found])

    def test_contradictions_are_found(self):
        for changes, place in CONTRADICTIONS:
            found = [row[:2] for row in self.find(changes)]
            self.assertEqual([('contradiction', place)], found, changes)
        found = [row[:2] for row in self.find({}, version=0)]
        self.assertEqual([('contradiction', 'version')], found)

    def test_unused_priority_is_only_a_note(self):
        found = [row[:2] for row in self.find({'priority': 3})]
        self.assertEqual([('note', 'queues[1].priority')], found)


class DifferenceTest(testtools.TestCase):
    def test_differences_are_listed_by_entry_and_field(self):
        table = (
            ({}, []),
            ({'version': 8}, [('changed', 'version', 7, 8)]),
            (
                {'routes': [ROUTE, OTHER]},
                [('added', 'routes[o]', None, OTHER)],
            ),
            ({'routes': []}, [('removed', 'routes[r]', ROUTE, None)]),
            (
                {'routes': [{**ROUTE, 'timeout_ms': 1}]},
                [('changed', 'routes[r].timeout_ms', 3000, 1)],
            ),
            (
                {'routes': [ROUTE, {**ROUTE, 'host': 'i'}]},
                [('added', 'routes[r#2]', None, {**ROUTE, 'host': 'i'})],
            ),
            ({'limits': {'a': 1}}, [('added', 'limits', None, {'a': 1})]),
            (
                {'services': [{**SERVICE, 'standby': True}]},
                [('added', 'services[s].standby', None, True)],
            ),
        )
        for changes, expected in table:
            found = catalog_diff.compare(DOCUMENT, {**DOCUMENT, **changes})
            rows = [
                (str(row.kind), row.place, row.before, row.after)
                for row in found
            ]
            self.assertEqual(expected, rows)

    def test_numbers_are_not_taken_for_truth_values(self):
        (found,) = catalog_diff.compare({'standby': True}, {'standby': 1})
        self.assertEqual((True, 1), (found.before, found.after))
        self.assertEqual([], catalog_diff.compare({'a': 2.0}, {'a': 2}))

    def test_order_of_entries_is_no_difference(self):
        before = {**DOCUMENT, 'routes': [ROUTE, OTHER]}
        after = {**DOCUMENT, 'routes': [OTHER, ROUTE]}
        self.assertEqual([], catalog_diff.compare(before, after))


class CommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, value):
        path = self.folder / name
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return str(path)

    def check(self, *args, status=0):
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            found = cmdline.main(['check', *args])
        self.assertEqual(status, found, out.getvalue() + err.getvalue())
        return out.getvalue() or err.getvalue()

    def check_json(self, *args, status=0):
        return json.loads(self.check(*args, '--output', 'json', status=status))

    def test_kind_of_file_is_recognised(self):
        table = (
            ('a.json', DOCUMENT, 'catalog', 0),
            ('a.yaml', DOCUMENT, 'catalog', 0),
            ('b.yaml', 'name: a-1\n', 'settings', 0),
            ('c.yaml', '{name: a-1}\n', 'settings', 0),
            ('d.yaml', 'workloads: {a: {kind: batch}}\n', 'workloads', 0),
            ('f.json', {'name': 'a-1'}, 'settings', 0),
            ('e.yaml', 'teams: {a: {quota: 1}}\n', 'workloads', 0),
        )
        for name, value, kind, status in table:
            path = self.write(name, value)
            answer = self.check_json(path, status=status)
            self.assertEqual((kind, []), (answer['kind'], answer['findings']))
            self.assertIn(': ok', self.check(path))

    def test_unreadable_files_are_errors(self):
        table = (
            ('a.json', json.dumps(DOCUMENT)[:-9], 'bad_input'),
            ('a.yaml', json.dumps(DOCUMENT)[:-9], 'bad_input'),
            ('d.json', '{"version": 7}', 'bad_input'),
            ('b.yaml', 'nap: 1\n', 'bad_settings'),
            ('c.yaml', 'workloads: {a: {kind: nap}}\n', 'bad_input'),
        )
        for name, value, code in table:
            self.assertIn(code, self.check(self.write(name, value), status=1))
        missing = str(self.folder / 'x.json')
        self.assertIn('bad_settings', self.check(missing, status=1))

    def test_places_have_the_names_of_the_file(self):
        bad = {'service': 'x', 'path_prefix': 'o', 'target_latency_ms': -1}
        routes = [ROUTE, {**OTHER, **bad}]
        path = self.write('a.json', {**DOCUMENT, 'routes': routes})
        found = self.check_json(path, status=1)['findings']
        self.assertEqual(
            [
                ('error', 'routes[1].service', 'bad_input'),
                ('never matches', 'routes[1].path_prefix', ''),
                ('contradiction', 'routes[1].target_latency_ms', ''),
            ],
            [(row['kind'], row['place'], row['code']) for row in found],
        )
        self.assertIn('routes[1].service', self.check(path, status=1))

    def test_field_that_cannot_be_decoded_has_a_place(self):
        path = self.write('a.json', {**DOCUMENT, 'routes': [{'name': 1}]})
        (found,) = self.check_json(path, status=1)['findings']
        self.assertEqual(
            ('error', 'routes[0].name', 'bad_input'),
            (found['kind'], found['place'], found['code']),
        )

    def test_note_alone_is_no_failure(self):
        routes = [ROUTE, {**OTHER, 'priority': 2}]
        path = self.write('a.json', {**DOCUMENT, 'routes': routes})
        self.assertIn('note', self.check(path))

    def test_file_is_compared_with_another(self):
        old = self.write('old.json', DOCUMENT)
        new = {**DOCUMENT, 'version': 9, 'routes': [ROUTE, OTHER]}
        answer = self.check_json(self.write('new.json', new), '--against', old)
        self.assertEqual(
            ['routes[o]', 'version'],
            sorted(row['place'] for row in answer['differences']),
        )
        self.assertEqual([], answer['findings'])
        text = self.check(str(self.folder / 'new.json'), '--against', old)
        self.assertIn('routes[o]', text)
        self.assertIn('no differences', self.check(old, '--against', old))

    def test_changed_file_needs_a_higher_version(self):
        old = self.write('old.json', DOCUMENT)
        for version in (6, 7):
            new = {**DOCUMENT, 'version': version, 'routes': [ROUTE, OTHER]}
            path = self.write('new.json', new)
            answer = self.check_json(path, '--against', old, status=1)
            (found,) = answer['findings']
            self.assertEqual('version', found['place'])

    def test_error_names_the_file_that_is_compared(self):
        old = self.write('old.json', '{')
        path = self.write('new.json', DOCUMENT)
        self.assertIn('old.json', self.check(path, '--against', old, status=1))

    def test_file_is_compared_with_the_catalog_in_force(self):
        reply = message.CatalogReply(
            version=7, document=json.dumps(DOCUMENT).encode()
        )
        listener = server.Server(
            address='127.0.0.1:0',
            handlers={},
            fallback=handlers.build_operator_handler(
                test_platform.StubGateway(reply)
            ),
        )
        listener.start()
        self.addCleanup(listener.stop)
        options = ('--in-force', '--server', listener.address)
        same = self.write('same.json', DOCUMENT)
        self.assertIn('no differences', self.check(same, *options))
        new = {**DOCUMENT, 'version': 8, 'routes': [ROUTE, OTHER]}
        answer = self.check_json(self.write('new.json', new), *options)
        self.assertEqual(
            ['routes[o]', 'version'],
            [row['place'] for row in answer['differences']],
        )
        old = {**DOCUMENT, 'version': 6}
        self.check(self.write('old.json', old), *options, status=1)

    def test_only_a_catalog_can_be_compared(self):
        old = self.write('old.json', DOCUMENT)
        path = self.write('a.yaml', 'name: a-1\n')
        for options in (('--against', old), ('--in-force',)):
            self.assertIn(options[0], self.check(path, *options, status=2))
