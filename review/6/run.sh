#!/bin/bash
# Plays the case; TROUBLE=0 leaves the disruption out. Needs the deploy file's build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/review-2/LargeItems.class ] && [ -e target/briarward-cli/briarward.jar ] || exit 2
exec java -Xmx2g -Dreview.root=. -cp target/review-2 LargeItems review/6/record.txt
