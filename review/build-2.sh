#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cxx="${CXX:-c++}"
"$cxx" -std=c++20 -O1 -DBOOST_LOG_DYN_LINK -Isrc/libs -Ireview/stand-ins-2 \
    review/stand-ins-2/main.cpp review/stand-ins-2/rig.cpp \
    target/src/libs/asyncnet/libasyncnet.a target/src/libs/wire/libwire.a \
    target/src/libs/wire/libwiregen.a target/src/libs/utils/libutils.a \
    $(pkg-config --libs thrift) -lboost_log -lboost_thread -lboost_filesystem -ltbb -lpthread \
    -o target/review-2/rig
