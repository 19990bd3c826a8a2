// What the running program was built from.
#pragma once

namespace pumicedyke {

/// The abbreviated commit, with "-dirty" if files differed from it; "unknown" if the sources were
/// no git checkout. Written at each build by cmake/write_build_identity.cmake.
const char* BuildIdentity();

}  // namespace pumicedyke
