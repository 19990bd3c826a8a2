// Reads settings files in TOML. All errors of a file are reported together, each with file, line,
// field and allowed values. A command line flag of the same name overrides the file.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "toml++/toml.h"

namespace pumicedyke {

class Settings {
 public:
  /// @param path empty for flags and defaults only.
  explicit Settings(const std::string& path);

  std::string String(const std::string& field, const std::string& fallback);
  /// A string that must be set. @param allowed describes the allowed values in the error.
  std::string Required(const std::string& field, const std::string& allowed);
  /// An IP address and port.
  std::string Address(const std::string& field, const std::string& fallback);
  int64_t Integer(const std::string& field, int64_t fallback, int64_t low, int64_t high);
  bool Boolean(const std::string& field, bool fallback);
  double Number(const std::string& field, double fallback, double low, double high);
  std::vector<std::string> List(const std::string& field);
  std::vector<std::string> AddressList(const std::string& field);

  /// Adds an error that the caller found in a value it has read.
  void AddError(const std::string& field, const std::string& allowed);

  /// Ends reading. Fields of the file that were never read count as errors.
  /// @return kInvalidConfig with one line per error.
  absl::Status Finish();

 private:
  const toml::node* Find(const std::string& field);
  bool FlagValue(const std::string& field, std::string* value) const;
  std::string Where(const std::string& field) const;

  std::string path_;
  toml::table table_;
  std::set<std::string> known_;
  std::vector<std::string> errors_;
};

/// Whether `text` is an IPv4 address and a port from 0 to 65535.
bool IsAddress(const std::string& text);

}  // namespace pumicedyke
