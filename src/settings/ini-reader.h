// A strict reader of INI text.
#pragma once

#include "settings/settings.h"

#include <string>
#include <vector>

namespace heathercross::settings {

/// One "key = value" line with the section in which it stands.
struct IniValue {
  std::uint32_t Line_ = 0;
  std::string Section_;
  std::string Key_;
  std::string Value_;
};

/// What was read of a file, and what couldn't be.
struct IniFile {
  std::vector<IniValue> Values_;
  std::vector<Problem> Problems_;
};

/// Splits INI text into values. A comment is a whole line that starts with #
/// or ;. A section stands once, a key once in its section; values aren't
/// quoted and are taken as they are, without the blanks around them.
IniFile readIni(const std::string &Text, const std::string &File);

} // namespace heathercross::settings
