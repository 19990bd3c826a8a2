// Reads the responses that tests receive byte by byte.
#pragma once

#include <string>

namespace pumicedyke::e2e {

/// Returns true if the text is a whole response: one with a body of the announced length.
bool IsWholeResponse(const std::string& text);
/// Returns the status of a response whose first line is complete; zero if there is none.
int StatusOf(const std::string& response);

}  // namespace pumicedyke::e2e
