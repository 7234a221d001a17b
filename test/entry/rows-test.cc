// Tests of the row encoding and of the settings of an entry.
#include "entry/entry-settings.h"
#include "entry/rows.h"
#include "support/story.h"

#include <fstream>
#include <iterator>

using namespace heathercross;
using namespace heathercross::entry;
using heathercross::test::section;

namespace {

const char *const Settings = R"([entry]
name = edge-1
zone = a
cpu_share = 0.25
[listen]
front = 10.1.0.9:8624
ready = 10.1.0.9:8622
peers = 10.1.0.9:7060
[store]
address = 10.2.0.7:8621
[machines]
address = 10.2.0.8:8621
orders_per_s = 64.0
[advice]
address =
[bounds]
run_lease_max_ms = 10000
order_lease_ms = 3000
order_fencing = true
status_kept_s = 120
stop_grace_s = 6
move_s = 1.5
upkeep_s = 2
)";

std::string problemsOf(const std::string &Text) {
  try {
    parseEntrySettings(Text, "f");
  } catch (const settings::SettingsError &E) {
    std::string All;
    for (const auto &P : E.problems())
      All += P.Section_ + "." + P.Key_ + " " + std::string(name(P.Kind_)) + ";";
    return All;
  }
  return {};
}

} // namespace

HEATHERCROSS_STORY(EntryRows, "rows are read as they were written") {
  const schedule::HolderRow H{EntryId("edge-1/17"), "10.0.0.1:7060", Epoch(3),
                              41};
  CPPUNIT_ASSERT(decodeHolder(encodeHolder(H)) == H);
  CPPUNIT_ASSERT(!decodeHolder("{}"));
  const JobRow J{schedule::QueueId("q"), R"({"spec":"\"ä"})",
                 schedule::WallTime(Millis(1'700'000'000'123)), Epoch(2)};
  const auto Read = decodeJob(encodeJob(J));
  CPPUNIT_ASSERT(Read && Read->Body_ == J.Body_ &&
                 Read->Accepted_ == J.Accepted_ && Read->Epoch_ == J.Epoch_);
  CPPUNIT_ASSERT(Read->Account_.empty());
  JobRow Owned = J;
  Owned.Account_ = AccountId("mill");
  const auto ReadOwned = decodeJob(encodeJob(Owned));
  CPPUNIT_ASSERT(ReadOwned && ReadOwned->Account_ == AccountId("mill"));
  CPPUNIT_ASSERT(!decodeJob("[]"));
  const Roster R{
      {InstanceId("i-1"), {"10.0.0.2:80", std::nullopt}},
      {InstanceId("i-2"), {"10.0.0.3:80", Millis(1'234'567'890'123)}}};
  CPPUNIT_ASSERT(decodeRoster(encodeRoster(R)) == R);
  CPPUNIT_ASSERT(decodeRoster("odd").empty());
}

// Guards against numbers that are converted although they are out of range,
// which is undefined.
HEATHERCROSS_STORY(OddEntryRows, "rows with numbers out of range aren't used") {
  for (const char *Odd : {"-1", "1.5", "1e19", "1e308"}) {
    const std::string O = Odd;
    CPPUNIT_ASSERT(!decodeHolder(R"({"holder":"e","epoch":)" + O + "}"));
    CPPUNIT_ASSERT(
        !decodeHolder(R"({"holder":"e","epoch":1,"serial":)" + O + "}"));
    CPPUNIT_ASSERT(
        !decodeJob(R"({"queue":"q","body":"{}","accepted":)" + O + "}"));
    CPPUNIT_ASSERT(
        !decodeJob(R"({"queue":"q","body":"{}","epoch":)" + O + "}"));
  }
}

HEATHERCROSS_STORY(EntrySettingsFile, "settings are checked as a whole") {
  section("a valid file is parsed", [] {
    const EntrySettings S = parseEntrySettings(Settings, "f");
    CPPUNIT_ASSERT_EQUAL(Millis(1500).count(), S.Move_.count());
    CPPUNIT_ASSERT(!S.Advice_);
    CPPUNIT_ASSERT(S.OrderFencing_ == schedule::OrderFencing::Checked);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.9:7060"), S.Peers_.str());
  });
  section("a platform may not check the tokens of orders", [] {
    std::string Text = Settings;
    Text.replace(Text.find("order_fencing = true"), 20,
                 "order_fencing = false");
    CPPUNIT_ASSERT(parseEntrySettings(Text, "f").OrderFencing_ ==
                   schedule::OrderFencing::Unchecked);
    Text.replace(Text.find("order_fencing = false"), 21, "order_fencing = yes");
    CPPUNIT_ASSERT_EQUAL(std::string("bounds.order_fencing wrong-type;"),
                         problemsOf(Text));
  });
  section("each problem is named", [] {
    std::string Text = Settings;
    Text.replace(Text.find("cpu_share = 0.25"), 16, "cpu_share = much");
    Text.replace(Text.find("10.1.0.9:8622"), 13, "somewhere");
    Text.replace(Text.find("zone = a"), 8, "town = a");
    CPPUNIT_ASSERT_EQUAL(
        std::string("entry.zone missing;entry.cpu_share wrong-type;"
                    "listen.ready wrong-type;entry.town unknown-key;"),
        problemsOf(Text));
  });
  section("the template that the platform fills in has the same keys", [] {
    std::ifstream In(HEATHERCROSS_SOURCE "/deploy/entry.ini.template");
    std::string Text{std::istreambuf_iterator<char>(In), {}};
    CPPUNIT_ASSERT(problemsOf(Text).find("unknown-key") == std::string::npos);
    CPPUNIT_ASSERT(problemsOf(Text).find("missing") == std::string::npos);
  });
}

// Guards against settings of a queue that a later holder reads otherwise than
// the one that stored them.
HEATHERCROSS_STORY(QueueRows, "the settings of queues survive their row") {
  const PoolId Pool("quoting");
  schedule::QueueSettings Q;
  Q.Pool_ = Pool;
  Q.Priority_ = 3;
  Q.MaxFailures_ = 4;
  Q.ObjectiveFactor_ = 1.6;
  Q.ObjectiveSlack_ = Millis(600);
  Q.NeedsAdvice_ = true;
  Q.Ingress_ = schedule::IngressId("0123");
  Q.AdviceTimes_ = {Millis(20), Millis(1), Millis(3000)};
  const StoredQueues Queues{{schedule::QueueId("r-old"), Q},
                            {schedule::QueueId("r/\"odd\""), Q}};
  section("all of them are read back", [&] {
    CPPUNIT_ASSERT(decodeQueues(encodeQueues(Queues), Pool) == Queues);
  });
  section("an odd entry leaves the others", [&] {
    const std::string Row = encodeQueues({{schedule::QueueId("r-old"), Q}});
    for (const char *Odd :
         {R"("x":7,)", R"("x":{},)", R"("x":{"max_failures":0},)",
          R"("x":{"max_failures":1e30,"objective_factor":1},)",
          R"("x":{"max_failures":2,"objective_factor":-1},)"}) {
      std::string Text = Row;
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           decodeQueues(Text.insert(1, Odd), Pool).size());
    }
    CPPUNIT_ASSERT(decodeQueues("", Pool).empty());
  });
  section("an older version takes the row for a roster without workers",
          [&] { CPPUNIT_ASSERT(decodeRoster(encodeQueues(Queues)).empty()); });
}

// Guards against a holder that forgets which pools had its ingresses before, or
// that one is sealed.
HEATHERCROSS_STORY(IngressRows, "the claims of ingresses survive their rows") {
  const schedule::IngressId Id("0123");
  const schedule::IngressStates States{
      {Id, {8, 5, {PoolId("dispatch"), PoolId("common")}}},
      {schedule::IngressId("4567"), {0, 9, {}}}};
  const schedule::IngressOwners Owners{{PoolId("dispatch"), 5},
                                       {PoolId("common"), 8}};
  section("all of them are read back", [&] {
    CPPUNIT_ASSERT(decodeIngresses(encodeIngresses(States)) == States);
    CPPUNIT_ASSERT(decodeOwners(encodeOwners(Owners)) == Owners);
  });
  section("an odd entry leaves the others", [&] {
    std::string Text = encodeIngresses(States);
    Text.insert(1, R"("x":7,"y":{"claimed":-1,"sealed":0},)");
    CPPUNIT_ASSERT(decodeIngresses(Text) == States);
    CPPUNIT_ASSERT(decodeIngresses("").empty());
    CPPUNIT_ASSERT(decodeOwners("[]").empty());
  });
}
