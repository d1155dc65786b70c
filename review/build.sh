#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the deploy build. Their
# stand-ins are Python programs of the standard library, so nothing is compiled;
# this only checks that both are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m py_compile review/lib/*.py review/[1-9]/*.py
test -x target/oriolefall || {
    echo "target/oriolefall is missing: build it as deploy/system.toml says" >&2
    exit 2
}
