// Stories of instances that fail work, leave, or are lost; and of their rows.
#include "fleet/model-fleet.h"
#include "heathercross/error.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;
using heathercross::test::section;

namespace {

/// A pool of ten that keeps six, and a spare pool of three.
struct HealthSetting {
  ModelFleet Fleet_;
  ModelHolder<> Holder_;

  HealthSetting() : Holder_(prepare(Fleet_), {"portal", "quotes"}) {
    run(Seconds(2));
  }

  static ModelFleet &prepare(ModelFleet &Fleet) {
    Fleet.addPool("portal", 3, 1, true);
    Fleet.addPool("quotes", 10, 6);
    Fleet.addWorkers(13);
    return Fleet;
  }

  void run(Micros Time) {
    runUntil(Fleet_, Holder_, Time, [] { return false; });
  }

  InstanceId member(unsigned N) const {
    return Fleet_.members("quotes")[N].Name_;
  }

  void fail(const InstanceId &Name, std::uint32_t Work,
            std::uint32_t Distinct) {
    auto &E = Fleet_.Evidence_[Name];
    E.Failed_ += Work;
    E.DistinctFailed_ += Distinct;
  }

  unsigned inState(InstanceState State) const {
    const auto Rows = Fleet_.members("quotes");
    return static_cast<unsigned>(
        std::ranges::count(Rows, State, &InstanceRow::State_));
  }
};

} // namespace

HEATHERCROSS_STORY(Ejection, "instances that fail all work are taken out") {
  HealthSetting T;
  section("one bad job, however often it fails, takes out nobody", [&] {
    for (unsigned I = 0; I < 10; ++I)
      T.fail(T.member(I), 50, 1);
    T.run(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(0U, T.inState(InstanceState::Ejected));
  });
  section("distinct failures take out at most three of ten", [&] {
    for (unsigned I = 0; I < 5; ++I)
      T.fail(T.member(I), 60, 20);
    T.run(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(3U, T.inState(InstanceState::Ejected));
  });
  section("they come back on probation", [&] {
    T.run(Seconds(31));
    CPPUNIT_ASSERT_EQUAL(0U, T.inState(InstanceState::Ejected));
    section("and go out sooner, for longer, when they still fail", [&] {
      T.fail(T.member(0), 2, 2);
      T.run(Seconds(6));
      CPPUNIT_ASSERT_EQUAL(1U, T.inState(InstanceState::Ejected));
      T.run(Seconds(6));
      CPPUNIT_ASSERT_EQUAL(0U, T.inState(InstanceState::Ejected));
    });
  });
  section("never under the budget", [&] {
    for (unsigned I = 6; I < 9; ++I)
      T.Fleet_.Workers_[T.member(I)].Up_ = false;
    for (unsigned I = 0; I < 5; ++I)
      T.fail(T.member(I), 60, 20);
    T.run(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, T.inState(InstanceState::Ejected));
  });
  CPPUNIT_ASSERT_EQUAL(0U, T.Fleet_.Faults_.BudgetBroken_);
}

HEATHERCROSS_STORY(LeavingStory, "what leaves is drained and replaced") {
  HealthSetting T;
  const auto First = T.member(0);
  auto &W = T.Fleet_.Workers_[First];
  section("one source is enough, and the worker is told to drain", [&] {
    W.Busy_ = 1;
    W.Leaving_ = true;
    T.run(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, T.inState(InstanceState::Leaving));
    CPPUNIT_ASSERT(W.Draining_);
    CPPUNIT_ASSERT_EQUAL(1U, W.Busy_);
  });
  section("the spare pool replaces it", [&] {
    T.run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(10U, T.inState(InstanceState::Active));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, T.Fleet_.members("portal").size());
  });
  section("its row goes when it is unlisted and silent", [&] {
    W.Gone_ = true;
    T.run(Seconds(30));
    CPPUNIT_ASSERT_EQUAL(1U, T.inState(InstanceState::Leaving));
    W.Up_ = false;
    T.run(Seconds(12));
    CPPUNIT_ASSERT_EQUAL(0U, T.inState(InstanceState::Leaving));
  });
  section("a new instance fills the spare pool again", [&] {
    T.Fleet_.addWorkers(1);
    T.run(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, T.Fleet_.members("portal").size());
  });
}

HEATHERCROSS_STORY(RowForms, "rows are read as they were written") {
  InstanceRow I{
      InstanceId("i1"), PoolId("quotes"),         ZoneId("a"),  RackId("r1"),
      "127.0.0.1:1",    InstanceState::Rebooting, WaveId("w1"), "b7"};
  CPPUNIT_ASSERT(
      decodeInstance({"instance/i1", RowVersion(3), {}, encode(I)}) ==
      (InstanceRecord{I, RowVersion(3)}));
  PermitRecord P{Epoch(4), {InstanceId("i1")}, {WaveId("w0")}, RowVersion(5)};
  CPPUNIT_ASSERT(
      decodePermit({"permit/quotes", RowVersion(5), {}, encode(P)}) == P);
  for (const char *Bad : {"", "[]", "{}", R"({"id":"i1","pool":3})"})
    CPPUNIT_ASSERT_THROW(decodeInstance({"instance/i1", {}, {}, Bad}),
                         FormatError);
}
