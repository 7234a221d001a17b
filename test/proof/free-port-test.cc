// Tests of the ports that tests give to the programs they start.
#include "support/event-loop.h"
#include "support/free-port.h"
#include "support/story.h"

#include <fstream>
#include <set>

using namespace heathercross;
using heathercross::test::PortRange;
using heathercross::test::section;
using heathercross::test::startQt;

// Guards against a program that can't listen, and a test that waits for it in
// vain: another program of the same test, or of one beside it, had its port.
HEATHERCROSS_STORY(DistinctPorts, "no two programs of tests get one port") {
  startQt();
  constexpr std::size_t Count = 90;
  PortRange Own;
  PortRange Other;
  std::set<std::uint16_t> Ports;
  for (std::size_t I = 0; I < Count; ++I) {
    Ports.insert(Own.next());
    Ports.insert(Other.next());
  }
  section("neither within a process nor between two",
          [&] { CPPUNIT_ASSERT_EQUAL(2 * Count, Ports.size()); });
  section("nor one that an outgoing connection may have", [&] {
    std::ifstream In("/proc/sys/net/ipv4/ip_local_port_range");
    int First = 0;
    if (In >> First)
      CPPUNIT_ASSERT(*Ports.rbegin() < First);
  });
  section("a range is free again once its process has ended", [] {
    std::set<std::uint16_t> Again;
    constexpr int Ranges = 200;
    for (int I = 0; I < Ranges; ++I)
      Again.insert(PortRange().next());
    CPPUNIT_ASSERT(!Again.contains(0));
  });
}
