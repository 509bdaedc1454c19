#!/bin/sh
# Checks the stand-ins of the scripts; they are Python files and need nothing but Python 3.11.
set -e
cd "$(dirname "$0")"
for file in stand.py */case.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
