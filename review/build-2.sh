#!/bin/sh
# The stand-ins in lib2/ are Python programs that use the standard library only; this
# checks that the interpreter accepts them.
set -e
cd "$(dirname "$0")"
for file in lib2/*.py [0-9]*/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
