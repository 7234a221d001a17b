// Tests of the kernel: registration, lookup and errors.
#include "heathercross/kernel.h"
#include "support/story.h"

using namespace heathercross;
using heathercross::test::section;

namespace {
struct PlainService {
  int Value_ = 7;
};
struct DumpableService {
  std::string dump() const { return "{\"a\":1}"; }
};
} // namespace

HEATHERCROSS_STORY(KernelStory, "a kernel registers services by name") {
  Kernel K;
  section("a registered service is found by name and type", [&] {
    K.add<PlainService>("plain");
    K.add<DumpableService>("dumpable");
    CPPUNIT_ASSERT_EQUAL(7, K.find<PlainService>("plain").Value_);
    section("a lookup with another type fails", [&] {
      CPPUNIT_ASSERT_THROW(K.find<DumpableService>("plain"), NoSuchService);
    });
    section("a lookup with another name fails", [&] {
      CPPUNIT_ASSERT_THROW(K.find<PlainService>("other"), NoSuchService);
    });
  });
  section("a name can be used only once", [&] {
    CPPUNIT_ASSERT_THROW(K.add<PlainService>("plain"), ServiceNameTaken);
  });
  section("the dump has a part with the state of each dumpable service", [&] {
    const auto States = K.dump();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, States.size());
    CPPUNIT_ASSERT_EQUAL(std::string("dumpable"), States[0].first);
  });
}
