// Tests of the codecs: round trips, and the paths in errors.
#include "support/story.h"
#include "view/codec.h"

using namespace heathercross;
using namespace heathercross::view;
using heathercross::test::section;

namespace {

std::string errorPath(const std::string &Text) {
  try {
    decodeTicketText(Text);
  } catch (const FormatError &E) {
    return E.where();
  }
  return "nothing";
}

std::string poolText(const std::string &Fields) {
  return R"({"changes":[{"budget":{"pool":"p","min_available":1}},{"pool":{)" +
         Fields + R"(}}],"against":{}})";
}

} // namespace

HEATHERCROSS_STORY(CodecStory,
                   "decoded rows and tickets equal what was encoded") {
  section("objects of every kind", [] {
    const Change Objects[] = {
        Pool{PoolId("p"), 12, true, false, true}, Budget{PoolId("p"), 7},
        Wave{WaveId("w"), PoolId("p"), WaveMode::Paused, Millis(5)},
        Quota{TeamId("t"), 3, 9}};
    for (const Change &C : Objects) {
      const ViewObject O{TicketNumber(5), C};
      CPPUNIT_ASSERT(decodeViewObject(encode(O)) == O);
    }
  });
  section("a row may have fields that are unknown", [] {
    const auto O = decodeViewObject(
        R"({"ticket":3,"new":1,"budget":{"pool":"p","min_available":2,"x":0}})");
    CPPUNIT_ASSERT(std::get<Budget>(O.Object_).MinAvailable_ == 2);
  });
  section("an instance's row", [] {
    const InstanceRow I{InstanceId("i"), PoolId("p"),
                        ZoneId("a"),     RackId("r"),
                        "10.0.0.1:80",   InstanceState::Rebooting,
                        WaveId(""),      ""};
    CPPUNIT_ASSERT(decodeInstanceRow(encode(I)) == I);
  });
  section("a ticket, with its text's digest the same after decoding", [] {
    Ticket T;
    T.Number_ = TicketNumber(42);
    T.Author_ = OperatorId("ann");
    T.Text_ = {{Pool{PoolId("p"), 1}},
               {{ObjectKey("pool/p"), TicketNumber(3)}}};
    T.Digest_ = digestOf(T.Text_);
    T.Votes_ = {{OperatorId("ann"), Vote::Yes}, {OperatorId("bo"), Vote::No}};
    T.Reason_ = "because";
    CPPUNIT_ASSERT(decodeTicket(encode(T)) == T);
    CPPUNIT_ASSERT_EQUAL(T.Digest_, digestOf(decodeTicket(encode(T)).Text_));
    CPPUNIT_ASSERT_EQUAL(std::string("ticket/00000042"), rowKey(T.Number_));
  });
}

HEATHERCROSS_STORY(CodecErrors,
                   "an invalid ticket is refused, naming the place in it") {
  const std::pair<std::string, std::string> Cases[] = {
      {poolText(R"("name":"p","size":"x")"), "changes[1].pool.size"},
      {poolText(R"("name":"p","size":-1)"), "changes[1].pool.size"},
      {poolText(R"("name":"p","size":1.5)"), "changes[1].pool.size"},
      {poolText(R"("name":"p","size":10001)"), "changes[1].pool.size"},
      {poolText(R"("name":"p")"), "changes[1].pool.size"},
      {poolText(R"("name":"a/b","size":1)"), "changes[1].pool.name"},
      {poolText(R"("name":"","size":1)"), "changes[1].pool.name"},
      {poolText(R"("name":")" + std::string(65, 'x') + R"(","size":1)"),
       "changes[1].pool.name"},
      {poolText(R"("name":"p","size":1,"colour":2)"), "changes[1].pool.colour"},
      {poolText(R"("name":"p","size":1,"spare":0)"), "changes[1].pool.spare"},
      {R"({"changes":[],"against":{}})", "changes"},
      {R"({"changes":[{}],"against":{}})", "changes[0]"},
      {R"({"changes":[{"budget":{"pool":"p","min_available":1}},)"
       R"({"budget":{"pool":"p","min_available":2}}]})",
       "changes"},
      {R"({"changes":[{"budget":{"pool":"p","min_available":1}}],)"
       R"("against":{"pools/p":1}})",
       "against.pools/p"},
      {R"({"changes":[{"wave":{"name":"w","pool":"p","mode":"on"}}]})",
       "changes[0].wave.mode"},
      {"[]", "text"},
      {"{", "text"},
      {std::string(MaxTextSize.Count_ + 1, ' '), "text"},
  };
  for (const auto &[Text, ExpectedPath] : Cases)
    CPPUNIT_ASSERT_EQUAL(ExpectedPath, errorPath(Text));
  CPPUNIT_ASSERT_THROW(decodeSubmission(R"({"number":0,"text":{}})"),
                       FormatError);
  CPPUNIT_ASSERT_THROW(decodeVote(R"({"vote":"maybe"})"), FormatError);
}
