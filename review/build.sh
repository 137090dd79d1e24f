#!/bin/sh
# The stand-ins need no build: they are Python 3.11 with its standard library. Checks that all of them can be read.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import ast, sys, pathlib
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
