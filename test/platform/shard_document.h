// A document with a service of one leaf, and services that are the shards of gathers.
#pragma once

#include <cstddef>
#include <string>

#include "common/types.h"

namespace pumicedyke::platform {

/// So many shards are gathered by one gateway.
constexpr size_t kFewShards = 4;
/// So many shards are gathered with the help of other gateways.
constexpr size_t kSharedShards = 24;
/// The service that is no shard.
constexpr char kPlainService[] = "plain";

struct ShardDocumentOptions {
  size_t max_body_bytes = 262144;
  /// Of each route.
  Duration timeout = Seconds(2);
};

/// The name of a shard's service. @param index less than kSharedShards.
std::string ShardName(size_t index);

/// A document with the routes /safe/ (idempotent) and /once/ (mutating) to kPlainService, and /few/
/// and /all/, which gather kFewShards and kSharedShards. Each sends to a leaf once.
std::string ShardDocument(const ShardDocumentOptions& options);

}  // namespace pumicedyke::platform
