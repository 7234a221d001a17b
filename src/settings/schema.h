// The table of every section and key of a settings file.
#pragma once

#include "settings/settings.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathercross::settings {

/// The form of a value.
enum class ValueType : std::uint8_t {
  /// Letters, digits, dots, dashes and underscores; at most 64.
  Name,
  Path,
  Integer,
  /// "on" or "off".
  Flag,
  /// One of a closed set of words; carried as its position in the set.
  Word,
  Endpoint,
  EndpointList,
  NameList,
};

/// A value whose form and range have been checked.
using Value = std::variant<std::string, std::int64_t, bool, Endpoint,
                           std::vector<Endpoint>, std::vector<std::string>>;

/// One key: its form, range and default, and the setting that it fills.
struct KeySpec {
  std::string_view Section_;
  std::string_view Key_;
  ValueType Type_;
  std::string_view Unit_;
  /// The value of a key that isn't given; unused when it is required.
  std::string_view Default_;
  bool Required_;
  std::int64_t Min_;
  std::int64_t Max_;
  std::span<const std::string_view> Words_;
  std::string_view Text_;
  void (*Assign_)(Settings &, const Value &);
};

/// Every key, in the order in which the documentation shows them.
std::span<const KeySpec> schema();

/// The key of a section; null when there is none.
const KeySpec *findKey(std::string_view Section, std::string_view Key);

/// Whether any key belongs to the section.
bool isSection(std::string_view Section);

/// What values a key takes, in words.
std::string allowedValues(const KeySpec &Spec);

} // namespace heathercross::settings
