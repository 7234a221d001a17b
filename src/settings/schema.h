// The schema of a settings file: all of its sections and keys.
#pragma once

#include "settings/settings.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathercross::settings {

/// The syntax of a value.
enum class ValueType : std::uint8_t {
  /// At most 64 letters, digits, dots, dashes and underscores.
  Name,
  Path,
  Integer,
  /// "on" or "off".
  Flag,
  /// One word of a fixed set; stored as its index in KeySpec::Choices_.
  Choice,
  Endpoint,
  EndpointList,
  NameList,
};

/// A value whose syntax and range have been checked.
using Value = std::variant<std::string, std::int64_t, bool, Endpoint,
                           std::vector<Endpoint>, std::vector<std::string>>;

/// The syntax, range and default of one key, and how its value is stored.
struct KeySpec {
  std::string_view Section_;
  std::string_view Key_;
  ValueType Type_;
  std::string_view Unit_;
  /// The value used when the key is absent; unused for required keys.
  std::string_view Default_;
  bool Required_;
  std::int64_t Min_;
  std::int64_t Max_;
  std::span<const std::string_view> Choices_;
  std::string_view Description_;
  /// Stores a checked value in the setting that belongs to this key.
  void (*Assign_)(Settings &, const Value &);
};

/// Returns every key in documentation order.
std::span<const KeySpec> schema();

/// Returns the schema entry of a key, or null if there is none.
const KeySpec *findKey(std::string_view Section, std::string_view Key);

/// Returns whether the schema has a section of this name.
bool isSection(std::string_view Section);

/// Returns a description of the values that a key accepts.
std::string allowedValues(const KeySpec &Spec);

} // namespace heathercross::settings
