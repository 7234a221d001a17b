// Runs every registered story, or those whose name contains the argument.
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
  std::unique_ptr<CppUnit::Test> All(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::string Wanted = Argc > 1 ? Argv[1] : "";
  CppUnit::TestResult Events;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Events.addListener(&Collector);
  Events.addListener(&Progress);
  for (int I = 0; I < All->getChildTestCount(); ++I) {
    CppUnit::Test *One = All->getChildTestAt(I);
    if (One->getName().find(Wanted) != std::string::npos)
      One->run(&Events);
  }
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  const bool RanNone = Collector.runTests() == 0;
  return Collector.wasSuccessful() && !RanNone ? 0 : 1;
}
