"""Entry point of ``python -m tests``."""

import sys

from tests import runner

if __name__ == '__main__':
    sys.exit(runner.run(sys.argv[1:]))
