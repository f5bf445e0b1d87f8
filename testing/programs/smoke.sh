#!/usr/bin/env bash
# Guards against programs that work apart but not together: runs the programs
# of the build folder $1 as a small fleet on loopback.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$1
exec "$folder/smoke_test" --programs "$folder" --config examples/tsurumaki
