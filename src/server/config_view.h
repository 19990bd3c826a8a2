// The operators' view of the configuration. A route document holds API keys, so its text is removed
// and replaced by a description of its tenants without keys. Safe on any thread.
#pragma once

#include <string>

#include "routing/route_table.h"

namespace pumicedyke::server {

/// @param state a serialized configuration; any other text is returned unchanged.
/// @param documents reads route documents; if null, the tenants of a document are left out.
std::string ViewOfConfig(const std::string& state, const routing::DocumentReader* documents);

}  // namespace pumicedyke::server
