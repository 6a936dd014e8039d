#!/bin/bash
# Builds the stand-ins of the third review, which need the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/review3/*.java
