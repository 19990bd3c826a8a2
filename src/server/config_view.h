// What operators are shown of the configuration. A document of routes holds API keys: its text is
// left out, and what can be told of its tenants stands in its place. Safe on any thread.
#pragma once

#include <string>

#include "routing/route_table.h"

namespace pumicedyke::server {

/// @param state a serialized configuration; anything else is returned as it is.
/// @param documents null: documents cannot be read here.
std::string ViewOfConfig(const std::string& state, const routing::DocumentReader* documents);

}  // namespace pumicedyke::server
