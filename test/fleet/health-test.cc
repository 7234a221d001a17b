// Tests of instances that fail work, leave or are lost, and of the encoding of
// rows.
#include "fleet/model-fleet.h"
#include "heathercross/error.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;
using heathercross::test::section;

namespace {

/// A pool of ten instances with at least six available, and a spare pool of
/// three.
struct HealthFixture {
  ModelFleet Fleet_;
  ModelHolder<> Holder_;

  HealthFixture() : Holder_(prepare(Fleet_), {"portal", "quotes"}) {
    runFor(Seconds(2));
  }

  static ModelFleet &prepare(ModelFleet &Fleet) {
    Fleet.addPool("portal", 3, 1, true);
    Fleet.addPool("quotes", 10, 6);
    Fleet.addWorkers(13);
    return Fleet;
  }

  void runFor(Micros Time) {
    runUntil(Fleet_, Holder_, Time, [] { return false; });
  }

  InstanceId member(unsigned N) const {
    return Fleet_.members("quotes")[N].Name_;
  }

  void addFailures(const InstanceId &Name, std::uint32_t Failures,
                   std::uint32_t Distinct) {
    auto &E = Fleet_.Evidence_[Name];
    E.Failed_ += Failures;
    E.DistinctFailed_ += Distinct;
  }

  unsigned countInState(InstanceState State) const {
    const auto Rows = Fleet_.members("quotes");
    return static_cast<unsigned>(
        std::ranges::count(Rows, State, &InstanceRow::State_));
  }
};

} // namespace

HEATHERCROSS_STORY(Ejection,
                   "instances that fail all work are taken out of use") {
  HealthFixture F;
  section("one job that fails repeatedly never causes an ejection", [&] {
    for (unsigned I = 0; I < 10; ++I)
      F.addFailures(F.member(I), 50, 1);
    F.runFor(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(0U, F.countInState(InstanceState::Ejected));
  });
  section("distinct failures eject at most three of ten", [&] {
    for (unsigned I = 0; I < 5; ++I)
      F.addFailures(F.member(I), 60, 20);
    F.runFor(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(3U, F.countInState(InstanceState::Ejected));
  });
  section("they are readmitted on probation", [&] {
    F.runFor(Seconds(31));
    CPPUNIT_ASSERT_EQUAL(0U, F.countInState(InstanceState::Ejected));
    section("fewer errors eject them again, for longer", [&] {
      F.addFailures(F.member(0), 2, 2);
      F.runFor(Seconds(6));
      CPPUNIT_ASSERT_EQUAL(1U, F.countInState(InstanceState::Ejected));
      F.runFor(Seconds(6));
      CPPUNIT_ASSERT_EQUAL(0U, F.countInState(InstanceState::Ejected));
    });
  });
  section("ejections never exceed the availability budget", [&] {
    for (unsigned I = 6; I < 9; ++I)
      F.Fleet_.Workers_[F.member(I)].Up_ = false;
    for (unsigned I = 0; I < 5; ++I)
      F.addFailures(F.member(I), 60, 20);
    F.runFor(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, F.countInState(InstanceState::Ejected));
  });
  CPPUNIT_ASSERT_EQUAL(0U, F.Fleet_.Violations_.BudgetViolations_);
}

HEATHERCROSS_STORY(LeavingInstances,
                   "a member that leaves is drained and replaced") {
  HealthFixture F;
  const auto First = F.member(0);
  auto &W = F.Fleet_.Workers_[First];
  section("a report by one source is enough, and the worker is told to drain",
          [&] {
            W.Busy_ = 1;
            W.Leaving_ = true;
            F.runFor(Seconds(1));
            CPPUNIT_ASSERT_EQUAL(1U, F.countInState(InstanceState::Leaving));
            CPPUNIT_ASSERT(W.Draining_);
            CPPUNIT_ASSERT_EQUAL(1U, W.Busy_);
          });
  section("the spare pool provides a replacement", [&] {
    F.runFor(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(10U, F.countInState(InstanceState::Active));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, F.Fleet_.members("portal").size());
  });
  section("its row is erased when it is unlisted and silent", [&] {
    W.Unlisted_ = true;
    F.runFor(Seconds(30));
    CPPUNIT_ASSERT_EQUAL(1U, F.countInState(InstanceState::Leaving));
    W.Up_ = false;
    F.runFor(Seconds(12));
    CPPUNIT_ASSERT_EQUAL(0U, F.countInState(InstanceState::Leaving));
  });
  section("a new instance fills the spare pool again", [&] {
    F.Fleet_.addWorkers(1);
    F.runFor(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, F.Fleet_.members("portal").size());
  });
}

HEATHERCROSS_STORY(RowEncoding, "decoding encoded rows returns the same rows") {
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
