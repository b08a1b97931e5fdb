#!/bin/sh
# Compiles the stand-ins that the scripts of the cases start; they need no library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
