// Parses and checks each type of value.
#include "settings/values.h"

#include "settings/text.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace heathercross::settings {

namespace {

using ParseResult = std::variant<Value, ProblemKind>;

constexpr std::size_t MaxNameLength = 64;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '.' || C == '-' || C == '_';
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::ranges::all_of(Text, isNameCharacter);
}

/// Splits at commas and trims each part; returns no parts for an empty text.
std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  while (Start <= Text.size() && !Text.empty()) {
    const auto Comma = std::min(Text.find(',', Start), Text.size());
    Parts.push_back(trimmed(Text.substr(Start, Comma - Start)));
    Start = Comma + 1;
  }
  return Parts;
}

bool hasDuplicates(const std::vector<std::string> &List) {
  const std::set<std::string> Distinct(List.begin(), List.end());
  return Distinct.size() != List.size();
}

ParseResult parseName(const std::string &Text) {
  if (!isName(Text))
    return ProblemKind::WrongType;
  return Value(Text);
}

ParseResult parsePath(const KeySpec &Spec, const std::string &Text) {
  if (Text.empty() && Spec.Required_)
    return ProblemKind::WrongType;
  return Value(Text);
}

ParseResult parseInteger(const KeySpec &Spec, const std::string &Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Number);
  if (Code == std::errc::result_out_of_range)
    return ProblemKind::OutOfRange;
  if (Code != std::errc() || Stop != End)
    return ProblemKind::WrongType;
  if (Number < Spec.Min_ || Number > Spec.Max_)
    return ProblemKind::OutOfRange;
  return Value(Number);
}

ParseResult parseFlag(const std::string &Text) {
  if (Text != "on" && Text != "off")
    return ProblemKind::WrongType;
  return Value(Text == "on");
}

ParseResult parseChoice(const KeySpec &Spec, const std::string &Text) {
  const auto I = std::ranges::find(Spec.Choices_, Text);
  if (I == Spec.Choices_.end())
    return ProblemKind::WrongType;
  return Value(std::int64_t{I - Spec.Choices_.begin()});
}

ParseResult parseOneEndpoint(const std::string &Text) {
  const auto Parsed = parseEndpoint(Text);
  if (!Parsed)
    return ProblemKind::WrongType;
  return Value(*Parsed);
}

ParseResult parseEndpointList(const std::string &Text) {
  std::vector<Endpoint> List;
  std::vector<std::string> Names;
  for (const std::string &Part : splitList(Text)) {
    const auto Parsed = parseEndpoint(Part);
    if (!Parsed)
      return ProblemKind::WrongType;
    List.push_back(*Parsed);
    Names.push_back(Parsed->str());
  }
  if (hasDuplicates(Names))
    return ProblemKind::Duplicate;
  return Value(List);
}

ParseResult parseNameList(const std::string &Text) {
  const auto List = splitList(Text);
  if (List.empty() || !std::ranges::all_of(List, isName))
    return ProblemKind::WrongType;
  if (hasDuplicates(List))
    return ProblemKind::Duplicate;
  return Value(List);
}

} // namespace

std::variant<Value, ProblemKind> parseValue(const KeySpec &Spec,
                                            const std::string &Text) {
  switch (Spec.Type_) {
  case ValueType::Name:
    return parseName(Text);
  case ValueType::Path:
    return parsePath(Spec, Text);
  case ValueType::Integer:
    return parseInteger(Spec, Text);
  case ValueType::Flag:
    return parseFlag(Text);
  case ValueType::Choice:
    return parseChoice(Spec, Text);
  case ValueType::Endpoint:
    return parseOneEndpoint(Text);
  case ValueType::EndpointList:
    return parseEndpointList(Text);
  case ValueType::NameList:
    return parseNameList(Text);
  }
  return ProblemKind::WrongType;
}

} // namespace heathercross::settings
