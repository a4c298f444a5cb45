"""Subcommand that applies declarations of workloads and teams."""

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven.cmdline import changes
from bilberryhaven import errors
from bilberryhaven import validation
from bilberryhaven import yamlfile

__all__ = []

COLLECTIONS = ('teams', 'workloads')
WRITE_FIELDS = ('by', 'change_id', 'expect')


@cmdline.register('apply')
class ApplyCommand(cmdline.Command):
    """Creates or changes workloads and teams as a file declares them."""

    help = 'create or change workloads and teams from a YAML file'

    def add_arguments(self, parser):
        """Add the file and the options of changes."""
        parser.add_argument('file', metavar='FILE')
        changes.add_change_options(parser)

    def run(self, opts):
        """Validate the entire file, then send the entities that differ."""
        entries = read_declarations(opts.file)
        client = cmdline.connect(opts)
        answers = []
        try:
            for entry in entries:
                answers.append(_apply_one(opts, client, *entry))
        except errors.BilberryhavenError:
            _print_answers(opts, answers)
            raise
        revision = max((a['revision'] for a in answers), default=0)
        if revision and not opts.no_wait:
            in_force = client.wait_in_force(revision)
            for answer in answers:
                answer.update(in_force)
        _print_answers(opts, answers)


def _apply_one(opts, client, collection, name, spec):
    """Send one entity if it differs; otherwise return revision 0."""
    path = f'/v1/{collection}/{cmdline.quote(name)}'
    version = 0
    try:
        current = client.call('GET', path)
        version = current['version']
        if all(current.get(key) == spec[key] for key in spec):
            return {'name': name, 'revision': 0, 'version': version}
    except errors.NotFoundError:
        pass
    if opts.expect is not None:
        version = opts.expect
    body = {**spec, 'expect': version}
    change_id = (
        f'{opts.change_id}-{collection}-{name}' if opts.change_id else None
    )
    answer = client.change('PUT', path, body, change_id=change_id)
    return {'name': name, **answer}


def _print_answers(opts, answers):
    if opts.output == 'json':
        _output.print_json(answers)
        return
    for answer in answers:
        text = f'unchanged (version {answer["version"]})'
        if answer['revision']:
            text = changes.describe_change(answer)
        _output.print_text(f'{answer["name"]}: {text}')


def read_declarations(path):
    """Return the (collection, name, fields) of each entity in the file.

    Raises:
        BadInputError: The file is invalid; the message lists all problems.
    """
    problems = []
    entries = []
    for number, document in enumerate(yamlfile.load_documents(path), 1):
        location = f'{path}, document {number}'
        for collection, name, fields in _list_entities(
            document, location, problems
        ):
            spec, found_problems = _read_entity(collection, name, fields)
            prefix = f'{location}: {collection}.{name}'
            problems += [f'{prefix}: {problem}' for problem in found_problems]
            entries.append((collection, name, spec))
    if problems:
        raise errors.BadInputError(
            '\n'.join(problems), step='read declarations'
        )
    return sorted(entries, key=lambda entry: COLLECTIONS.index(entry[0]))


def _read_entity(collection, name, fields):
    """Return an entity's fields and the problems found in them."""
    import msgspec

    from bilberryhaven.control.api import models

    body_types = {
        'teams': models.TeamBody,
        'workloads': models.WorkloadBody,
    }
    body, problems = validation.convert(fields, body_types[collection])
    problems = [str(problem) for problem in problems]
    try:
        models.check_name(name)
        if collection == 'workloads' and body is not None:
            models.check_labels('workload', body.labels)
            models.check_selector('runs_on', body.runs_on)
            models.check_selector('shares_with', body.shares_with)
    except errors.BadInputError as error:
        problems.append(error.message)
    spec = {} if body is None else msgspec.to_builtins(body)
    for key in WRITE_FIELDS:
        spec.pop(key, None)
    return spec, problems


def _list_entities(document, location, problems):
    if not isinstance(document, dict):
        problems.append(f'{location}: must contain "workloads:" or "teams:"')
        return
    for collection, entities in document.items():
        if collection not in COLLECTIONS or not isinstance(entities, dict):
            problems.append(
                f'{location}: {collection}: only the mappings '
                f'{" and ".join(COLLECTIONS)} are allowed'
            )
            continue
        for name, fields in entities.items():
            yield collection, str(name), fields or {}
