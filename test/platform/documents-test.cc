// Tests of the decoders for documents of operators, workers and submitters.
#include "platform/documents.h"
#include "platform/ingress.h"
#include "platform/names.h"
#include "support/odd-json.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <cstring>

using namespace heathercross;
using namespace heathercross::platform_api;
using heathercross::test::section;

namespace {

const char *const Configuration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/q/","service":"s1","prio":1,
   "attempts":2,"slo_factor":1.6,"slo_ms":600,"timeout_ms":3000},
  {"name":"r2","host":"a.example","prefix":"/q/deep/","service":"s2",
   "hint":{"decide_ms":5,"each_ms":1,"valid_ms":3000}},
  {"name":"broken","host":3}],
  "services":[{"name":"s1"},{"name":"off","standby":true}],
  "limits":{"max_body_bytes":1000},"news":true})";

const char *const Worker = R"({"service":"s1","addr":"10.0.0.9:8080",
  "zone":"a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,
  "capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1-2"],"seq":4})";

} // namespace

HEATHERCROSS_STORY(Configurations, "the configuration is read whole") {
  const auto C = parseConfiguration(Configuration);
  CPPUNIT_ASSERT(C && C->Version_ == 7U);
  section("routes that can't be read are left out", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, C->Routes_.size());
    CPPUNIT_ASSERT_EQUAL(2U, C->Routes_[0].Settings_.MaxFailures_);
    CPPUNIT_ASSERT(!C->Routes_[0].Settings_.NeedsAdvice_);
    CPPUNIT_ASSERT(C->Routes_[1].Settings_.NeedsAdvice_);
    CPPUNIT_ASSERT((C->Routes_[1].Settings_.AdviceTimes_ ==
                    schedule::AdviceTimes{Millis(5), Millis(1), Millis(3000)}));
    CPPUNIT_ASSERT(C->Pools_[1].Standby_);
  });
  section("the longest matching prefix decides", [&] {
    CPPUNIT_ASSERT(C->route("a.example", "/q/x")->Queue_.str() == "r1");
    CPPUNIT_ASSERT(C->route("a.example", "/q/deep/x")->Queue_.str() == "r2");
    CPPUNIT_ASSERT(!C->route("b.example", "/q/x"));
  });
  section("anything else isn't a configuration", [&] {
    for (const char *Bad : {"", "[]", "{}", R"({"version":"7","routes":[]})"})
      CPPUNIT_ASSERT(!parseConfiguration(Bad));
  });
}

// Guards against accounts that are read in part: their keys would be refused,
// or their limits not kept.
HEATHERCROSS_STORY(Accounts, "the accounts are read with keys and limits") {
  const auto With = [](const std::string &Accounts) {
    return parseConfiguration(
        R"({"version":8,"routes":[{"name":"r1","host":"a.example",)"
        R"("prefix":"/q/","service":"s1","public":true}],"tenants":)" +
        Accounts + "}");
  };
  section("without any, none is needed", [] {
    const auto C = parseConfiguration(Configuration);
    CPPUNIT_ASSERT(!C->Accounts_ && !C->Routes_[0].Public_);
  });
  section("with some, each has keys, a weight and a limit", [&] {
    const auto C = With(R"([{"name":"mill","keys":["k1","k2"],"prio":1,
      "weight":119,"max_count":{"cpu":7569268,"mem_mb":15610782,"gpus":0}},
      {"name":"farm","keys":[]}])");
    CPPUNIT_ASSERT(C && C->Accounts_ && C->Routes_[0].Public_);
    const accounts::Account *Mill = C->Accounts_->findByKey("k2");
    CPPUNIT_ASSERT(Mill && Mill->Id_ == AccountId("mill"));
    CPPUNIT_ASSERT_EQUAL(119U, Mill->Weight_);
    CPPUNIT_ASSERT((Mill->Limit_ == Resources{7569268, 15610782, 0}));
    CPPUNIT_ASSERT(!C->Accounts_->find(AccountId("farm"))->hasLimit());
  });
  section("an empty list needs keys, and there are none", [&] {
    const auto C = With("[]");
    CPPUNIT_ASSERT(C && C->Accounts_ && !C->Accounts_->findByKey("k1"));
  });
  section("one that can't be read is left out", [&] {
    for (const char *Odd :
         {"3", R"({"name":"mill"})", R"({"name":"mill","keys":[3]})",
          R"({"name":"mill","keys":["k1"],"weight":-1})",
          R"({"name":"mill","keys":["k1"],"max_count":{"cpu":-1}})"}) {
      const auto C = With("[" + std::string(Odd) + "]");
      CPPUNIT_ASSERT(C && C->Accounts_ && C->Accounts_->accounts().empty());
    }
  });
  section("without a list the configuration isn't used", [&] {
    for (const char *Odd : {"3", "{}", "null"})
      CPPUNIT_ASSERT(!With(Odd));
  });
}

HEATHERCROSS_STORY(Registrations, "only valid registrations name a worker") {
  const auto W = parseWorker("i-1", Worker);
  CPPUNIT_ASSERT(W && W->Rack_ == RackId("r1-2") && !W->Draining_);
  CPPUNIT_ASSERT(!W->Incarnation_);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{16000}, W->Capacity_.CpuMilli_);
  const std::string Text = Worker;
  const auto Replaced = [&](const std::string &Old, const std::string &New) {
    std::string Changed = Text;
    return Changed.replace(Changed.find(Old), Old.size(), New);
  };
  CPPUNIT_ASSERT(parseWorker("i-1", Replaced("ready", "draining"))->Draining_);
  const auto Restarted =
      parseWorker("i-1", Replaced("\"seq\":4", "\"born\":1700000000123"));
  CPPUNIT_ASSERT(Restarted && Restarted->Incarnation_ == 1'700'000'000'123);
  for (const auto &Bad :
       {Replaced("\"ready\"", "\"odd\""), Replaced("\"s1\"", "4"),
        Replaced("{\"cpu\":16000,\"mem_mb\":32768}", "16000"),
        Replaced("16000", "\"x\""), std::string("\xff\xfe"), std::string("7")})
    CPPUNIT_ASSERT(!parseWorker("i-1", Bad));
}

// Guards against entries of another writer that end the process or are taken
// for workers.
HEATHERCROSS_STORY(OddRegistrations, "an odd entry names no worker") {
  const std::string Text = Worker;
  const auto With = [&](const std::string &Old, const std::string &New) {
    std::string Changed = Text;
    return Changed.replace(Changed.find(Old), Old.size(), New);
  };
  const auto AssertNone = [](const std::string &Entry) {
    CPPUNIT_ASSERT_MESSAGE(Entry.substr(0, 300), !parseWorker("i-1", Entry));
  };
  section("a deeply nested one", [&] {
    for (const std::size_t Depth : {10'000U, 100'000U})
      for (const std::string &Deep :
           {test::nestedArrays(Depth), test::nestedObjects("a", Depth),
            std::string(Depth, '['), test::nestedObjects("capacity", Depth)}) {
        AssertNone(Deep);
        AssertNone(With("16000", Deep));
        AssertNone(With("\"seq\":4", "\"odd\":" + Deep));
      }
  });
  section("one with a number out of range", [&] {
    for (const char *Odd : {"1e400", "-1e400", "1e308", "9e18", "1e19",
                            "9007199254740993", "-1", "1.5"})
      for (const char *Field : {"\"cpu\":16000", "\"mem_mb\":32768"}) {
        const std::string Name(Field, std::strchr(Field, ':') + 1);
        AssertNone(With(Field, Name + Odd));
      }
    for (const char *Odd : {"1e400", "1e308", "1e19", "-1", "1.5", "\"4\""}) {
      AssertNone(With("\"slots\":8", std::string("\"slots\":") + Odd));
      AssertNone(With("\"seq\":4", std::string("\"seq\":") + Odd));
    }
    for (const char *Odd :
         {"1e400", "1e308", "9e18", "-1", "1.5", "\"4\"", "null", "[]"})
      AssertNone(With("\"seq\":4", std::string("\"born\":") + Odd));
  });
  section("one whose address isn't an IPv4 address with a port", [&] {
    for (const char *Odd : {"",
                            ":",
                            ":80",
                            "10.0.0.9",
                            "10.0.0.9:",
                            "10.0.0.9:0",
                            "10.0.0.9:65536",
                            "10.0.0.9:99999",
                            "10.0.0.9:-1",
                            "10.0.0.9:8x",
                            "10.0.0.9:80@10.0.0.1:81",
                            "a@10.0.0.9:80",
                            "10.0.0.9:80/x",
                            "10.0.0.9:80\\n",
                            "10.0.0.9:80 ",
                            " 10.0.0.9:80",
                            "10.0.0.9\\u0000x:80",
                            "10.0.0.256:80",
                            "10.0.9:80",
                            "host:80",
                            "localhost:80",
                            "http://10.0.0.9:80",
                            "[::1]:80",
                            "::1:80"})
      AssertNone(With("10.0.0.9:8080", Odd));
  });
  section("one with fields that are missing or of another type", [&] {
    for (const char *Field :
         {"\"service\":\"s1\"", "\"addr\":\"10.0.0.9:8080\"", "\"zone\":\"a\"",
          "\"state\":\"ready\"", "\"labels\":[\"a\",\"r1-2\"]"}) {
      const std::string Name(Field, std::strchr(Field, ':') + 1);
      AssertNone(With(Field, "\"odd\":1"));
      for (const char *Odd : {"null", "7", "true", "{}", "[1]", "[[]]"})
        AssertNone(With(Field, Name + Odd));
    }
    AssertNone(With("\"version\":\"v1\"", "\"version\":1"));
    AssertNone(With("\"cold_left_ms\":0", "\"cold_left_ms\":\"0\""));
    for (const char *Odd : {"{}", "[]", "null", "{\"cpu\":1000}"})
      AssertNone(With("{\"cpu\":16000,\"mem_mb\":32768}", Odd));
  });
  section("one with long texts", [&] {
    const std::string Long(100'000, 'x');
    AssertNone(With("\"s1\"", "\"" + Long + "\""));
    AssertNone(With("\"zone\":\"a\"", "\"zone\":\"" + Long + "\""));
    AssertNone(With("r1-2", Long));
  });
  section("bytes that can't be read", [&] {
    for (const std::string &Bytes :
         {std::string(), std::string("\0", 1), std::string(1'000'000, '\0'),
          std::string("{"), Text.substr(0, Text.size() - 1), Text + Text,
          With("\"a\"", "\"\xff\""), With("\"a\"", "\"\xc3\""),
          "\xff\xfe" + Text, "\x1f\x8b" + Text})
      AssertNone(Bytes);
  });
  section("one whose id can't be sent in a header", [&] {
    for (const char *Id : {"", "i-1\r\nX: y", "i 1", "i-\xc3\xa4"})
      CPPUNIT_ASSERT(!parseWorker(Id, Text));
    CPPUNIT_ASSERT(!parseWorker(std::string(201, 'i'), Text));
  });
}

// Guards against documents whose numbers are converted although they are out of
// range, which is undefined.
HEATHERCROSS_STORY(OddDocuments, "no document ends the process") {
  section("numbers out of range don't reach a configuration", [] {
    for (const char *Odd : {"-1", "1e19", "1e308", "1.5"})
      CPPUNIT_ASSERT(!parseConfiguration(
          test::withValue(R"({"version":@,"routes":[]})", Odd)));
    for (const char *Odd : {"-1", "1e19", "1e308"}) {
      const auto C = parseConfiguration(test::withValue(
          R"({"version":1,"limits":{"max_body_bytes":@},"routes":[
             {"name":"r","service":"s","prefix":"/","prio":@,"attempts":@,
              "slo_ms":@,"slo_factor":@,"timeout_ms":@}]})",
          Odd));
      CPPUNIT_ASSERT(C && C->Routes_.size() == 1);
      const schedule::Route &R = C->Routes_[0];
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, C->MaxBodyBytes_);
      CPPUNIT_ASSERT_EQUAL(0U, R.Settings_.Priority_);
      CPPUNIT_ASSERT_EQUAL(1U, R.Settings_.MaxFailures_);
      CPPUNIT_ASSERT_EQUAL(1.0, R.Settings_.ObjectiveFactor_);
      CPPUNIT_ASSERT(R.Settings_.ObjectiveSlack_ == Millis(0));
      CPPUNIT_ASSERT(R.Timeout_ == Millis(0));
    }
  });
  section("nor a wave, a job or a machine", [] {
    for (const char *Odd : {"-1", "1e19", "1e308"}) {
      const auto Text = [&](const char *Template) {
        return test::withValue(Template, Odd);
      };
      const auto Bytes = [&](const char *Template) {
        return QByteArray::fromStdString(Text(Template));
      };
      for (const char *Wave : {R"({"wave":3,"machines":[],"within_s":@})",
                               R"({"wave":@,"machines":[]})"})
        CPPUNIT_ASSERT(!parseWave("wave/3", Text(Wave)));
      for (const char *Job :
           {R"({"phases":[{"count":@}]})",
            R"({"phases":[{"count":1,"cpu":@}]})",
            R"({"phases":[{"count":1,"est_ms":@}]})",
            R"({"phases":[{"count":1,"anti_affinity":@}]})",
            R"({"phases":[{"count":1,"lossy":@}]})",
            R"({"phases":[{"count":1}],"repeats":2,"interval_ms":@})"})
        CPPUNIT_ASSERT(!parseJob(Bytes(Job)));
      const auto M = parseMachines(
          Bytes(R"({"machines":[{"machine":"m","capacity":{"cpu":@}}]})"));
      CPPUNIT_ASSERT(M && M->Machines_.empty());
    }
  });
  section("arbitrary ones are read or left out", [] {
    const std::vector<std::string> Names{
        "service", "addr",       "zone",       "version",    "slots",
        "state",   "capacity",   "cpu",        "mem_mb",     "gpus",
        "labels",  "born",       "seq",        "routes",     "services",
        "limits",  "name",       "prefix",     "prio",       "attempts",
        "slo_ms",  "machines",   "next_token", "slo_factor", "timeout_ms",
        "wave",    "phases",     "count",      "est_ms",     "after",
        "repeats", "start_ms",   "within_s",   "max_count",  "max_body_bytes",
        "machine", "interval_ms"};
    HEATHERCROSS_PROPERTY("no text makes a decoder throw", [&] {
      const std::string Text = test::drawOddText(Names);
      parseWorker("i-1", Text);
      parseConfiguration(Text);
      parseWave("wave/1", Text);
      parseMachines(QByteArray::fromStdString(Text));
      parseJob(QByteArray::fromStdString(Text));
    });
  });
}

HEATHERCROSS_STORY(Submissions, "a job is read, or turned away as malformed") {
  const auto J = parseJob(R"({"spec":"x","phases":[
    {"count":4,"cpu":500,"mem_mb":256,"est_ms":900,"data_rack":"r1-3",
     "image":"convert","speculative":true},
    {"count":2,"cpu":2000,"after":[0],"checkpoint":true,"service_mode":true,
     "lossy":1,"anti_affinity":1,"fills":true}],"new":1})");
  CPPUNIT_ASSERT(J && J->Steps_.size() == 2 && J->longRunning());
  CPPUNIT_ASSERT_EQUAL(1U, J->Steps_[1].MaxUnavailable_);
  CPPUNIT_ASSERT(J->Steps_[0].Speculative_ && !J->Steps_[1].Speculative_);
  CPPUNIT_ASSERT_EQUAL(std::string("convert"), J->Steps_[0].Image_);
  CPPUNIT_ASSERT(J->Steps_[1].Image_.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, J->Steps_[1].reserved().CpuMilli_);
  for (const char *Bad :
       {"", "{}", R"({"spec":"x","phases":[]})", R"({"phases":[{"count":0}]})",
        R"({"phases":[{"count":1,"after":[0]}]})",
        R"({"phases":[{"count":1,"cpu":-1}]})",
        R"({"phases":[{"count":1,"cpu":"much"}]})"})
    CPPUNIT_ASSERT(!parseJob(Bad));
}

// Guards against a job that is rejected, or takes much memory, because of the
// name of an image.
HEATHERCROSS_STORY(StepImages, "the image of a step is read if it isn't long") {
  const auto ImageOf = [](const std::string &Value) {
    const auto J = parseJob(QByteArray::fromStdString(
        R"({"phases":[{"count":1,"image":)" + Value + "}]}"));
    CPPUNIT_ASSERT(J && J->Steps_.size() == 1);
    return J->Steps_[0].Image_;
  };
  const std::string Longest(200, 'i');
  CPPUNIT_ASSERT_EQUAL(std::string("scan:4"), ImageOf(R"("scan:4")"));
  CPPUNIT_ASSERT_EQUAL(Longest, ImageOf('"' + Longest + '"'));
  CPPUNIT_ASSERT_EQUAL(std::string(), ImageOf('"' + Longest + "i\""));
  CPPUNIT_ASSERT_EQUAL(std::string(), ImageOf("7"));
  CPPUNIT_ASSERT_EQUAL(std::string(), ImageOf("null"));
}

// Guards against a job that takes more memory than an entry has: each holder
// that read it would end.
HEATHERCROSS_STORY(LargeSubmissions, "the tasks of all occurrences count") {
  section("a day of eight tasks every ten seconds is read", [] {
    const auto J = parseJob(R"({"phases":[{"count":8}],"repeats":8640})");
    CPPUNIT_ASSERT(J && J->taskCount() == 69'120);
  });
  section("more tasks than an entry can keep are turned away", [] {
    for (const char *Bad :
         {R"({"phases":[{"count":10000}],"repeats":10000})",
          R"({"phases":[{"count":30},{"count":30}],"repeats":4000})"})
      CPPUNIT_ASSERT(!parseJob(Bad));
  });
}

HEATHERCROSS_STORY(WaveRows, "a wave is read and its state is written") {
  const auto W = parseWave(
      "wave/3",
      R"({"wave":3,"machines":["m1","m2"],"within_s":20.5,"max_count":2})");
  CPPUNIT_ASSERT(W && W->Number_ == 3 && W->MaxAtOnce_ == 2);
  CPPUNIT_ASSERT_EQUAL(Millis(20'500).count(), W->TimeLimit_.count());
  CPPUNIT_ASSERT(!parseWave("config", "{}"));
  CPPUNIT_ASSERT(!parseWave("wave/4", "{}"));
  CPPUNIT_ASSERT_EQUAL(std::string("wave/3"), waveStatusKey(3));
  CPPUNIT_ASSERT(waveStatusText(3, true).find("complete") != std::string::npos);
}

HEATHERCROSS_STORY(TaskNames, "task names are read as they were written") {
  const schedule::TaskKey Key{JobId("5c0e7a21d94b36f8"), 0, 1, 17};
  CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.0.1.17"), taskName(Key));
  CPPUNIT_ASSERT(parseTaskName(taskName(Key)) == Key);
  for (const char *Bad : {"", "a", "a.1.2", "a.1.x.3", ".1.2.3", "a.1.2.-3"})
    CPPUNIT_ASSERT(!parseTaskName(Bad));
  CPPUNIT_ASSERT(isValidJobId(JobId("5c0e7a21d94b36f8")));
  CPPUNIT_ASSERT(!isValidJobId(JobId("5c0e7a21d94b36f")));
  CPPUNIT_ASSERT(!isValidJobId(JobId("5c0e7a21d94b36fx")));
}
