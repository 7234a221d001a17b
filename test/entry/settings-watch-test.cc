// Tests of when a changed settings file is taken, and of what in it.
#include "entry/entry-settings.h"
#include "entry/settings-watch.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <optional>
#include <vector>

using namespace heathercross;
using namespace heathercross::entry;
using heathercross::test::section;

// Guards against LOST: the placement service had moved, the file said so, and
// nothing read it, as no signal came.
HEATHERCROSS_STORY(ChangedFile, "a changed file is read without a signal") {
  SettingsWatch W;
  CPPUNIT_ASSERT(!W.look("a"));
  CPPUNIT_ASSERT(W.look("a"));
  section("not while it is being written", [&] {
    CPPUNIT_ASSERT(!W.look("a2"));
    CPPUNIT_ASSERT(!W.look("a22"));
    CPPUNIT_ASSERT(W.look("a22"));
  });
  section("once for each change", [&] { CPPUNIT_ASSERT(!W.look("a22")); });
  section("not if a signal had it read before", [&] {
    W.read("b");
    CPPUNIT_ASSERT(!W.look("b"));
    CPPUNIT_ASSERT(!W.look("b"));
  });
  section("also if it becomes what it was", [&] {
    CPPUNIT_ASSERT(!W.look("a22"));
    CPPUNIT_ASSERT(W.look("a22"));
  });
}

namespace {

void runWrites() {
  const auto Texts = *rc::gen::container<std::vector<int>>(
      40, rc::gen::weightedElement<int>({{4, 0}, {1, 1}, {1, 2}, {1, 3}}));
  SettingsWatch W;
  std::string Current = "0";
  std::string Former;
  std::string Read;
  const auto Look = [&] {
    const bool IsRead = W.look(Current);
    RC_ASSERT(!IsRead || (Current == Former && Current != Read));
    if (IsRead)
      Read = Current;
    Former = Current;
  };
  for (const int T : Texts) {
    // 0 leaves the file as it is.
    if (T > 0)
      Current = std::to_string(T);
    Look();
  }
  Look();
  Look();
  RC_ASSERT(Read == Current);
}

} // namespace

HEATHERCROSS_STORY(ChangedFileProperty, "each text that stays is read once") {
  HEATHERCROSS_PROPERTY("however often it changes", [] { runWrites(); });
}

HEATHERCROSS_STORY(AppliedChange, "the addresses of a changed file are taken") {
  EntrySettings InForce;
  EntrySettings Changed = InForce;
  CPPUNIT_ASSERT(applyChange(InForce, Changed) == SettingsChange::None);
  section("those of the platform", [&] {
    Changed.Store_ = *parseEndpoint("10.0.0.1:1");
    Changed.Machines_ = *parseEndpoint("10.0.0.1:2");
    Changed.Advice_ = parseEndpoint("10.0.0.1:3");
    CPPUNIT_ASSERT(applyChange(InForce, Changed) == SettingsChange::Addresses);
    CPPUNIT_ASSERT(InForce == Changed);
  });
  section("while the rest waits for a restart", [&] {
    Changed.Advice_ = std::nullopt;
    Changed.CpuShare_ = 2;
    CPPUNIT_ASSERT(applyChange(InForce, Changed) ==
                   SettingsChange::NeedsRestart);
    CPPUNIT_ASSERT(!InForce.Advice_);
    CPPUNIT_ASSERT_EQUAL(1.0, InForce.CpuShare_);
  });
}
