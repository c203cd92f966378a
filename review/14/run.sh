#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/standin3 ] || [ ! -x target/pimentoswitch ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
exec target/standin3 dropped-route review/14
