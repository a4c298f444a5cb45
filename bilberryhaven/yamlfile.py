"""YAML files: loaded safely, with duplicate keys refused."""

import pathlib

import yaml

from bilberryhaven import errors

__all__ = ['load_documents']

MAX_FILE_BYTES = 4 * 1024 * 1024


class _Loader(yaml.SafeLoader):
    """Safe loader that refuses duplicate keys."""

    def construct_mapping(self, node, deep=False):
        """Return the mapping of ``node``."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            try:
                known = key in seen
            except TypeError as error:
                raise yaml.constructor.ConstructorError(
                    problem='a key must be a plain value',
                    problem_mark=key_node.start_mark,
                ) from error
            if known:
                raise yaml.constructor.ConstructorError(
                    problem=f'key {key!r} is given twice',
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_documents(path):
    """Return the documents of the YAML file at ``path``.

    Raises:
        SettingsError: The file can't be read or isn't YAML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        if len(text) > MAX_FILE_BYTES:
            raise ValueError(f'the file is over {MAX_FILE_BYTES} bytes')
        found = list(yaml.load_all(text, Loader=_Loader))  # noqa: S506
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise errors.SettingsError(
            f'{path}: {error}', step='read file'
        ) from error
    return [tree for tree in found if tree is not None]
