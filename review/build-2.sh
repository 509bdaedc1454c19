#!/bin/sh
# Checks that the stand-ins of this review and its cases can be compiled; they need only the standard
# library. The programs come from the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast
import pathlib
import sys

sources = [pathlib.Path("stand2.py"), *sorted(pathlib.Path(".").glob("[0-9]*/case.py"))]
for source in sources:
    compile(source.read_text(), str(source), "exec", ast.PyCF_ONLY_AST)
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
P
