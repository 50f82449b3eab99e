#!/bin/sh
# The stand-ins of the second review are Python scripts that use the standard library
# only, so there is nothing to build: this checks that they can be read.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import ast, pathlib, tomllib
for path in [pathlib.Path("lab2.py"), *pathlib.Path(".").glob("[45678]/*.py")]:
    ast.parse(path.read_text(), str(path))
'
