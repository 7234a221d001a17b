// Tests as stories: named, nested sections on top of CppUnit.
#pragma once

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <exception>
#include <string>
#include <vector>

namespace heathercross::test {

/// The names of the sections that are running, outermost first.
inline std::vector<std::string> &openSections() {
  static std::vector<std::string> Sections;
  return Sections;
}

/// Runs one part of a story. A failure inside names the path of sections.
template <class Body> void section(const std::string &Name, Body &&B) {
  openSections().push_back(Name);
  try {
    B();
  } catch (CppUnit::Exception &E) {
    auto Message = E.message();
    Message.addDetail("in section: " + Name);
    E.setMessage(Message);
    openSections().pop_back();
    throw;
  }
  openSections().pop_back();
}

/// Registers a story as one CppUnit test.
class StoryCase : public CppUnit::TestCase {
public:
  StoryCase(const std::string &Name, void (*Body)())
      : CppUnit::TestCase(Name), Body_(Body) {}
  void runTest() override { Body_(); }

private:
  void (*Body_)();
};

class StoryFactory : public CppUnit::TestFactory {
public:
  StoryFactory(const char *Name, void (*Body)()) : Name_(Name), Body_(Body) {
    CppUnit::TestFactoryRegistry::getRegistry().registerFactory(this);
  }
  CppUnit::Test *makeTest() override { return new StoryCase(Name_, Body_); }

private:
  const char *Name_;
  void (*Body_)();
};

/// Runs a rapidcheck property inside a story: fails the story when it fails.
#define HEATHERCROSS_PROPERTY(Text, Lambda)                                    \
  CPPUNIT_ASSERT_MESSAGE(Text, rc::check(Text, Lambda))

/// Defines a story: HEATHERCROSS_STORY(Identifier, "what it tells") { ... }
#define HEATHERCROSS_STORY(Identifier, Text)                                   \
  static void Identifier();                                                    \
  static heathercross::test::StoryFactory Identifier##Factory(Text,            \
                                                              Identifier);     \
  static void Identifier()

} // namespace heathercross::test
