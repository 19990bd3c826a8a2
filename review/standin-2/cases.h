// The cases that run as scripts. Each returns 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
#pragma once

#include "record.h"

namespace standin {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// @param trouble whether the disruption takes place; the same below.
int RunSplitCase(Record* record, bool trouble);
int RunBodiesCase(Record* record, bool trouble);
int RunBodyLimitCase(Record* record, bool trouble);
int RunReplacedControlsCase(Record* record, bool trouble);
int RunReadyPathCase(Record* record, bool trouble);

}  // namespace standin
