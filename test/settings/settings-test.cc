// Tests which settings are accepted and refused, and that all are documented.
#include "settings/schema.h"
#include "settings/settings.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace heathercross::settings;
using heathercross::Millis;
using heathercross::OperatorId;
using heathercross::test::section;

namespace {

const std::string MinimalSettings = R"([entry]
id = a1
zone = a
listen = 127.0.0.1:8001
[peer]
listen = 127.0.0.1:9001
key_file = peer.key
peers = 127.0.0.1:9002, [::1]:9003
[platform]
address = 127.0.0.1:7000
[access]
tokens_file = tokens
[committee]
members = ada, ben, cleo
chair = ben
)";

/// Returns the minimal settings with From replaced by To.
std::string withReplaced(const std::string &From, const std::string &To) {
  std::string Text = MinimalSettings;
  const auto Position = Text.find(From);
  CPPUNIT_ASSERT_MESSAGE(From, Position != std::string::npos);
  return Text.replace(Position, From.size(), To);
}

/// Returns the minimal settings with a line added at the start of a section.
std::string withLine(const std::string &Section, const std::string &Line) {
  const std::string Header = "[" + Section + "]\n";
  if (MinimalSettings.find(Header) == std::string::npos)
    return MinimalSettings + Header + Line;
  return withReplaced(Header, Header + Line);
}

std::vector<Problem> problemsOf(const std::string &Text) {
  try {
    parse(Text, "x.ini");
  } catch (const SettingsError &E) {
    return E.problems();
  }
  return {};
}

/// Expects exactly one problem and returns its description.
std::string onlyProblem(const std::string &Text) {
  const auto Problems = problemsOf(Text);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Problems.size());
  return describe(Problems.front());
}

void expectProblem(const std::string &Expected, const std::string &Text) {
  const std::string Found = onlyProblem(Text);
  CPPUNIT_ASSERT_EQUAL(Expected, Found.substr(0, Expected.size()));
}

} // namespace

HEATHERCROSS_STORY(SettingsAccepted, "valid settings are loaded") {
  const Settings S = parse(MinimalSettings, "x.ini");
  section("values get their types", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), S.Entry_.Id_.str());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, S.Peer_.Peers_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:9003"), S.Peer_.Peers_[1].str());
    CPPUNIT_ASSERT(S.Committee_.Members_[2] == OperatorId("cleo"));
  });
  section("keys that aren't given get their defaults", [&] {
    CPPUNIT_ASSERT(S.Entry_.StopGrace_ == Millis(5000));
    CPPUNIT_ASSERT(S.Request_.Picker_ == Picker::SharedSlots);
    CPPUNIT_ASSERT(S.Request_.Overflow_);
    CPPUNIT_ASSERT(S.Control_.Lease_ == Millis(4000));
    CPPUNIT_ASSERT(S.History_.File_.empty());
  });
  section("comments, whitespace and carriage returns are ignored", [&] {
    const auto T =
        parse(withReplaced("zone = a\n", "; note\r\n\r\n  zone=\tb \r\n"), "");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), T.Entry_.Zone_.str());
  });
  section("choices and flags", [&] {
    const auto T = parse(
        MinimalSettings + "[request]\npicker = random\noverflow = off\n", "");
    CPPUNIT_ASSERT(T.Request_.Picker_ == Picker::Random);
    CPPUNIT_ASSERT(!T.Request_.Overflow_);
  });
}

HEATHERCROSS_STORY(SettingsRefused,
                   "each kind of problem is reported with its line") {
  section("unknown section and key", [] {
    expectProblem("x.ini:17: [fleet] size unknown-section: found fleet; "
                  "allowed entry | peer",
                  MinimalSettings + "[fleet]\nsize = 3\n");
    expectProblem("x.ini:3: [entry] zones unknown-key: found zones; "
                  "allowed id | zone | listen",
                  withReplaced("zone = a", "zones = b\nzone = a"));
  });
  section("wrong type", [] {
    expectProblem("x.ini:17: [log] level wrong-type: found loud; allowed info "
                  "| warning | error",
                  MinimalSettings + "[log]\nlevel = loud\n");
    expectProblem("x.ini:4: [entry] listen wrong-type: found localhost:8001; "
                  "allowed IP:PORT",
                  withReplaced("127.0.0.1:8001", "localhost:8001"));
    expectProblem("x.ini:17: [control] step_ms wrong-type: found 5s; allowed "
                  "integer from 20 to 60000 ms",
                  MinimalSettings + "[control]\nstep_ms = 5s\n");
    expectProblem("x.ini:14: [committee] members wrong-type: found ada, b n",
                  withReplaced("ada, ben, cleo", "ada, b n"));
  });
  section("out of range", [] {
    expectProblem("x.ini:17: [request] retry_percent out-of-range: found 101; "
                  "allowed integer from 0 to 100 %",
                  MinimalSettings + "[request]\nretry_percent = 101\n");
    expectProblem(
        "x.ini:17: [control] step_ms out-of-range: found 9999999999999",
        MinimalSettings + "[control]\nstep_ms = 99999999999999999999\n");
  });
  section("missing", [] {
    expectProblem("x.ini: [entry] zone missing: found nothing; allowed 1 to 64",
                  withReplaced("zone = a\n", ""));
  });
  section("duplicate section, key and list element", [] {
    expectProblem("x.ini:16: [peer] duplicate: found [peer]; allowed each "
                  "section once",
                  MinimalSettings + "[peer]\n");
    expectProblem("x.ini:4: [entry] zone duplicate: found zone = b",
                  withReplaced("zone = a", "zone = a\nzone = b"));
    expectProblem("x.ini:14: [committee] members duplicate: found ada, ada",
                  withReplaced("ada, ben, cleo", "ada, ada"));
  });
  section("a line with nothing but a word", [] {
    expectProblem("x.ini:3: [entry] malformed: found zone",
                  withReplaced("zone = a", "zone\nzone = a"));
  });
  section("an unreadable file", [] {
    for (const char *File : {"/nonexistent/x.ini", "/"})
      CPPUNIT_ASSERT_THROW(load(File), SettingsError);
  });
}

HEATHERCROSS_STORY(SettingsConflicts, "settings that contradict each other") {
  section("a chair who is no member", [] {
    expectProblem("x.ini:15: [committee] chair conflicting: found dan",
                  withReplaced("chair = ben", "chair = dan"));
  });
  section("its own address among the peers", [] {
    expectProblem("x.ini:8: [peer] peers conflicting: found 127.0.0.1:9001",
                  withReplaced("127.0.0.1:9002", "127.0.0.1:9001"));
  });
  section("a drain deadline below the stop grace, even by default", [] {
    expectProblem("x.ini: [entry] drain_deadline_ms conflicting: found 30000",
                  withReplaced("zone = a", "zone = a\nstop_grace_ms = 30001"));
  });
  section("equal listen addresses", [] {
    expectProblem("x.ini:6: [peer] listen conflicting: found 127.0.0.1:8001",
                  withReplaced("127.0.0.1:9001", "127.0.0.1:8001"));
  });
  section("a lease shorter than two steps", [] {
    expectProblem("x.ini:17: [control] lease_ms conflicting: found 900 ms",
                  MinimalSettings + "[control]\nlease_ms = 900\n");
  });
}

HEATHERCROSS_STORY(SettingsAllAtOnce, "all problems are reported at once") {
  section("in the order of the lines, missing keys first", [] {
    const auto Problems = problemsOf("[entry]\nid = a b\n[nowhere]\nx = 1\n");
    std::vector<ProblemKind> Kinds;
    std::ranges::transform(Problems, std::back_inserter(Kinds),
                           &Problem::Kind_);
    CPPUNIT_ASSERT(std::ranges::count(Kinds, ProblemKind::Missing) == 8);
    CPPUNIT_ASSERT(Kinds[8] == ProblemKind::WrongType);
    CPPUNIT_ASSERT(Kinds[9] == ProblemKind::UnknownSection);
  });
  section("a number is refused exactly if it is outside its range", [] {
    for (const KeySpec &Spec : schema()) {
      if (Spec.Type_ != ValueType::Integer || Spec.Key_ == "seed")
        continue;
      for (const std::int64_t N :
           {Spec.Min_ - 1, Spec.Min_, Spec.Max_, Spec.Max_ + 1}) {
        const std::string Section(Spec.Section_);
        std::string Line(Spec.Key_);
        Line += "=" + std::to_string(N) + "\n";
        const auto Problems = problemsOf(withLine(Section, Line));
        const bool Refused = std::ranges::any_of(Problems, [](auto &P) {
          return P.Kind_ == ProblemKind::OutOfRange;
        });
        CPPUNIT_ASSERT_EQUAL(N < Spec.Min_ || N > Spec.Max_, Refused);
      }
    }
  });
  HEATHERCROSS_PROPERTY(
      "arbitrary text gives problems, not settings",
      [](const std::string &Text) { RC_ASSERT(!problemsOf(Text).empty()); });
}

HEATHERCROSS_STORY(SettingsDocumented, "docs/SETTINGS.md shows every key") {
  const auto File =
      std::filesystem::path(__FILE__).parent_path() / "../../docs/SETTINGS.md";
  std::ifstream Input(File);
  std::stringstream Page;
  Page << Input.rdbuf();
  section("with unit, default and range, as --settings-help prints", [&] {
    CPPUNIT_ASSERT(Page.str().find(settingsHelp()) != std::string::npos);
  });
  section("the help covers all of the schema", [] {
    const std::string Help = settingsHelp();
    for (const KeySpec &Spec : schema()) {
      CPPUNIT_ASSERT(Help.find("| `" + std::string(Spec.Key_) + "` |") !=
                     std::string::npos);
      CPPUNIT_ASSERT(!Spec.Description_.empty());
    }
  });
  section("each default is within its own range",
          [] { CPPUNIT_ASSERT(problemsOf(MinimalSettings).empty()); });
}
