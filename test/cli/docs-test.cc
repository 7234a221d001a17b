// Tests that the pages name what the sources have.
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

std::string read(const fs::path &File) {
  std::ifstream Input(File);
  return {std::istreambuf_iterator<char>(Input), {}};
}

/// All headers and sources below a folder as one text.
std::string sourcesIn(const char *Folder) {
  std::string Text;
  for (const auto &Entry : fs::recursive_directory_iterator(Root / Folder))
    if (Entry.path().extension() == ".h" || Entry.path().extension() == ".cc")
      Text += read(Entry.path());
  return Text;
}

/// What the first group of a pattern matches in a text.
std::set<std::string> matches(const std::string &Text, const char *Pattern) {
  const QRegularExpression Wanted(Pattern);
  std::set<std::string> Found;
  auto Left = Wanted.globalMatch(QString::fromStdString(Text));
  while (Left.hasNext())
    Found.insert(Left.next().captured(1).toStdString());
  return Found;
}

/// Fails with the names that a text lacks.
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
  const std::string Page = read(Root / "docs/API.md");
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
        matches(read(Root / "docs/GLOSSARY.md"), "`([A-Z][A-Za-z]+)`");
    const auto Declared =
        matches(Sources, "(?:struct|class|using) ([A-Z][A-Za-z]+)");
    const auto Enums = matches(Sources, "enum class ([A-Z][A-Za-z]+)");
    std::string All;
    for (const auto &Set : {Declared, Enums})
      for (const std::string &Name : Set)
        All += Name + "\n";
    expectAll(Types, All);
  });
  section("each metric of the operators' page is reported", [] {
    const std::string Page = read(Root / "docs/OPERATIONS.md");
    expectAll(matches(Page, "`(heathercross_[a-z_]+)`"), sourcesIn("src"));
  });
}

HEATHERCROSS_STORY(DocsLinks, "the pages that README names are there") {
  for (const char *Own : {"API", "SETTINGS", "OPERATIONS", "GLOSSARY",
                          "CONTRIBUTING", "INTERFACES"}) {
    const std::string Page = std::string("docs/") + Own + ".md";
    CPPUNIT_ASSERT(read(Root / "README.md").find(Page) != std::string::npos);
    CPPUNIT_ASSERT(fs::exists(Root / Page));
  }
}
