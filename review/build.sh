#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread $(pkg-config --cflags cpp-httplib) -o target/review/cases \
    review/stand-ins/cases.cpp review/stand-ins/standins.cpp $(pkg-config --libs cpp-httplib)
