#!/bin/sh
# Installs the packages that springrock runs with, and makes bytecode of them and of springrock.
#
# A box that has to compile its modules takes twice the processor time to start. The bytecode goes
# by the sources' hashes, not by their times, so that it counts in a copy of the tree as well.
# A module without it still runs, so that the build does not fail for one.
set -e

compile() {
    python3 -m compileall -q --invalidation-mode checked-hash "$1" ||
        echo "Some modules in $1 have no bytecode." >&2
}

if [ ! target/deps -nt requirements-run.lock ]; then
    python3 -m pip install -q --disable-pip-version-check --no-compile \
        --require-hashes -r requirements-run.lock --target target/deps -U
    touch target/deps
fi
if [ ! target/compiled -nt target/deps ]; then
    compile target/deps
    touch target/compiled
fi
compile springrock
