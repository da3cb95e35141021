#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Run it after the build of
# deploy/system.toml.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/rig"
exec go build -o "$root/target/review-rig" .
