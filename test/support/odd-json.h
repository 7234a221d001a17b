// Generates odd JSON texts: the names of a document's fields with values of any
// type, size and nesting.
#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace heathercross::test {

/// Returns a text of this many nested arrays, or of objects whose only field
/// has this name.
inline std::string nestedArrays(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}
inline std::string nestedObjects(const std::string &Name, std::size_t Depth) {
  std::string Text;
  for (std::size_t I = 0; I < Depth; ++I)
    Text += "{\"" + Name + "\":";
  return Text + "0" + std::string(Depth, '}');
}

/// Returns a text with a value in place of each '@'.
inline std::string withValue(const std::string &Text,
                             const std::string &Value) {
  std::string Result;
  for (const char C : Text)
    Result.append(C == '@' ? Value : std::string(1, C));
  return Result;
}

/// Draws a JSON value whose objects have fields with these names. Called inside
/// a property.
inline std::string drawOddValue(const std::vector<std::string> &Names,
                                int Depth) {
  static const std::vector<std::string> Values{"null",
                                               "true",
                                               "0",
                                               "1",
                                               "-1",
                                               "1.5",
                                               "9e15",
                                               "9e18",
                                               "-9e18",
                                               "1e19",
                                               "9223372036854775807",
                                               "18446744073709551616",
                                               "1e308",
                                               "-1e308",
                                               "1e400",
                                               R"("")",
                                               R"("text")",
                                               R"("10.0.0.1:99999")",
                                               R"("ready")",
                                               R"("5c0e7a21d94b36f8.0.1.17")",
                                               R"("done")",
                                               R"("\u0000")",
                                               R"("\ud800")",
                                               "\"\xff\"",
                                               "[]",
                                               "{}"};
  const int Kind = Depth == 0 ? 0 : *rc::gen::inRange(0, 4);
  if (Kind < 2)
    return *rc::gen::elementOf(Values);
  const int Count = *rc::gen::inRange(0, 6);
  std::string Text;
  for (int I = 0; I < Count; ++I) {
    if (I > 0)
      Text += ",";
    if (Kind == 2)
      Text += "\"" + *rc::gen::elementOf(Names) + "\":";
    Text += drawOddValue(Names, Depth - 1);
  }
  return Kind == 2 ? "{" + Text + "}" : "[" + Text + "]";
}

/// Draws an object with all of these fields, or arbitrary bytes.
inline std::string drawOddText(const std::vector<std::string> &Names) {
  constexpr int MaxDepth = 4;
  if (*rc::gen::inRange(0, 8) == 0)
    return *rc::gen::arbitrary<std::string>();
  std::string Text = "{";
  for (const std::string &Name : Names)
    Text += (Text.size() > 1 ? ",\"" : "\"") + Name +
            "\":" + drawOddValue(Names, MaxDepth);
  return Text + "}";
}

} // namespace heathercross::test
