#include "common/text_file.h"

#include <array>
#include <fstream>

#include "common/result_code.h"

namespace pumicedyke {
namespace {

constexpr size_t kReadBytes = 16 * 1024;

}  // namespace

absl::StatusOr<std::string> ReadTextFile(const std::string& path, size_t most_bytes) {
  std::ifstream file(path);
  if (!file) {
    return MakeStatus(ResultCode::kInvalidConfig, path + ": cannot be opened");
  }
  std::string content;
  std::array<char, kReadBytes> buffer;
  while (file && content.size() <= most_bytes) {
    file.read(buffer.data(), buffer.size());
    content.append(buffer.data(), static_cast<size_t>(file.gcount()));
  }
  if (file.bad()) {
    return MakeStatus(ResultCode::kInvalidConfig, path + ": cannot be read");
  }
  if (content.size() > most_bytes) {
    return MakeStatus(ResultCode::kInvalidConfig,
                      path + ": has more than " + std::to_string(most_bytes) + " bytes");
  }
  return content;
}

}  // namespace pumicedyke
