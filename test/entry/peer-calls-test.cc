// Tests of calls between entries.
#include "entry/peer-calls.h"
#include "support/story.h"

#include <QJsonDocument>
#include <QJsonObject>

using namespace heathercross;
using namespace heathercross::entry;
using heathercross::test::section;

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
