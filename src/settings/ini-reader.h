// A strict parser for INI files.
#pragma once

#include "settings/settings.h"

#include <string>
#include <vector>

namespace heathercross::settings {

/// One "key = value" line and the section that contains it.
struct IniValue {
  std::uint32_t Line_ = 0;
  std::string Section_;
  std::string Key_;
  std::string Value_;
};

/// The values parsed from a file and the problems found in it.
struct IniFile {
  std::vector<IniValue> Values_;
  std::vector<Problem> Problems_;
};

/// Parses INI text. Only whole lines that start with # or ; are comments. A
/// repeated section, or a repeated key within a section, is reported as a
/// problem. Values are used verbatim, without quoting, after trimming.
IniFile readIni(const std::string &Text, const std::string &File);

} // namespace heathercross::settings
