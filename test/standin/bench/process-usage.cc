// Memory and processor time of a process, read from /proc.
#include "process-usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace heathercross::bench {
namespace {

/// Number of fields of /proc/PID/stat between the process name and the user
/// time.
constexpr int FieldsBeforeTimes = 11;

std::string procPath(std::int64_t Pid, const char *File) {
  return "/proc/" + std::to_string(Pid) + '/' + File;
}

double cpuSeconds(std::int64_t Pid) {
  std::ifstream Stream(procPath(Pid, "stat"));
  std::string Line;
  std::getline(Stream, Line);
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

ProcessUsage readUsage(std::int64_t Pid) {
  ProcessUsage Usage;
  std::ifstream Stream(procPath(Pid, "status"));
  for (std::string Line; std::getline(Stream, Line);) {
    if (Line.starts_with("VmRSS:"))
      Usage.ResidentKb_ = std::stoll(Line.substr(6));
    if (Line.starts_with("RssAnon:"))
      Usage.AnonymousKb_ = std::stoll(Line.substr(8));
  }
  Usage.CpuSeconds_ = cpuSeconds(Pid);
  return Usage;
}

} // namespace heathercross::bench
