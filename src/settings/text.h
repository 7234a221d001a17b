// Small text helpers of the settings reader.
#pragma once

#include <string>
#include <string_view>

namespace heathercross::settings {

/// The text without the blanks around it.
inline std::string trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t\r";
  const auto First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  const auto Last = Text.find_last_not_of(Blanks);
  return std::string(Text.substr(First, Last - First + 1));
}

} // namespace heathercross::settings
