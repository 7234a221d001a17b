// Stories of maintenance waves in the model fleet.
#include "fleet/model-fleet.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;
using heathercross::test::section;

namespace {

constexpr Seconds Patience{600};

void assertNoFaults(const ModelFleet &Fleet) {
  CPPUNIT_ASSERT_EQUAL(0U, Fleet.Faults_.BudgetBroken_);
  CPPUNIT_ASSERT_EQUAL(0U, Fleet.Faults_.RebootsOfBusy_);
  CPPUNIT_ASSERT_EQUAL(0U, Fleet.Faults_.StaleWrites_);
}

} // namespace

HEATHERCROSS_STORY(WaveStory, "a wave goes through a pool within its budget") {
  ModelFleet Fleet;
  Fleet.addPool("quotes", 10, 7);
  Fleet.addWorkers(12);
  ModelHolder Holder(Fleet, {"quotes"});
  section("the pool first gets its instances", [&] {
    Holder.step();
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Fleet.members("quotes").size());
  });
  Fleet.setWave("w1", "quotes");
  section("every instance is rebooted once, and the wave is finished", [&] {
    const auto Took = runUntil(Fleet, Holder, Patience,
                               [&] { return Fleet.doneWith("w1") == 10; });
    CPPUNIT_ASSERT(Took);
    for (const auto &Row : Fleet.members("quotes"))
      CPPUNIT_ASSERT_EQUAL(1U, Fleet.Workers_[Row.Name_].Reboots_);
    Holder.step();
    Holder.step();
    const auto &Report = Holder.duty().report().Waves_.at(0);
    CPPUNIT_ASSERT(Report.State_ == WaveState::Finished);
    assertNoFaults(Fleet);
  });
}
