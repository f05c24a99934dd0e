#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file: those of this review into
# target/review-3, and those of the second review, which cases 13 and 14 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$(basename "$source" .cpp)" "$source" -lpthread
done
review/build-2.sh
