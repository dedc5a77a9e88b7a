#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; they use the standard library only.
cd "$(dirname "$0")" || exit 1
for file in lib3/*.py 1[1-5]/*.py; do
    python3 -m py_compile "$file" || exit 1
done
