// How the product's rows stand in the store.
#pragma once

#include "heathercross/table.h"

#include <string>
#include <string_view>

namespace heathercross::store {

/// The table of a key: its first segment.
inline std::string tableOf(std::string_view Key) {
  return std::string(Key.substr(0, Key.find('/')));
}

/// A row's text: the attempt that wrote it, a line break, and the value. The
/// attempt tells a writer whose answer was lost what became of its write.
inline std::string encodeRow(const AttemptId &Writer, std::string_view Value) {
  return Writer.str() + '\n' + std::string(Value);
}

/// A row without a line break is a value of an unknown writer.
inline Row decodeRow(std::string Key, RowVersion Version,
                     const std::string &Text) {
  const std::size_t Break = Text.find('\n');
  if (Break == std::string::npos)
    return {std::move(Key), Version, AttemptId(), Text};
  return {std::move(Key), Version, AttemptId(Text.substr(0, Break)),
          Text.substr(Break + 1)};
}

} // namespace heathercross::store
