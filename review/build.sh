#!/bin/sh
# Builds the stand-ins and scripts of the review with the JDK alone, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/src/*.java
