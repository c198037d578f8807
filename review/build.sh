#!/bin/bash
# Builds every stand-in of the review into review/build (ignored by git). Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for name in standins/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "build/$(basename "$name" .cpp)" "$name"
done
