#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
# Needs the build of deploy/system.toml and of review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/stand-2 other-writer review/10
