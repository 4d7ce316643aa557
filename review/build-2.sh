#!/bin/sh
# Builds every stand-in that the scripts of review/4 to review/6 start, after the build of the deploy
# file. The project's own stand-ins and the small ones beside the scripts are Python; what they
# import is in target/deps already.
set -e
cd "$(dirname "$0")/.."
sh deploy/build.sh
PYTHONPATH=target/deps python3 -c 'import springrock.emulator, springrock.cli'
for file in review/common2/deployment.py review/[456]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
