// Settings files in TOML, checked whole: every error is reported at once, with file, line, field
// and what is allowed. A command line flag of the same name wins over the file.
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
  /// @param path empty: flags and defaults only.
  explicit Settings(const std::string& path);

  std::string String(const std::string& field, const std::string& fallback);
  /// A value that must be there.
  std::string Required(const std::string& field, const std::string& allowed);
  /// IP number and port.
  std::string Address(const std::string& field, const std::string& fallback);
  int64_t Integer(const std::string& field, int64_t fallback, int64_t low, int64_t high);
  bool Boolean(const std::string& field, bool fallback);
  double Number(const std::string& field, double fallback, double low, double high);
  std::vector<std::string> List(const std::string& field);
  std::vector<std::string> AddressList(const std::string& field);

  /// Reports what a caller found wrong with a value it read before.
  void AddError(const std::string& field, const std::string& allowed);

  /// Also counts fields of the file that nobody asked for as errors.
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

/// Whether `text` is an IPv4 number and a port from 0 to 65535.
bool IsAddress(const std::string& text);

}  // namespace pumicedyke
