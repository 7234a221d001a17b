// Runs every registered test, or only those whose name contains the argument.
// Running no test counts as a failure.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <string>

int main(int Argc, char **Argv) {
  std::unique_ptr<CppUnit::Test> Suite(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::string NameFilter = Argc > 1 ? Argv[1] : "";
  CppUnit::TestResult Result;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Result.addListener(&Collector);
  Result.addListener(&Progress);
  for (int I = 0; I < Suite->getChildTestCount(); ++I) {
    CppUnit::Test *TestCase = Suite->getChildTestAt(I);
    if (TestCase->getName().find(NameFilter) != std::string::npos)
      TestCase->run(&Result);
  }
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  const bool RanNone = Collector.runTests() == 0;
  return Collector.wasSuccessful() && !RanNone ? 0 : 1;
}
