#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/build/classes. Needs the JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build/classes
javac -Xlint:all -d build/classes standin/*.java
