// Values that are longer than a row of the store.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// Maximum bytes of a value in one row; the store accepts 65,536.
inline constexpr std::size_t MaxRowBytes = 60'000;
/// Maximum bytes of a value. Its rows are written in one transaction, of which
/// the store accepts 1 MB; the rest is for base64 and JSON overhead.
inline constexpr std::size_t MaxValueBytes = 600'000;

/// The number of rows that a value of Size bytes takes.
constexpr std::size_t partCount(std::size_t Size) {
  return Size <= MaxRowBytes ? 1 : (Size + MaxRowBytes - 1) / MaxRowBytes;
}

/// The key of one row of a value; the first row has the value's own key, which
/// contains no slash.
std::string partKey(const std::string &Key, std::size_t Part);

/// Splits a value into its rows. A value of one row is stored as it is and must
/// not begin with '#'; otherwise the first row begins with the number of rows.
std::vector<std::string> splitValue(const std::string &Value);

/// A value that was put together from its rows.
struct JoinedValue {
  std::string Value_;
  std::size_t Parts_ = 1;
};

struct JoinedValues {
  std::map<std::string, JoinedValue> Values_;
  /// Keys of values with a row missing or a malformed number of rows.
  std::vector<std::string> Incomplete_;
};

/// Puts values together from rows, by key.
JoinedValues joinValues(const std::map<std::string, std::string> &Rows);

} // namespace heathercross::schedule
