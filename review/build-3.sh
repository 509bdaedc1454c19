#!/bin/sh
# Checks that the stand-ins of the cases 11 and 12 can be compiled; they use the standard library.
set -eu
cd "$(dirname "$0")"
for source in stand3.py 1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
