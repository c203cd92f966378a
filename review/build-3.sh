#!/bin/sh
# Builds the stand-ins that the scripts of REPORT-3.md start, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
