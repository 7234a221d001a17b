// Tests of the stored rows of account shares.
#include "entry/account-shares.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::accounts;
using namespace heathercross::entry;
using heathercross::test::section;

// Guards against a holder that reads the shares of pools otherwise than another
// one stored them, and against a row without entries that takes the whole
// limit.
HEATHERCROSS_STORY(ShareRows, "shares survive their row") {
  LimitShares S;
  S.Pools_[PoolId("quoting")] = {250'000, 400'000, 0, 0, 0};
  S.Pools_[PoolId("p/\"odd\"")] = {750'000, 1'000'000, 20'000, 3, 80'000};
  CPPUNIT_ASSERT(decodeShares(encodeShares(S)) == S);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, S.unallocated());
  section("text that can't be read has no shares", [] {
    for (const char *Text : {"", "[]", "{", "7"})
      CPPUNIT_ASSERT(decodeShares(Text) == LimitShares());
  });
  section("a field that can't be read counts as 0", [] {
    const auto Odd =
        decodeShares(R"({"a":{"share":-1,"wanted":"x"},"b":{"share":5}})");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Odd.shareOf(PoolId("a")));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, Odd.shareOf(PoolId("b")));
  });
}
