// Values that are longer than a row of the store.
#include "schedule/long-value.h"

#include <charconv>
#include <optional>
#include <ranges>
#include <string_view>

namespace heathercross::schedule {

namespace {

constexpr char PartSeparator = '/';
/// The first row of a long value begins with "#N\n", N being the number of
/// rows.
constexpr char CountMark = '#';
constexpr char CountEnd = '\n';

/// Puts a value together; nothing if a row is missing.
std::optional<JoinedValue>
joinValue(const std::string &Key, std::string_view First,
          const std::map<std::string, std::string> &Rows) {
  const std::size_t End = First.find(CountEnd);
  if (End == std::string_view::npos)
    return std::nullopt;
  JoinedValue V;
  const char *Last = First.data() + End;
  const auto Read = std::from_chars(First.data() + 1, Last, V.Parts_);
  if (Read.ec != std::errc() || Read.ptr != Last)
    return std::nullopt;
  V.Value_ = First.substr(End + 1);
  for (std::size_t Part = 1; Part < V.Parts_; ++Part) {
    const auto It = Rows.find(partKey(Key, Part));
    if (It == Rows.end())
      return std::nullopt;
    V.Value_ += It->second;
  }
  return V;
}

} // namespace

std::string partKey(const std::string &Key, std::size_t Part) {
  return Part == 0 ? Key : Key + PartSeparator + std::to_string(Part);
}

std::vector<std::string> splitValue(const std::string &Value) {
  const std::size_t Count = partCount(Value.size());
  if (Count == 1)
    return {Value};
  std::vector<std::string> Parts;
  for (std::size_t I = 0; I < Count; ++I)
    Parts.push_back(Value.substr(I * MaxRowBytes, MaxRowBytes));
  Parts.front() = CountMark + std::to_string(Count) + CountEnd + Parts.front();
  return Parts;
}

JoinedValues joinValues(const std::map<std::string, std::string> &Rows) {
  JoinedValues Joined;
  for (const auto &[Key, Text] : Rows) {
    if (Key.find(PartSeparator) != std::string::npos)
      continue;
    if (!Text.starts_with(CountMark)) {
      Joined.Values_[Key] = {Text, 1};
      continue;
    }
    if (auto V = joinValue(Key, Text, Rows))
      Joined.Values_[Key] = std::move(*V);
    else
      Joined.Incomplete_.push_back(Key);
  }
  return Joined;
}

} // namespace heathercross::schedule
