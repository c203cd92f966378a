#!/bin/sh
# Plays the case late-leave. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of deploy/system.toml and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/pimentoswitch ] && [ -x target/review-standin ] || exit 2
exec target/review-standin late-leave "$folder" target/pimentoswitch
