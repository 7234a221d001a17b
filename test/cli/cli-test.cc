// Tests the requests, output and exit codes of the operators' tool.
#include "standin/common/http-server.h"
#include "support/story.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>
#include <QTimer>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace heathercross::standin;
using heathercross::test::section;

namespace {

constexpr int ProcessTimeoutMs = 20'000;

/// Creates the application object that Qt sockets and processes require.
void createApplication() {
  static int Argc = 1;
  static char Name[] = "cli-test";
  static char *Argv[] = {Name, nullptr};
  static const QCoreApplication Application(Argc, Argv);
}

/// An entry instance that returns fixed replies and records its requests.
class FakeEntry {
public:
  FakeEntry()
      : Server_([this](const HttpRequest &R, const Responder &Respond) {
          Requests_.push_back(R);
          const auto I = Replies_.find(R.Method_ + " " + R.Path_);
          Respond(I == Replies_.end() ? jsonResponse("{}", 404) : I->second);
        }) {
    CPPUNIT_ASSERT(Server_.listen(0));
  }

  void setReply(const QByteArray &Call, const QByteArray &Body,
                int Status = 200) {
    Replies_[Call] = jsonResponse(Body, Status);
  }
  void closeUnanswered(const QByteArray &Call) {
    Replies_[Call].Fault_ = ResponseFault::CloseWithoutResponse;
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }
  const std::vector<HttpRequest> &requests() const { return Requests_; }
  QJsonObject lastBody() const {
    return QJsonDocument::fromJson(Requests_.back().Body_).object();
  }

  /// The text of the last submitted ticket.
  QJsonObject lastText() const { return lastBody()["text"].toObject(); }

private:
  std::map<QByteArray, HttpResponse> Replies_;
  std::vector<HttpRequest> Requests_;
  HttpServer Server_;
};

struct ProcessResult {
  int Exit_;
  std::string Output_;
  std::string Errors_;
};

/// Runs the tool in an event loop, so that the fake entry instance can reply.
ProcessResult runTool(const QStringList &Arguments,
                      const QByteArray &Input = {}) {
  QProcess P;
  QEventLoop Loop;
  QObject::connect(&P, &QProcess::finished, &Loop, &QEventLoop::quit);
  QTimer::singleShot(ProcessTimeoutMs, &Loop, &QEventLoop::quit);
  P.start(qEnvironmentVariable("HEATHERCROSS_BIN", ".") + "/heathercross",
          Arguments);
  P.write(Input);
  P.closeWriteChannel();
  Loop.exec();
  CPPUNIT_ASSERT(P.state() == QProcess::NotRunning);
  return {P.exitCode(), P.readAllStandardOutput().toStdString(),
          P.readAllStandardError().toStdString()};
}

/// Runs the tool against a fake entry instance.
ProcessResult runToolAt(const FakeEntry &E, QStringList Arguments,
                        const QByteArray &Input = {}) {
  Arguments << "--address" << QString::fromStdString(E.address());
  return runTool(Arguments, Input);
}

void expectExit(int Expected, const ProcessResult &E) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(E.Output_ + E.Errors_, Expected, E.Exit_);
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

const QByteArray View =
    R"({"head":7,"pools":[{"name":"quotes","size":10,"spare":false}],)"
    R"("budgets":[],"quotas":[],"waves":[{"name":"w1","pool":"quotes",)"
    R"("mode":"running","drain_limit_ms":1000}],)"
    R"("versions":{"pool/quotes":3,"wave/w1":5}})";
const QByteArray OpenTicket =
    R"({"number":8,"author":"ada","state":"open","votes":{"ada":"yes"},)"
    R"("text":{"changes":[{"pool":{"name":"quotes","size":12,"spare":false}}],)"
    R"("against":{"pool/quotes":2}}})";

} // namespace

HEATHERCROSS_STORY(CliExitCodes, "the exit code shows how a command ended") {
  createApplication();
  FakeEntry E;
  section("0: done", [&] {
    E.setReply("GET /v1/view", View);
    expectExit(0, runToolAt(E, {"budget", "list"}));
  });
  section("1: refused, with the failure's code", [&] {
    E.setReply("POST /v1/tickets/8/votes",
               R"({"error":"ticket-closed","message":"it is closed"})", 409);
    const ProcessResult Vote = runToolAt(E, {"ticket", "vote", "8", "yes"});
    expectExit(1, Vote);
    CPPUNIT_ASSERT(contains(Vote.Errors_, "ticket-closed: it is closed"));
    E.setReply("POST /v1/tickets/8/votes", "{}", 503);
    expectExit(1, runToolAt(E, {"ticket", "vote", "8", "yes"}));
  });
  section("1: a vote on a ticket that is out of date", [&] {
    QByteArray Conflicted = OpenTicket;
    E.setReply("POST /v1/tickets/8/votes",
               Conflicted.replace("\"open\"", "\"conflicted\""));
    expectExit(1, runToolAt(E, {"ticket", "vote", "8", "yes"}));
  });
  section("2: usage, and nothing is sent", [&] {
    const std::size_t Before = E.requests().size();
    for (const QStringList &InvalidArguments :
         {QStringList{},
          {"ticket"},
          {"ticket", "vote", "x", "yes"},
          {"ticket", "vote", "8", "maybe"},
          {"pool", "list", "extra"},
          {"pool", "list", "--frobnicate"},
          {"pool", "list", "--cores", "1"},
          {"pool", "list", "--timeout-ms", "soon"},
          {"pool", "list", "--state"},
          {"pool", "list", "--token-file", "/nonexistent"}})
      expectExit(2, runToolAt(E, InvalidArguments));
    expectExit(2, runTool({"pool", "list", "--address", "localhost:8000"}));
    CPPUNIT_ASSERT_EQUAL(Before, E.requests().size());
  });
  section("3: unreachable", [&] {
    expectExit(
        3, runTool({"ticket", "vote", "8", "yes", "--address", "127.0.0.1:1"}));
    E.closeUnanswered("GET /v1/pools");
    expectExit(3, runToolAt(E, {"pool", "list"}));
  });
  section("4: unknown, when a change's answer is lost; it is sent once", [&] {
    E.closeUnanswered("POST /v1/tickets/8/votes");
    const std::size_t Before = E.requests().size();
    const ProcessResult Vote =
        runToolAt(E, {"ticket", "vote", "8", "yes", "--json"});
    expectExit(4, Vote);
    CPPUNIT_ASSERT(contains(Vote.Output_, R"({"error":"unknown-outcome")"));
    CPPUNIT_ASSERT_EQUAL(Before + 1, E.requests().size());
    E.setReply("POST /v1/tickets/8/votes", "{}", 504);
    expectExit(4, runToolAt(E, {"ticket", "vote", "8", "yes"}));
  });
}

HEATHERCROSS_STORY(CliTables, "tables for people, JSON for machines") {
  createApplication();
  FakeEntry E;
  E.setReply("GET /v1/instances",
             R"({"instances":[{"id":"w-a-10","pool":"quotes","state":"active",)"
             R"("zone":"a","rack":"r1","address":"127.0.0.1:1","busy":3}]})");
  section("columns are aligned, and fields without a fixed place follow", [&] {
    CPPUNIT_ASSERT_EQUAL(
        std::string("ID      POOL    STATE   ZONE  RACK  ADDRESS      BUSY\n"
                    "w-a-10  quotes  active  a     r1    127.0.0.1:1  3\n"),
        runToolAt(E, {"instance", "list"}).Output_);
  });
  section("JSON has the same rows", [&] {
    const auto Output = runToolAt(E, {"--json", "instance", "list"}).Output_;
    CPPUNIT_ASSERT(
        contains(Output, R"({"instances":[{"address":"127.0.0.1:1")"));
  });
  section("an empty list says so", [&] {
    E.setReply("GET /v1/view", View);
    CPPUNIT_ASSERT_EQUAL(std::string("(none)\n"),
                         runToolAt(E, {"quota", "list"}).Output_);
  });
  section("a ticket's differences, and its older version, are shown", [&] {
    E.setReply("GET /v1/tickets/8", OpenTicket);
    const std::string Diff = runToolAt(E, {"ticket", "diff", "8"}).Output_;
    CPPUNIT_ASSERT(contains(Diff, "pool/quotes  (version)  3         2\n"));
    CPPUNIT_ASSERT(contains(Diff, "pool/quotes  size       10        12\n"));
    CPPUNIT_ASSERT(!contains(Diff, "spare"));
  });
  section("a ticket shows its state and votes", [&] {
    const std::string Shown = runToolAt(E, {"ticket", "show", "8"}).Output_;
    CPPUNIT_ASSERT(contains(Shown, "ticket 8 open, by ada\nvotes: ada=yes\n"));
  });
  section("every command's help has an example", [&] {
    const std::string ToolHelp = runTool({"--help"}).Output_;
    CPPUNIT_ASSERT(contains(ToolHelp, "exit codes: 0 done, 1 refused"));
    const ProcessResult CommandHelp = runTool({"wave", "create", "--help"});
    expectExit(0, CommandHelp);
    CPPUNIT_ASSERT(
        contains(CommandHelp.Output_, "example:\n  heathercross wave create"));
    CPPUNIT_ASSERT(contains(CommandHelp.Output_, "--drain-limit-ms"));
  });
}

HEATHERCROSS_STORY(CliCompletion, "completion knows every command and flag") {
  createApplication();
  const auto File = std::filesystem::path(__FILE__).parent_path() /
                    "../../support/completion";
  std::ifstream Input(File);
  const std::string Script(std::istreambuf_iterator<char>(Input), {});
  std::istringstream Help(runTool({"--help"}).Output_);
  int Commands = 0;
  for (std::string Line; std::getline(Help, Line);) {
    if (!Line.starts_with("  "))
      continue;
    std::istringstream Words(Line);
    std::string Group;
    std::string Verb;
    Words >> Group >> Verb;
    const bool HasVerb = !Verb.empty() && Verb[0] >= 'a' && Verb[0] <= 'z';
    CPPUNIT_ASSERT_MESSAGE(Line, contains(Script, Group));
    CPPUNIT_ASSERT_MESSAGE(Line, Group.starts_with("--") || !HasVerb ||
                                     contains(Script, Verb));
    ++Commands;
  }
  CPPUNIT_ASSERT(Commands > 20);
}

HEATHERCROSS_STORY(CliCommands, "what the commands send") {
  createApplication();
  FakeEntry E;
  E.setReply("GET /v1/view", View);
  E.setReply("POST /v1/tickets", OpenTicket);
  section("pausing a wave keeps its other fields, against its version", [&] {
    expectExit(0, runToolAt(E, {"wave", "pause", "w1"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"number":8,"text":{"against":{"wave/w1":5},"changes":)"
                    R"([{"wave":{"drain_limit_ms":1000,"mode":"paused",)"
                    R"("name":"w1","pool":"quotes"}}]}})"),
        QJsonDocument(E.lastBody())
            .toJson(QJsonDocument::Compact)
            .toStdString());
    expectExit(1, runToolAt(E, {"wave", "pause", "w2"}));
  });
  section("a new wave is written against version zero", [&] {
    expectExit(0,
               runToolAt(E, {"wave", "create", "w2", "quotes", "--ticket=9"}));
    CPPUNIT_ASSERT_EQUAL(9, E.lastBody()["number"].toInt());
    CPPUNIT_ASSERT_EQUAL(0,
                         E.lastText()["against"].toObject()["wave/w2"].toInt());
  });
  section("a ticket's text is taken from the input", [&] {
    const QByteArray Text = R"({"changes":[],"against":{}})";
    expectExit(0, runToolAt(E, {"ticket", "submit", "8", "-"}, Text));
    CPPUNIT_ASSERT(E.lastText()["changes"].isArray());
    expectExit(2, runToolAt(E, {"ticket", "submit", "8", "-"}, "[1]"));
  });
  section("many jobs: each has its row, and the worst decides in the end", [&] {
    E.setReply("GET /v1/jobs/j1", R"({"id":"j1","state":"running"})");
    const ProcessResult Status = runToolAt(E, {"job", "status", "j1", "j/2"});
    expectExit(1, Status);
    CPPUNIT_ASSERT(contains(Status.Output_, "j1   running"));
    CPPUNIT_ASSERT(contains(Status.Output_, "j/2  -"));
    E.setReply("GET /v1/jobs/j1/result", "42\n");
    CPPUNIT_ASSERT_EQUAL(std::string("42\n"),
                         runToolAt(E, {"job", "result", "j1"}).Output_);
  });
  section("cancelling from the input goes in batches", [&] {
    QByteArray Ids;
    QJsonObject States;
    for (int I = 0; I != 201; ++I) {
      Ids += "j" + QByteArray::number(I) + "\n";
      States["j" + QString::number(I)] = "cancelled";
    }
    E.setReply("POST /v1/jobs/cancel", QJsonDocument(States).toJson());
    const std::size_t Before = E.requests().size();
    expectExit(0, runToolAt(E, {"job", "cancel", "-"}, Ids));
    CPPUNIT_ASSERT_EQUAL(Before + 2, E.requests().size());
    CPPUNIT_ASSERT_EQUAL(qsizetype{1}, E.lastBody()["ids"].toArray().size());
    const ProcessResult Other =
        runToolAt(E, {"job", "cancel", "j1", "of-others"});
    expectExit(1, Other);
    CPPUNIT_ASSERT(contains(Other.Output_, "no-such-job"));
  });
  section("jobs are submitted from JSON lines", [&] {
    E.setReply("POST /v1/jobs", R"({"id":"j1","state":"waiting"})", 202);
    expectExit(0, runToolAt(E, {"job", "submit", "-"},
                            "{\"id\":\"j1\",\"pool\":\"p\"}\n"));
    expectExit(0,
               runToolAt(E, {"job", "submit", "j1", "p", "--work-ms", "50"}));
    CPPUNIT_ASSERT_EQUAL(50, E.lastBody()["work_ms"].toInt());
  });
}

HEATHERCROSS_STORY(CliProcesses, "tokens, dumps and views of processes") {
  createApplication();
  FakeEntry E;
  section("the token goes into the header, its file is closed to others", [&] {
    E.setReply("GET /v1/view", View);
    const QTemporaryDir Folder;
    const QString File = Folder.filePath("token");
    std::ofstream(File.toStdString()) << "secret\n";
    const auto RunWith = [&](unsigned Permissions) {
      std::filesystem::permissions(File.toStdString(),
                                   std::filesystem::perms(Permissions));
      return runToolAt(E, {"budget", "list", "--token-file", File});
    };
    expectExit(0, RunWith(0600));
    CPPUNIT_ASSERT_EQUAL(
        std::string("Bearer secret"),
        E.requests().back().header("authorization").toStdString());
    expectExit(2, RunWith(0644));
  });
  section("the line of a token", [] {
    const ProcessResult Line = runTool({"token", "team", "x"}, "abc\n");
    CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61"
                    "f20015ad team x\n"),
        Line.Output_);
    expectExit(2, runTool({"token", "king", "x"}, "abc\n"));
    expectExit(2, runTool({"token", "team", "x/y"}, "abc\n"));
  });
  section("which view is in force in each process", [&] {
    FakeEntry Older;
    QByteArray OlderView = View;
    Older.setReply("GET /v1/view",
                   OlderView.replace("\"head\":7", "\"head\":6"));
    const std::string AddressList = E.address() + "," + Older.address();
    const QString Addresses = QString::fromStdString(AddressList);
    const ProcessResult Views = runTool({"view", "--addresses", Addresses});
    expectExit(0, Views);
    CPPUNIT_ASSERT(contains(Views.Output_, E.address() + "  7     newest\n"));
    CPPUNIT_ASSERT(
        contains(Views.Output_, Older.address() + "  6     older\n"));
    const ProcessResult WithUnreachable =
        runTool({"view", "--addresses", Addresses + ",127.0.0.1:1"});
    expectExit(3, WithUnreachable);
    CPPUNIT_ASSERT(contains(WithUnreachable.Output_, "unreachable"));
  });
  section("a dump", [&] {
    E.setReply("GET /dump", R"({"fleet":{"head":7}})");
    const ProcessResult Dump =
        runTool({"dump", QString::fromStdString(E.address())});
    expectExit(0, Dump);
    CPPUNIT_ASSERT(contains(Dump.Output_, "\"head\": 7"));
  });
}
