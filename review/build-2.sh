#!/bin/sh
# Builds the stand-ins of cases 6 to 10 below target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/stand-in-2/*.cpp review/[6-9]/*.cpp review/10/*.cpp; do
  [ -f "$source" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -c "$source" \
    -o "$out/$(basename "$source" .cpp).o"
done
for source in review/[6-9]/*.cpp review/10/*.cpp; do
  [ -f "$source" ] || continue
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" "$out/$name.o" "$out/http.o" "$out/deployment.o" \
    "$out/talk.o" "$out/crashing_part.o" -lboost_json -lpthread -o "$out/$name"
done
