#!/usr/bin/env bash
# Runs the demo with the programs of the build folder $1; further arguments go
# to the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
exec "$folder/demo" --programs "$folder" --config examples/tsurumaki "$@"
