#!/usr/bin/env bash
# Builds the stand-ins of the script cases. The nodes are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -o target/review/rig ./review/rig
