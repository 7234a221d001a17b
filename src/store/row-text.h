// The text format of heathercross's rows in the platform's store.
#pragma once

#include "heathercross/table.h"

#include <string>
#include <string_view>

namespace heathercross::store {

/// The table that a key belongs to: its first segment.
inline std::string tableOf(std::string_view Key) {
  return std::string(Key.substr(0, Key.find('/')));
}

/// Encodes a row as the id of the attempt that wrote it, a line break, and the
/// value. A writer that got no answer recognizes its own write by this id.
inline std::string encodeRow(const AttemptId &Attempt, std::string_view Value) {
  return Attempt.str() + '\n' + std::string(Value);
}

/// Decodes a row. Text without a line break is a value whose attempt is
/// unknown.
inline Row decodeRow(std::string Key, RowVersion Version,
                     const std::string &Text) {
  const std::size_t LineBreak = Text.find('\n');
  if (LineBreak == std::string::npos)
    return {std::move(Key), Version, AttemptId(), Text};
  return {std::move(Key), Version, AttemptId(Text.substr(0, LineBreak)),
          Text.substr(LineBreak + 1)};
}

} // namespace heathercross::store
