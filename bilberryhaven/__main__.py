"""Entry point of ``python -m bilberryhaven``."""

from bilberryhaven import cmdline

cmdline.run()
