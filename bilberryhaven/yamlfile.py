"""Safe loading of YAML files, with duplicate keys rejected."""

import pathlib

import yaml

from bilberryhaven import errors

__all__ = ['load_documents']

MAX_FILE_BYTES = 4 * 1024 * 1024


class _Loader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys."""

    def construct_scalar(self, node):
        """Return the text of ``node``, which must be valid Unicode."""
        text = super().construct_scalar(node)
        text.encode()
        return text

    def construct_mapping(self, node, deep=False):
        """Return the mapping of ``node``, whose keys must be unique."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            try:
                is_duplicate = key in seen
            except TypeError as error:
                raise yaml.constructor.ConstructorError(
                    problem='a mapping key must be a scalar',
                    problem_mark=key_node.start_mark,
                ) from error
            if is_duplicate:
                raise yaml.constructor.ConstructorError(
                    problem=f'duplicate key {key!r}',
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_documents(path):
    """Return the documents of the YAML file at ``path``.

    Raises:
        SettingsError: The file can't be read or is not valid YAML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        if len(text) > MAX_FILE_BYTES:
            raise ValueError(f'the file is larger than {MAX_FILE_BYTES} bytes')
        documents = list(yaml.load_all(text, Loader=_Loader))  # noqa: S506
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise errors.SettingsError(
            f'{path}: {error}', step='read file'
        ) from error
    return [tree for tree in documents if tree is not None]
