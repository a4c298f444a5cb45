"""Subcommand that applies files of workloads and teams."""

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven.cmdline import changes
from bilberryhaven import errors
from bilberryhaven import validation
from bilberryhaven import yamlfile

__all__ = []

FAMILIES = ('teams', 'workloads')
WRITE_FIELDS = ('by', 'change_id', 'expect')


@cmdline.register('apply')
class ApplyCommand(cmdline.Command):
    """Makes workloads and teams as a file declares them."""

    help = 'create or change workloads and teams from a YAML file'

    def add_arguments(self, parser):
        """Add the file."""
        parser.add_argument('file', metavar='FILE')
        changes.add_change_options(parser)

    def run(self, opts):
        """Check the whole file, then send what differs."""
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
            found = client.wait_in_force(revision)
            for answer in answers:
                answer.update(found)
        _print_answers(opts, answers)


def _apply_one(opts, client, family, name, spec):
    """Send one entity if it differs; the answer's revision is 0 if not."""
    path = f'/v1/{family}/{cmdline.quote(name)}'
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
    change_id = f'{opts.change_id}-{family}-{name}' if opts.change_id else None
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
    """Return (family, name, fields) of each entity in the file.

    Raises:
        BadInputError: The file can't be used; all faults are named.
    """
    faults = []
    entries = []
    for number, tree in enumerate(yamlfile.load_documents(path), 1):
        where = f'{path}, document {number}'
        for family, name, fields in _list_entities(tree, where, faults):
            spec, found = _read_entity(family, name, fields)
            prefix = f'{where}: {family}.{name}'
            faults += [f'{prefix}: {fault}' for fault in found]
            entries.append((family, name, spec))
    if faults:
        raise errors.BadInputError('\n'.join(faults), step='read declarations')
    return sorted(entries, key=lambda entry: FAMILIES.index(entry[0]))


def _read_entity(family, name, fields):
    """Return an entity's fields and the faults in them."""
    import msgspec

    from bilberryhaven.control.api import models

    kinds = {'teams': models.TeamBody, 'workloads': models.WorkloadBody}
    body, faults = validation.convert(fields, kinds[family])
    faults = [str(fault) for fault in faults]
    try:
        models.check_name(name)
        if family == 'workloads' and body is not None:
            models.check_labels('workload', body.labels)
            models.check_selector('runs_on', body.runs_on)
            models.check_selector('shares_with', body.shares_with)
    except errors.BadInputError as error:
        faults.append(error.message)
    spec = {} if body is None else msgspec.to_builtins(body)
    for key in WRITE_FIELDS:
        spec.pop(key, None)
    return spec, faults


def _list_entities(tree, where, faults):
    if not isinstance(tree, dict):
        faults.append(f'{where}: write "workloads:" or "teams:"')
        return
    for family, entities in tree.items():
        if family not in FAMILIES or not isinstance(entities, dict):
            faults.append(
                f'{where}: {family}: only mappings called '
                f'{" and ".join(FAMILIES)} are allowed'
            )
            continue
        for name, fields in entities.items():
            yield family, str(name), fields or {}
