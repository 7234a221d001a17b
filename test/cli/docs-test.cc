// Tests that the documentation covers the names that the sources define.
#include "heathercross/outcome.h"
#include "support/story.h"

#include <QRegularExpression>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace fs = std::filesystem;
using heathercross::test::section;

namespace {

const fs::path Root = HEATHERCROSS_SOURCE;

std::string readFile(const fs::path &File) {
  std::ifstream Input(File);
  return {std::istreambuf_iterator<char>(Input), {}};
}

/// Returns the concatenated headers and sources below a folder.
std::string sourcesIn(const char *Folder) {
  std::string Text;
  for (const auto &Entry : fs::recursive_directory_iterator(Root / Folder))
    if (Entry.path().extension() == ".h" || Entry.path().extension() == ".cc")
      Text += readFile(Entry.path());
  return Text;
}

/// Returns every match of the first capture group of a pattern in a text.
std::set<std::string> matches(const std::string &Text, const char *Pattern) {
  const QRegularExpression Expression(Pattern);
  std::set<std::string> Found;
  auto Matches = Expression.globalMatch(QString::fromStdString(Text));
  while (Matches.hasNext())
    Found.insert(Matches.next().captured(1).toStdString());
  return Found;
}

/// Fails if the text lacks any of the names, and lists those.
void expectAll(const std::set<std::string> &Names, const std::string &Text) {
  std::string Missing;
  for (const std::string &Name : Names)
    if (Text.find(Name) == std::string::npos)
      Missing += Name + " ";
  CPPUNIT_ASSERT_EQUAL(std::string(), Missing);
  CPPUNIT_ASSERT(!Names.empty());
}

} // namespace

HEATHERCROSS_STORY(DocsApi, "docs/API.md names every outcome and failure") {
  const std::string Page = readFile(Root / "docs/API.md");
  section("outcomes and reasons", [&] {
    std::set<std::string> Names;
    for (const auto &[Value, Name] : heathercross::detail::OutcomeNames)
      Names.insert("| `" + std::string(Name) + "` |");
    for (const auto &[Value, Name] : heathercross::detail::ReasonNames)
      Names.insert("| `" + std::string(Name) + "` |");
    expectAll(Names, Page);
  });
  section("codes of failures", [&] {
    std::set<std::string> Rows;
    const std::string Sources = sourcesIn("include") + sourcesIn("src");
    for (const std::string &Code :
         matches(Sources, R"(code\(\) const noexcept override \{\s*)"
                          R"re(return "([a-z-]+)")re"))
      Rows.insert("| `" + Code + "` |");
    expectAll(Rows, Page);
  });
}

HEATHERCROSS_STORY(DocsGlossary, "pages name types and metrics that exist") {
  section("each type of the glossary is declared", [] {
    const std::string Sources = sourcesIn("include") + sourcesIn("src");
    const auto Types =
        matches(readFile(Root / "docs/GLOSSARY.md"), "`([A-Z][A-Za-z]+)`");
    const auto Declared =
        matches(Sources, "(?:struct|class|using) ([A-Z][A-Za-z]+)");
    const auto Enums = matches(Sources, "enum class ([A-Z][A-Za-z]+)");
    std::string AllNames;
    for (const auto &Set : {Declared, Enums})
      for (const std::string &Name : Set)
        AllNames += Name + "\n";
    expectAll(Types, AllNames);
  });
  section("each metric of the operators' page is reported", [] {
    const std::string Page = readFile(Root / "docs/OPERATIONS.md");
    expectAll(matches(Page, "`(heathercross_[a-z_]+)`"), sourcesIn("src"));
  });
}

HEATHERCROSS_STORY(DocsLinks, "the pages that README names are there") {
  for (const char *PageName : {"API", "SETTINGS", "OPERATIONS", "GLOSSARY",
                               "CONTRIBUTING", "INTERFACES"}) {
    const std::string Page = std::string("docs/") + PageName + ".md";
    CPPUNIT_ASSERT(readFile(Root / "README.md").find(Page) !=
                   std::string::npos);
    CPPUNIT_ASSERT(fs::exists(Root / Page));
  }
}
