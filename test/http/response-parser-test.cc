// Tests of the parser of HTTP responses.
#include "http/response-parser.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

using namespace heathercross;
using heathercross::test::section;
using http::ResponseParser;
using State = http::ResponseParser::State;

namespace {

constexpr std::uint64_t MaxBody = 1000;

State parse(ResponseParser &P, std::string_view Text) { return P.feed(Text); }

State parse(std::string_view Text) {
  ResponseParser P(MaxBody);
  return P.feed(Text);
}

/// What a parser made of a response.
struct Outcome {
  State State_ = State::Incomplete;
  int Status_ = 0;
  QByteArray Body_;
  bool KeepsAlive_ = false;
  bool operator==(const Outcome &) const = default;
};

Outcome outcomeOf(const std::vector<std::string> &Pieces) {
  ResponseParser P(MaxBody);
  Outcome O;
  for (const std::string &Piece : Pieces)
    if (!Piece.empty() && O.State_ == State::Incomplete)
      O.State_ = P.feed(Piece);
  O.Status_ = P.status();
  O.Body_ = P.body();
  O.KeepsAlive_ = P.keepsAlive();
  return O;
}

} // namespace

HEATHERCROSS_STORY(ResponseBodies, "a response ends where HTTP says") {
  section("after as many bytes as its length says", [] {
    ResponseParser P(MaxBody);
    CPPUNIT_ASSERT(
        parse(P, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel") ==
        State::Incomplete);
    CPPUNIT_ASSERT(parse(P, "lo") == State::Complete);
    CPPUNIT_ASSERT_EQUAL(200, P.status());
    CPPUNIT_ASSERT(P.body() == "hello");
    CPPUNIT_ASSERT(P.keepsAlive());
  });
  section("after its last chunk", [] {
    ResponseParser P(MaxBody);
    CPPUNIT_ASSERT(parse(P,
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n") ==
                   State::Incomplete);
    CPPUNIT_ASSERT(parse(P, "\r\n") == State::Complete);
    CPPUNIT_ASSERT(P.body() == "abcde");
  });
  section("at the end of the connection if it has neither", [] {
    ResponseParser P(MaxBody);
    CPPUNIT_ASSERT(parse(P, "HTTP/1.0 200 OK\r\n\r\nabc") == State::Incomplete);
    CPPUNIT_ASSERT(P.finish() == State::Complete);
    CPPUNIT_ASSERT(P.body() == "abc");
    CPPUNIT_ASSERT(!P.keepsAlive());
  });
  section("after its head if its status has no body", [] {
    CPPUNIT_ASSERT(parse("HTTP/1.1 204 No Content\r\n\r\n") == State::Complete);
  });
  section("an interim response is skipped", [] {
    ResponseParser P(MaxBody);
    CPPUNIT_ASSERT(parse(P, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 "
                            "Conflict\r\nContent-Length: 0\r\n\r\n") ==
                   State::Complete);
    CPPUNIT_ASSERT_EQUAL(409, P.status());
  });
}

HEATHERCROSS_STORY(CutResponses, "a response that was cut off isn't complete") {
  for (const char *Cut :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le"}) {
    ResponseParser P(MaxBody);
    P.feed(Cut);
    CPPUNIT_ASSERT_MESSAGE(Cut, P.finish() == State::Malformed);
  }
}

HEATHERCROSS_STORY(OddResponses, "an odd response is malformed") {
  section("one that isn't HTTP", [] {
    CPPUNIT_ASSERT(parse("hello\r\n\r\n") == State::Malformed);
    CPPUNIT_ASSERT(parse("HTTP/1.1 2x0 OK\r\n\r\n") == State::Malformed);
    CPPUNIT_ASSERT(parse("HTTP/1.1 \r\n\r\n") == State::Malformed);
  });
  section("one whose length can't be read, or has two", [] {
    CPPUNIT_ASSERT(parse("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n") ==
                   State::Malformed);
    CPPUNIT_ASSERT(parse("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                         "Content-Length: 2\r\n\r\n") == State::Malformed);
  });
  section("one that is larger than the limit", [] {
    CPPUNIT_ASSERT(parse("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n") ==
                   State::Malformed);
    CPPUNIT_ASSERT(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\nffffffffffffffff\r\n") == State::Malformed);
    CPPUNIT_ASSERT(parse("HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'x')) ==
                   State::Malformed);
    CPPUNIT_ASSERT(parse(std::string(70'000, 'x')) == State::Malformed);
  });
  section("a second response behind the first isn't taken for the next", [] {
    ResponseParser P(MaxBody);
    CPPUNIT_ASSERT(
        parse(P, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP") ==
        State::Complete);
    CPPUNIT_ASSERT(P.body() == "a");
    CPPUNIT_ASSERT(!P.keepsAlive());
  });
}

HEATHERCROSS_STORY(AnyResponses, "any bytes are handled") {
  section("where a response is split makes no difference", [] {
    HEATHERCROSS_PROPERTY("any split gives the same response", [] {
      const std::string Text = *rc::gen::element<std::string>(
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
          "0\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nConnection: "
          "close\r\nContent-Length: 2\r\n\r\nno");
      const auto Cuts = *rc::gen::container<std::set<std::size_t>>(
          rc::gen::inRange(std::size_t{0}, Text.size()));
      std::vector<std::string> Pieces;
      std::size_t From = 0;
      for (const std::size_t Cut : Cuts) {
        Pieces.push_back(Text.substr(From, Cut - From));
        From = Cut;
      }
      Pieces.push_back(Text.substr(From));
      RC_ASSERT(outcomeOf(Pieces) == outcomeOf({Text}));
    });
  });
  section("no bytes give a body beyond the limit", [] {
    HEATHERCROSS_PROPERTY("the body stays within the limit", [] {
      const auto Head = *rc::gen::element<std::string>(
          "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: ",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      const auto Bytes = *rc::gen::arbitrary<std::string>();
      ResponseParser P(MaxBody);
      P.feed(Head + Bytes);
      P.finish();
      RC_ASSERT(static_cast<std::uint64_t>(P.body().size()) <= MaxBody);
    });
  });
}
