#!/bin/sh
# Builds what the scripts of cases 7 to 9 and false-failure start, after the build of the deploy file. Their stand-ins are Python programs without
# packages, so there is nothing to compile: this checks that they can be read and that the program of the deploy file is there.
cd "$(dirname "$0")/.." || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
for file in review/standins-2/standins.py review/7/case.py review/8/case.py review/9/case.py review/false-failure/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
[ -x target/release/cuminkeel-node ] || { echo "target/release/cuminkeel-node is missing: run the build of the deploy file"; exit 2; }
echo "stand-ins are ready"
