// Tests "heathercross config check" on files.
#include "support/story.h"

#include <QCoreApplication>
#include <QProcess>
#include <QTemporaryDir>

#include <fstream>

using heathercross::test::section;

namespace {

constexpr int ProcessTimeoutMs = 20'000;

/// A folder with files for the tool.
class Folder {
public:
  QString write(const char *Name, const std::string &Text) const {
    QString Path = Dir_.filePath(Name);
    std::ofstream(Path.toStdString()) << Text;
    return Path;
  }
  QString path(const char *Name) const { return Dir_.filePath(Name); }

private:
  QTemporaryDir Dir_;
};

struct CheckResult {
  int Exit_;
  std::string Text_;
};

CheckResult check(QStringList Arguments) {
  QProcess P;
  Arguments = QStringList{"config", "check"} + Arguments;
  P.start(qEnvironmentVariable("HEATHERCROSS_BIN", ".") + "/heathercross",
          Arguments);
  CPPUNIT_ASSERT(P.waitForFinished(ProcessTimeoutMs));
  return {P.exitCode(), P.readAllStandardOutput().toStdString() +
                            P.readAllStandardError().toStdString()};
}

void expectResult(int Exit, const std::string &Text, const CheckResult &R) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(R.Text_, Exit, R.Exit_);
  CPPUNIT_ASSERT_MESSAGE(R.Text_, R.Text_.find(Text) != std::string::npos);
}

std::string document(int Version, const std::string &Routes,
                     const std::string &Tenants = "[]") {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":)" + Routes +
         R"(,"services":[{"name":"p"}],"tenants":)" + Tenants + "}";
}

const std::string Good =
    R"([{"name":"a","service":"p","prefix":"/a","attempts":2}])";

} // namespace

// Guards against a configuration with problems that a script sends, since the
// check reported success, and against keys in its output.
HEATHERCROSS_STORY(ConfigCheck,
                   "a configuration is checked before it is sent") {
  const Folder F;
  const QString New = F.write(
      "new.json",
      document(2, Good, R"([{"name":"t","keys":["secret-1"],"weight":2}])"));
  section("0 without problems",
          [&] { expectResult(0, "no problems", check({New})); });
  section("1 with problems", [&] {
    expectResult(1, "configuration: can't be read",
                 check({F.write("bad.json", "{")}));
    expectResult(
        1, "routes: 1 of 2 can't be read",
        check({F.write("out.json",
                       document(2, R"([{"name":"a","service":"p",)"
                                   R"("prefix":"/a"},{"name":"b"}])"))}));
    expectResult(
        1, "route a: allows no attempt of a task",
        check({F.write("none.json",
                       document(2, R"([{"name":"a","service":"p",)"
                                   R"("prefix":"/a","attempts":0}])"))}));
  });
  section("what changes, without keys", [&] {
    const QString Old = F.write(
        "old.json",
        document(1, Good, R"([{"name":"t","keys":["secret-2"],"weight":2}])"));
    const CheckResult R = check({New, "--current", Old});
    expectResult(0, "change: account t: keys added: 1, keys removed: 1", R);
    CPPUNIT_ASSERT(R.Text_.find("secret") == std::string::npos);
    expectResult(1, "version: 1 isn't higher than the current one, 2",
                 check({Old, "--current", New}));
    expectResult(0, R"("problems":[])", check({New, "--json"}));
  });
  section("a limit below the largest task", [&] {
    const QString Small = F.write(
        "small.json", document(2, Good,
                               R"([{"name":"t","keys":["k"],"weight":2,)"
                               R"("max_count":{"cpu":1000}}])"));
    expectResult(0, "no problems", check({Small}));
    expectResult(1, "has a limit below the largest task",
                 check({Small, "--largest-task", "2000,100,0"}));
  });
  section("2 for a wrong command line", [&] {
    expectResult(2, "can't read", check({F.path("missing.json")}));
    expectResult(2, "--largest-task", check({New, "--largest-task", "1,2"}));
    expectResult(2, "--largest-task", check({New, "--largest-task", "much"}));
  });
}
