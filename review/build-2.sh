#!/usr/bin/env bash
# Compiles the stand-ins of cases 6 to 10 with the JDK alone.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf build
mkdir build
javac --release 17 -Xlint:all -d build ./*.java
