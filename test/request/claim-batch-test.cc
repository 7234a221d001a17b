// Tests of the group commit of claim writes.
#include "request/claim-batch.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::request;
using heathercross::test::section;

namespace {
ClaimWrite write(const char *Request, const char *Key) {
  return {RequestId(Request), {Key, RowVersion(0)}, "{}"};
}
} // namespace

HEATHERCROSS_STORY(ClaimBatchStory, "claims share transactions") {
  ClaimBatch Batch;
  Batch.add(write("r1", "claim/a"));
  Batch.add(write("r2", "claim/b"));
  Batch.add(write("r3", "claim/a"));

  section("writes to different keys are batched, those to one key aren't", [&] {
    const auto First = Batch.next(AttemptId("t1"));
    CPPUNIT_ASSERT(First.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, First->Put_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Batch.waiting());
  });
  section("a conflict ends only the write it names and repeats the others",
          [&] {
            CommitResult Conflict{
                CommitStatus::Conflict, {}, {{"claim/a", RowVersion(4)}}};
            const auto Ends = Batch.commitEnded(AttemptId("t1"), Conflict);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ends.size());
            CPPUNIT_ASSERT(Ends[0].Request_ == RequestId("r1"));
            const auto Second = Batch.next(AttemptId("t2"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Second->Put_.size());
          });
  section("an uncertain answer makes each write uncertain", [&] {
    const auto Ends = Batch.commitEnded(AttemptId("t2"), CommitResult{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Ends.size());
    CPPUNIT_ASSERT(Ends[0].Status_ == CommitStatus::Uncertain);
  });
  section("an answer that arrives twice alters nothing", [&] {
    CPPUNIT_ASSERT(Batch.commitEnded(AttemptId("t2"), CommitResult{}).empty());
  });
}
