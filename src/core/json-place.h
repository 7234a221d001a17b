// A place inside a JSON text, read with typed failures that name it.
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

/// The longest name of a pool, wave, team, instance and the like, in
/// characters.
inline constexpr std::size_t MaxNameLength = 64;

/// A value inside a JSON text together with the path that leads to it. Each
/// reader throws FormatError with that path when the value isn't what it
/// should be.
class JsonPlace {
public:
  /// Reads a text whose outermost value is an object of at most Limit bytes.
  static JsonPlace parse(std::string_view Text, Bytes Limit);

  JsonPlace(QJsonValue Value, std::string Path)
      : Value_(std::move(Value)), Path_(std::move(Path)) {}

  const std::string &path() const { return Path_; }
  /// The value itself, for callers that hand it on unread.
  const QJsonValue &value() const { return Value_; }

  /// The field of an object; throws when it is missing.
  JsonPlace field(std::string_view Name) const;
  /// The field of an object, if it is there.
  std::optional<JsonPlace> find(std::string_view Name) const;
  /// All fields of an object, in order of their names.
  std::vector<std::pair<std::string, JsonPlace>>
  fields(std::size_t MaxCount) const;
  /// Throws for the first field whose name isn't among those given.
  void allowOnly(std::initializer_list<std::string_view> Names) const;

  /// The elements of an array of at most MaxCount.
  std::vector<JsonPlace> items(std::size_t MaxCount) const;

  std::string text(std::size_t MaxLength) const;
  /// A text of 1 to MaxNameLength letters, digits, dots, dashes and
  /// underscores, which is safe inside keys and addresses.
  std::string name() const;
  /// As name(), but the text may be empty.
  std::string nameOrEmpty() const;
  std::uint64_t number(std::uint64_t Min, std::uint64_t Max) const;
  bool boolean() const;

  /// The identifier that a name() spells.
  template <class I> I id() const { return I(name()); }
  template <class I> I idOrEmpty() const { return I(nameOrEmpty()); }

  /// Throws FormatError for this place.
  [[noreturn]] void fail(const std::string &Problem) const;

private:
  QJsonObject object() const;
  std::string pathOf(std::string_view Name) const;

  QJsonValue Value_;
  std::string Path_;
};

/// Whether a text may serve as a name.
bool isName(std::string_view Text);

/// The text of a JSON object without spaces, its fields in order of names.
std::string jsonText(const QJsonObject &Object);

/// A text as a JSON value.
QJsonValue jsonValue(std::string_view Text);
/// A count as a JSON value; it must be below 2^63.
QJsonValue jsonValue(std::uint64_t Number);

} // namespace heathercross
