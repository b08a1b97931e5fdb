#!/bin/sh
# Puts libraries and the project's own packages side by side under target/deps.
set -eu
mkdir -p target
if [ ! -f target/libraries ] || ! cmp -s deploy/requirements.txt target/libraries; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/libraries
fi
for package in core transport node; do
    rm -rf "target/deps/sapphirerail_$package"
    cp -R "packages/sapphirerail-$package/src/sapphirerail_$package" target/deps/
done
# The processes run with -OO and cannot write beside the sources.
python3 -OO -m compileall -q target/deps
