#!/bin/sh
# The stand-ins are Python sources without dependencies of their own: check that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness [1-5]
