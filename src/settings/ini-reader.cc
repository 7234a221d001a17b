// The strict reader of INI text.
#include "settings/ini-reader.h"

#include "settings/text.h"

#include <set>
#include <sstream>
#include <utility>

namespace heathercross::settings {

namespace {

/// Reads line after line and remembers the section it is in.
class Reader {
public:
  explicit Reader(std::string File) : Name_(std::move(File)) {}

  void take(const std::string &Line) {
    ++Line_;
    if (Line.empty() || Line.front() == '#' || Line.front() == ';')
      return;
    if (Line.front() == '[')
      return takeSection(Line);
    takeValue(Line);
  }

  IniFile result() && { return std::move(Result_); }

private:
  void takeSection(const std::string &Line) {
    if (!Line.ends_with(']'))
      return report("", ProblemKind::Malformed, Line, "[section]");
    Section_ = trimmed(Line.substr(1, Line.size() - 2));
    if (!Sections_.insert(Section_).second)
      report("", ProblemKind::Duplicate, Line, "each section once");
  }

  void takeValue(const std::string &Line) {
    const auto Equals = Line.find('=');
    const std::string Key = trimmed(Line.substr(0, Equals));
    if (Equals == std::string::npos || Key.empty() || Section_.empty())
      return report("", ProblemKind::Malformed, Line,
                    "key = value below a [section]");
    if (!Keys_.emplace(Section_, Key).second)
      return report(Key, ProblemKind::Duplicate, Line, "each key once");
    Result_.Values_.push_back(
        {Line_, Section_, Key, trimmed(Line.substr(Equals + 1))});
  }

  void report(const std::string &Key, ProblemKind Kind,
              const std::string &Found, const std::string &Allowed) {
    Result_.Problems_.push_back(
        {Name_, Line_, Section_, Key, Kind, Found, Allowed});
  }

  std::string Name_;
  std::uint32_t Line_ = 0;
  std::string Section_;
  std::set<std::string> Sections_;
  std::set<std::pair<std::string, std::string>> Keys_;
  IniFile Result_;
};

} // namespace

IniFile readIni(const std::string &Text, const std::string &File) {
  Reader R(File);
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    R.take(trimmed(Line));
  return std::move(R).result();
}

} // namespace heathercross::settings
