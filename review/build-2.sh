#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin2
