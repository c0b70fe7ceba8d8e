#!/bin/sh
# Builds the stand-ins and the cases that are scripts below target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    review/common/*.cpp "$source" -lboost_json \
    -o "target/review/case-$number"
done
