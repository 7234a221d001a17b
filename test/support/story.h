// Adds test cases with nested, named sections to CppUnit; such a case is called
// a story.
#pragma once

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <exception>
#include <string>
#include <vector>

namespace heathercross::test {

/// Returns the names of the sections that are running, outermost first.
inline std::vector<std::string> &openSections() {
  static std::vector<std::string> Sections;
  return Sections;
}

/// Runs a named section of a test. The message of a failure inside lists the
/// enclosing sections.
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

/// A CppUnit test case that calls a function.
class StoryCase : public CppUnit::TestCase {
public:
  StoryCase(const std::string &Name, void (*Body)())
      : CppUnit::TestCase(Name), Body_(Body) {}
  void runTest() override { Body_(); }

private:
  void (*Body_)();
};

/// Registers a story with CppUnit when it is constructed.
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

/// Runs a rapidcheck property; fails the enclosing test if the property fails.
#define HEATHERCROSS_PROPERTY(Text, Lambda)                                    \
  CPPUNIT_ASSERT_MESSAGE(Text, rc::check(Text, Lambda))

/// Defines and registers a test case:
/// HEATHERCROSS_STORY(Identifier, "name of the test") { ... }
#define HEATHERCROSS_STORY(Identifier, Text)                                   \
  static void Identifier();                                                    \
  static heathercross::test::StoryFactory Identifier##Factory(Text,            \
                                                              Identifier);     \
  static void Identifier()

} // namespace heathercross::test
