#!/usr/bin/env bash
# Places the libraries and the packages that they need under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps -t target/deps -r deploy/requirements.txt
    touch target/deps/.ready
fi
rm -rf target/deps/berylwalk
mkdir -p target/deps/berylwalk
for library in platform libs/affinity libs/dispatch libs/quarantine libs/rollout libs/forwarding libs/reading libs/monitor libs/direct; do
    cp -r "$library"/src/berylwalk/* target/deps/berylwalk/
done
python3 -m compileall -q target/deps
