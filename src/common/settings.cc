#include "common/settings.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "common/result_code.h"
#include "common/text_file.h"

namespace pumicedyke {

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  int port = 0;
  in_addr parsed{};
  return colon != std::string::npos && absl::SimpleAtoi(text.substr(colon + 1), &port) &&
         port >= 0 && port <= 65535 &&
         ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1;
}

Settings::Settings(const std::string& path) : path_(path) {
  if (path.empty()) {
    return;
  }
  const absl::StatusOr<std::string> content = ReadTextFile(path, kMaxSettingsBytes);
  if (!content.ok()) {
    errors_.emplace_back(content.status().message());
    return;
  }
  try {
    table_ = toml::parse(*content, path);
  } catch (const toml::parse_error& error) {
    errors_.push_back(path + ":" + std::to_string(error.source().begin.line) +
                      ": not valid TOML: " + std::string(error.description()));
  }
}

std::string Settings::Where(const std::string& field) const {
  std::string flag;
  if (FlagValue(field, &flag)) {
    return "flag --" + field;
  }
  const toml::node* node = table_.get(field);
  const std::string line = node == nullptr ? "" : ":" + std::to_string(node->source().begin.line);
  return (path_.empty() ? std::string("settings") : path_) + line + ": field '" + field + "'";
}

void Settings::AddError(const std::string& field, const std::string& allowed) {
  errors_.push_back(Where(field) + ": " + allowed);
}

bool Settings::FlagValue(const std::string& field, std::string* value) const {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(field.c_str(), &info) || info.is_default) {
    return false;
  }
  *value = info.current_value;
  return true;
}

const toml::node* Settings::Find(const std::string& field) {
  known_.insert(field);
  return table_.get(field);
}

std::string Settings::String(const std::string& field, const std::string& fallback) {
  const toml::node* node = Find(field);
  std::string value;
  if (FlagValue(field, &value)) {
    return value;
  }
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_string()) {
    AddError(field, "must be a string");
    return fallback;
  }
  return node->as_string()->get();
}

std::string Settings::Required(const std::string& field, const std::string& allowed) {
  const size_t errors_before = errors_.size();
  std::string value = String(field, "");
  if (value.empty() && errors_.size() == errors_before) {
    AddError(field, "is missing: " + allowed);
  }
  return value;
}

std::string Settings::Address(const std::string& field, const std::string& fallback) {
  std::string value = String(field, fallback);
  if (!IsAddress(value)) {
    AddError(field, "must be an IP number and a port, for instance 127.0.0.1:7000");
  }
  return value;
}

int64_t Settings::Integer(const std::string& field, int64_t fallback, int64_t low, int64_t high) {
  const toml::node* node = Find(field);
  const std::string allowed =
      "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high);
  int64_t value = fallback;
  std::string text;
  bool readable = true;
  if (FlagValue(field, &text)) {
    readable = absl::SimpleAtoi(text, &value);
  } else if (node != nullptr) {
    readable = node->is_integer();
    value = readable ? node->as_integer()->get() : fallback;
  }
  if (!readable || value < low || value > high) {
    AddError(field, allowed);
    return fallback;
  }
  return value;
}

bool Settings::Boolean(const std::string& field, bool fallback) {
  const toml::node* node = Find(field);
  std::string text;
  if (FlagValue(field, &text)) {
    if (text != "true" && text != "false") {
      AddError(field, "must be true or false");
      return fallback;
    }
    return text == "true";
  }
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_boolean()) {
    AddError(field, "must be true or false");
    return fallback;
  }
  return node->as_boolean()->get();
}

double Settings::Number(const std::string& field, double fallback, double low, double high) {
  const toml::node* node = Find(field);
  double value = fallback;
  std::string text;
  bool readable = true;
  if (FlagValue(field, &text)) {
    readable = absl::SimpleAtod(text, &value);
  } else if (node != nullptr) {
    readable = node->is_number();
    value = node->value<double>().value_or(fallback);
  }
  if (!readable || !(value >= low && value <= high)) {
    AddError(field, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    return fallback;
  }
  return value;
}

std::vector<std::string> Settings::List(const std::string& field) {
  const toml::node* node = Find(field);
  std::string text;
  if (FlagValue(field, &text)) {
    return absl::StrSplit(text, ',', absl::SkipEmpty());
  }
  std::vector<std::string> values;
  if (node == nullptr) {
    return values;
  }
  if (!node->is_array()) {
    AddError(field, "must be a list of strings");
    return values;
  }
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_string()) {
      AddError(field, "must be a list of strings");
      return values;
    }
    values.push_back(item.as_string()->get());
  }
  return values;
}

std::vector<std::string> Settings::AddressList(const std::string& field) {
  std::vector<std::string> values = List(field);
  for (const std::string& value : values) {
    if (!IsAddress(value)) {
      AddError(field, "'" + value + "' is not an IP number and a port");
    }
  }
  return values;
}

absl::Status Settings::Finish() {
  for (const auto& [key, node] : table_) {
    const std::string name(key.str());
    if (!known_.contains(name)) {
      errors_.push_back(path_ + ":" + std::to_string(node.source().begin.line) + ": field '" +
                        name + "': is not known; allowed are " + absl::StrJoin(known_, ", "));
    }
  }
  if (errors_.empty()) {
    return absl::OkStatus();
  }
  return MakeStatus(ResultCode::kInvalidConfig, absl::StrJoin(errors_, "\n"));
}

}  // namespace pumicedyke
