// Tests of the kernel: services by name, and typed failures.
#include "heathercross/kernel.h"
#include "support/story.h"

using namespace heathercross;
using heathercross::test::section;

namespace {
struct Quiet {
  int Value_ = 7;
};
struct Talkative {
  std::string dump() const { return "{\"a\":1}"; }
};
} // namespace

HEATHERCROSS_STORY(KernelStory, "a kernel holds services by name") {
  Kernel K;
  section("a registered service is found by name and type", [&] {
    K.add<Quiet>("quiet");
    K.add<Talkative>("talkative");
    CPPUNIT_ASSERT_EQUAL(7, K.find<Quiet>("quiet").Value_);
    section("not under another type", [&] {
      CPPUNIT_ASSERT_THROW(K.find<Talkative>("quiet"), NoSuchService);
    });
    section("not under another name", [&] {
      CPPUNIT_ASSERT_THROW(K.find<Quiet>("loud"), NoSuchService);
    });
  });
  section("a name is given once", [&] {
    CPPUNIT_ASSERT_THROW(K.add<Quiet>("quiet"), ServiceNameTaken);
  });
  section("the dump has a part for each service that shows its state", [&] {
    const auto Parts = K.dump();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Parts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("talkative"), Parts[0].first);
  });
}
