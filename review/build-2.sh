#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/standins-2/*.java
