#!/bin/sh
# Builds the stand-ins and cases of this review, without libraries.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand-2/*.java
