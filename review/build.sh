#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/, and the deployment's programs if they
# are missing. Needs only the project's own build packages.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/bin/pumicedyke-gateway ] && [ -x target/bin/pumicedyke-control ] || tools/deploy-build
mkdir -p review/bin
for name in mutating replaced unreadable; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "review/bin/$name" "review/standin/$name.cc"
done
