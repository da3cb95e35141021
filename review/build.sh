#!/bin/sh
# Builds the stand-ins of the scripted cases. The instances are built as deploy/system.toml
# says.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-stand ./review/stand
