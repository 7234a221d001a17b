// Reads a process's use of memory and processor from the system.
#include "process-usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace heathercross::bench {
namespace {

/// Fields of "stat" between the name's end and the user time.
constexpr int FieldsBeforeTimes = 11;

std::string pathOf(std::int64_t Pid, const char *File) {
  return "/proc/" + std::to_string(Pid) + '/' + File;
}

double cpuSeconds(std::int64_t Pid) {
  std::ifstream In(pathOf(Pid, "stat"));
  std::string Line;
  std::getline(In, Line);
  const auto NameEnd = Line.rfind(')');
  if (NameEnd == std::string::npos)
    return 0;
  std::istringstream Rest(Line.substr(NameEnd + 1));
  std::string Skipped;
  for (int I = 0; I < FieldsBeforeTimes; ++I)
    Rest >> Skipped;
  double User = 0;
  double System = 0;
  Rest >> User >> System;
  return (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

} // namespace

ProcessUsage usageOf(std::int64_t Pid) {
  ProcessUsage Usage;
  std::ifstream In(pathOf(Pid, "status"));
  for (std::string Line; std::getline(In, Line);) {
    if (Line.starts_with("VmRSS:"))
      Usage.ResidentKb_ = std::stoll(Line.substr(6));
    if (Line.starts_with("RssAnon:"))
      Usage.AnonymousKb_ = std::stoll(Line.substr(8));
  }
  Usage.CpuSeconds_ = cpuSeconds(Pid);
  return Usage;
}

} // namespace heathercross::bench
