// String helpers for parsing settings.
#pragma once

#include <string>
#include <string_view>

namespace heathercross::settings {

/// Returns the text without leading and trailing whitespace.
inline std::string trimmed(std::string_view Text) {
  constexpr std::string_view Whitespace = " \t\r";
  const auto First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  const auto Last = Text.find_last_not_of(Whitespace);
  return std::string(Text.substr(First, Last - First + 1));
}

} // namespace heathercross::settings
