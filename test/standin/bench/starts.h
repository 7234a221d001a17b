// Measures what a pool's holder spends on starting tasks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace heathercross::bench {

/// The load of one run.
struct StartLoad {
  int Workers_ = 400;
  /// Jobs submitted in a second, each of TasksPerJob_ tasks of TaskMs_.
  int JobsPerSecond_ = 250;
  int TasksPerJob_ = 8;
  int TaskMs_ = 640;
  int Seconds_ = 10;
  /// Time between two requests of a caller for the state of its job.
  int StatePollMs_ = 500;
};

/// What a run showed.
struct StartFigures {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Complete_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Renewals_ = 0;
  std::uint64_t StateCalls_ = 0;
  /// Percentiles of the time from a job's acceptance to its first start, in
  /// milliseconds.
  double WaitP50Ms_ = 0;
  double WaitP95Ms_ = 0;
  /// Processor time of the entry.
  double Cores_ = 0;
  double CpuMsPerStart_ = 0;
};

/// Runs one entry that holds a pool, with model workers and callers on
/// loopback. Programs is the folder of heathercrossd and standin-platform.
/// Returns nothing if a process didn't come up.
std::optional<StartFigures> measureStarts(const StartLoad &Load,
                                          const std::string &Programs);

/// Measures with the programs beside this one and prints the figures. Returns
/// false if a process didn't come up.
bool runStarts(const StartLoad &Load);

} // namespace heathercross::bench
