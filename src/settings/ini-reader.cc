// Implements the strict INI parser.
#include "settings/ini-reader.h"

#include "settings/text.h"

#include <set>
#include <sstream>
#include <utility>

namespace heathercross::settings {

namespace {

/// Parses lines one by one and tracks the current section.
class Parser {
public:
  explicit Parser(std::string File) : FileName_(std::move(File)) {}

  void parseLine(const std::string &Line) {
    ++Line_;
    if (Line.empty() || Line.front() == '#' || Line.front() == ';')
      return;
    if (Line.front() == '[')
      return parseSection(Line);
    parseValue(Line);
  }

  IniFile result() && { return std::move(Result_); }

private:
  void parseSection(const std::string &Line) {
    if (!Line.ends_with(']'))
      return report("", ProblemKind::Malformed, Line, "[section]");
    CurrentSection_ = trimmed(Line.substr(1, Line.size() - 2));
    if (!Sections_.insert(CurrentSection_).second)
      report("", ProblemKind::Duplicate, Line, "each section once");
  }

  void parseValue(const std::string &Line) {
    const auto Equals = Line.find('=');
    const std::string Key = trimmed(Line.substr(0, Equals));
    if (Equals == std::string::npos || Key.empty() || CurrentSection_.empty())
      return report("", ProblemKind::Malformed, Line,
                    "key = value below a [section]");
    if (!Keys_.emplace(CurrentSection_, Key).second)
      return report(Key, ProblemKind::Duplicate, Line, "each key once");
    Result_.Values_.push_back(
        {Line_, CurrentSection_, Key, trimmed(Line.substr(Equals + 1))});
  }

  void report(const std::string &Key, ProblemKind Kind,
              const std::string &Found, const std::string &Allowed) {
    Result_.Problems_.push_back(
        {FileName_, Line_, CurrentSection_, Key, Kind, Found, Allowed});
  }

  std::string FileName_;
  std::uint32_t Line_ = 0;
  std::string CurrentSection_;
  std::set<std::string> Sections_;
  std::set<std::pair<std::string, std::string>> Keys_;
  IniFile Result_;
};

} // namespace

IniFile readIni(const std::string &Text, const std::string &File) {
  Parser P(File);
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    P.parseLine(trimmed(Line));
  return std::move(P).result();
}

} // namespace heathercross::settings
