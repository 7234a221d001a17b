// Validated access to values in JSON documents.
#pragma once

#include "heathercross/error.h"
#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <QJsonObject>
#include <QJsonValue>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathercross {

/// Maximum length of a name (of a pool, wave, team, instance etc.), in bytes.
inline constexpr std::size_t MaxNameLength = 64;

/// A value in a JSON document together with its path. All accessors throw
/// FormatError with the path when the value has the wrong type or is out of
/// range.
class JsonNode {
public:
  /// Parses a document of at most Limit bytes whose root is an object.
  static JsonNode parse(std::string_view Text, Bytes Limit);

  JsonNode(QJsonValue Value, std::string Path)
      : Value_(std::move(Value)), Path_(std::move(Path)) {}

  const std::string &path() const { return Path_; }
  /// The raw value, without validation.
  const QJsonValue &value() const { return Value_; }

  /// Returns a field of an object; throws if it is missing.
  JsonNode field(std::string_view Name) const;
  /// Returns a field of an object, or nullopt if it is missing.
  std::optional<JsonNode> find(std::string_view Name) const;
  /// All fields of an object with at most MaxCount fields, sorted by name.
  std::vector<std::pair<std::string, JsonNode>>
  fields(std::size_t MaxCount) const;
  /// Throws if the object has a field whose name is not in Names.
  void allowOnly(std::initializer_list<std::string_view> Names) const;

  /// The elements of an array with at most MaxCount elements.
  std::vector<JsonNode> items(std::size_t MaxCount) const;

  /// A string of at most MaxLength bytes.
  std::string text(std::size_t MaxLength) const;
  /// A string of 1 to MaxNameLength letters, digits, '.', '-' and '_', which is
  /// safe in row keys and URLs.
  std::string name() const;
  /// Like name(), but allows an empty string.
  std::string nameOrEmpty() const;
  /// An integer from Min to Max.
  std::uint64_t number(std::uint64_t Min, std::uint64_t Max) const;
  bool boolean() const;

  /// name() or nameOrEmpty() as a typed identifier.
  template <class I> I id() const { return I(name()); }
  template <class I> I idOrEmpty() const { return I(nameOrEmpty()); }

  /// Throws FormatError with the path of this value.
  [[noreturn]] void fail(const std::string &Problem) const;

private:
  QJsonObject object() const;
  std::string pathOf(std::string_view Name) const;

  QJsonValue Value_;
  std::string Path_;
};

/// Whether Text is valid as a name; see JsonNode::name().
bool isName(std::string_view Text);

/// Serializes a JSON object without whitespace, with fields sorted by name.
std::string jsonText(const QJsonObject &Object);

/// A string as a JSON value.
QJsonValue jsonValue(std::string_view Text);
/// An integer below 2^63 as a JSON value.
QJsonValue jsonValue(std::uint64_t Number);

} // namespace heathercross
