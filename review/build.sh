#!/bin/sh
# The stand-ins of the scripts are Python files that need the standard library only.
# There is nothing to build; this checks that they can be read.
cd "$(dirname "$0")" && exec python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"))
PYTHON
