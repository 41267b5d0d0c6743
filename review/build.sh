#!/bin/sh
# Check that the stand-ins of the cases compile; they need no other build.
# They use Python's standard library alone.
cd "$(dirname "$0")" &&
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
'
