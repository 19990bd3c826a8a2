#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/ into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/*.cc -o target/review-2/review-standin
