#!/usr/bin/env bash
# Builds the stand-ins of the script cases 11 to 15. They are modules of the
# standard library's Python, so compiling them shows that they can be loaded.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile harness3.py
