// Tests of the parser for endpoints.
#include "core/endpoint.h"
#include "support/story.h"

using namespace heathercross;
using namespace std::string_literals;
using heathercross::test::section;

HEATHERCROSS_STORY(Endpoints, "an endpoint is an IP address with a port") {
  section("it is read as it was written", [] {
    for (const char *Text : {"10.0.0.9:80", "127.0.0.1:65535", "[::1]:1"}) {
      const auto E = parseEndpoint(Text);
      CPPUNIT_ASSERT(E);
      CPPUNIT_ASSERT_EQUAL(std::string(Text), E->str());
    }
  });
  section("anything else isn't one", [] {
    for (const char *Odd :
         {"", ":", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0",
          "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:+1", "10.0.0.9:8x",
          "host:80", "a@10.0.0.9:80", "10.0.0.9:80@h", " 10.0.0.9:80",
          "10.0.0.9:80\n", "::1:80", "[10.0.0.9]:80", "[::1:80"})
      CPPUNIT_ASSERT_MESSAGE(Odd, !parseEndpoint(Odd));
  });
}

// Guards against a text that is accepted although only its part before a zero
// byte is an address.
HEATHERCROSS_STORY(EndpointsWithZeroBytes,
                   "an endpoint contains no zero byte") {
  CPPUNIT_ASSERT(!parseEndpoint("10.0.0.9\0.example:80"s));
  CPPUNIT_ASSERT(!parseEndpoint("[::1\0.example]:80"s));
  CPPUNIT_ASSERT(!parseEndpoint("10.0.0.9:80\0"s));
}
