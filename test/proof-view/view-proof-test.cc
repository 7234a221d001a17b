// End-to-end test that every entry instance puts committed tickets into force.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

namespace {

QJsonArray poolChange(const char *Pool, int Size) {
  return {QJsonObject{{"pool", QJsonObject{{"name", Pool}, {"size", Size}}}}};
}

} // namespace

HEATHERCROSS_STORY(ConfigurationScenario,
                   "a ticket is in force everywhere in 8 s and never reverts") {
  Cluster C(seededOptions());
  startCluster(C, "main", 4, 1);
  C.startLoad({"--rate", "20", "--seconds", "16", "--watch_views"});
  const auto ChangeSize = [&](int Size, std::size_t Entry) {
    CPPUNIT_ASSERT(C.submitTicket(poolChange("other", Size), Entry));
    Cluster::sleepMs(300);
  };
  section("tickets in quick succession through two entries", [&] {
    ChangeSize(1, 0);
    ChangeSize(2, 2);
  });
  section("across a kill and a restart", [&] {
    C.killEntry(C.entries()[1]);
    ChangeSize(1, 0);
    C.startEntry(C.entries()[1]);
    CPPUNIT_ASSERT(C.waitReady(C.entries()[1]));
  });
  section("while an entry is cut off from the others", [&] {
    C.cutPeers(C.entries()[3],
               {&C.entries()[0], &C.entries()[1], &C.entries()[2]});
    ChangeSize(2, 0);
    Cluster::sleepMs(1000);
    C.cutPeers(C.entries()[3], {});
  });
  section("a new entry while the platform is away", [&] {
    C.killEntry(C.entries()[2]);
    C.platformFault({{"kind", "down"}, {"ms", 200}});
    C.startEntry(C.entries()[2]);
    CPPUNIT_ASSERT_MESSAGE("it gets the view from its peers",
                           C.waitReady(C.entries()[2], 8000));
    C.platformFault({{"kind", "none"}});
  });
  C.waitForLoad();
  expectNoViolations(C, {"configuration"});
}
