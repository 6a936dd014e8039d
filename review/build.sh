#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review -cp target/briarward-cli/briarward.jar review/standins/review/*.java
