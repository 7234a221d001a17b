// Tests of calls between entries.
#include "entry/peer-calls.h"
#include "support/story.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cstdint>
#include <set>

using namespace heathercross;
using namespace heathercross::entry;
using heathercross::test::section;

namespace {

/// A call to evacuate workers as its receiver gets it.
http::Request evacuateRequest(const EvacuateCall &Call) {
  http::Request R;
  R.Path_ = "/vacate";
  R.Body_ = QJsonDocument(evacuateBody(Call)).toJson();
  return R;
}

} // namespace

HEATHERCROSS_STORY(CallForAnEpoch, "a call is meant for one epoch of a duty") {
  http::Request R;
  R.Path_ = "/call";
  R.Body_ = QJsonDocument(QJsonObject{{"kind", "submit"},
                                      {"pool", "quotes"},
                                      {"queue", "q"},
                                      {"job", "5c0e7a21d94b36f8"},
                                      {"epoch", 7},
                                      {"body", "{}"}})
                .toJson();
  section("the epoch is read", [&] {
    const auto Call = parseJobCall(R);
    CPPUNIT_ASSERT(Call && Call->Epoch_ == Epoch(7));
  });
  section("the account of its caller, if it has one", [&] {
    CPPUNIT_ASSERT(parseJobCall(R)->Account_.empty());
    QJsonObject Body = QJsonDocument::fromJson(R.Body_).object();
    Body["account"] = "mill";
    http::Request Owned = R;
    Owned.Body_ = QJsonDocument(Body).toJson();
    const auto Call = parseJobCall(Owned);
    CPPUNIT_ASSERT(Call && Call->Account_ == AccountId("mill"));
  });
  section("the name and share of the entry that passes it on, unless it is of "
          "an earlier version",
          [&] {
            CPPUNIT_ASSERT(parseJobCall(R)->Entry_.empty());
            CPPUNIT_ASSERT_EQUAL(0U, parseJobCall(R)->CpuMilli_);
            QJsonObject Body = QJsonDocument::fromJson(R.Body_).object();
            Body["entry"] = "entry-3";
            Body["cpu_milli"] = 120;
            http::Request Named = R;
            Named.Body_ = QJsonDocument(Body).toJson();
            const auto Call = parseJobCall(Named);
            CPPUNIT_ASSERT(Call && Call->Entry_ == EntryId("entry-3"));
            CPPUNIT_ASSERT_EQUAL(120U, Call->CpuMilli_);
          });
  section("in a call without one it is 0, and no such epoch exists", [&] {
    R.Body_.replace(R"("epoch":7,)", "").replace("\"epoch\": 7,", "");
    const auto Call = parseJobCall(R);
    CPPUNIT_ASSERT(Call && Call->Epoch_ == Epoch(0));
  });
}

// Guards against account rates that get lost between a pool's holder and the
// fleet's, and against messages that change where there are no accounts.
HEATHERCROSS_STORY(AccountRatesInCalls,
                   "account rates travel with snapshots and evacuations") {
  const accounts::ArrivalRates Rates{{AccountId("mill"), 12.0},
                                     {AccountId("farm"), 2.5}};
  section("in a pool's snapshot", [&] {
    PoolSnapshot P;
    P.Cores_ = 48;
    P.AccountRates_ = Rates;
    const auto Read = parseSnapshot(snapshotResponse(P).Body_);
    CPPUNIT_ASSERT(Read && Read->Cores_ == 48);
    CPPUNIT_ASSERT(Read->AccountRates_ == Rates);
  });
  section("in the call to a pool's holder", [&] {
    const auto Read = parseEvacuateCall(
        evacuateRequest({PoolId("quotes"), {InstanceId("w1")}, Rates}));
    CPPUNIT_ASSERT(Read && Read->Pool_ == PoolId("quotes"));
    CPPUNIT_ASSERT(Read->Workers_ == std::set{InstanceId("w1")});
    CPPUNIT_ASSERT(Read->OtherPools_ == Rates);
  });
  section("without accounts neither message has such a field", [] {
    CPPUNIT_ASSERT(!snapshotResponse({}).Body_.contains("account"));
    const auto R = evacuateRequest({PoolId("quotes"), {}, {}});
    CPPUNIT_ASSERT(!R.Body_.contains("account"));
    CPPUNIT_ASSERT(parseEvacuateCall(R)->OtherPools_.empty());
  });
  section("a bounded number of accounts, and no negative rates", [] {
    accounts::ArrivalRates Many;
    for (std::size_t I = 0; I < 2 * accounts::MaxReportedAccounts; ++I)
      Many[AccountId("a" + std::to_string(I))] = 1;
    const auto Read =
        parseEvacuateCall(evacuateRequest({PoolId("quotes"), {}, Many}));
    CPPUNIT_ASSERT_EQUAL(accounts::MaxReportedAccounts,
                         Read->OtherPools_.size());
    const auto Negative = parseEvacuateCall(
        evacuateRequest({PoolId("quotes"), {}, {{AccountId("mill"), -3.0}}}));
    CPPUNIT_ASSERT(Negative->OtherPools_.empty());
  });
}

// Guards against an id that is accepted by two pools: what a former pool was
// asked for has to reach the holder that relies on it.
HEATHERCROSS_STORY(CallForAnIngress,
                   "a call tells its ingress and which pools were asked") {
  QJsonObject Body{{"kind", "submit"},
                   {"pool", "quotes"},
                   {"queue", "q"},
                   {"job", "5c0e7a21d94b36f8"},
                   {"epoch", 7}};
  const auto Parsed = [&Body] {
    http::Request R;
    R.Path_ = "/call";
    R.Body_ = QJsonDocument(Body).toJson();
    return parseJobCall(R).value();
  };
  section("an entry of an earlier version tells nothing", [&] {
    CPPUNIT_ASSERT(Parsed().Ingress_.Ingress_.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Parsed().Ingress_.FormerFor_);
  });
  section("all of it is read", [&] {
    Body["ingress"] = "1234";
    Body["asked"] = QJsonArray{"portal", "dispatch"};
    Body["asked_for"] = 8;
    Body["former_for"] = 9;
    const IngressCall I = Parsed().Ingress_;
    CPPUNIT_ASSERT(I.Ingress_ == schedule::IngressId("1234"));
    CPPUNIT_ASSERT(
        (I.Asked_ == std::set<PoolId>{PoolId("dispatch"), PoolId("portal")}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, I.AskedFor_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, I.FormerFor_);
  });
}
