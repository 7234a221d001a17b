// Compares requests through one entry instance with direct requests to workers.
#include "speed.h"

#include "kernels.h"
#include "process-usage.h"
#include "standin/common/cluster.h"
#include "table.h"

#include <chrono>
#include <iostream>

namespace heathercross::bench {
namespace {

using standin::Cluster;
using standin::ClusterOptions;

constexpr int Workers = 10;
constexpr int OfferedRate = 1000;
/// Far above the capacity of one entry, so that it is never idle.
constexpr int SaturatingRate = 25'000;
constexpr int WindowMs = 10'000;
constexpr int IdleIntervalMs = 5000;
constexpr double KbPerMb = 1024;

/// The results of one load.
struct LoadFigures {
  double DonePerSecond_ = 0;
  double P50Us_ = 0;
  double P99Us_ = 0;
  double P999Us_ = 0;
  std::int64_t NotDone_ = 0;
  /// Fraction of one processor that the entry used during the load.
  double EntryCpu_ = 0;
};

std::string workerTargets(Cluster &C) {
  std::string Out;
  for (const auto &W : C.workers())
    Out +=
        (Out.empty() ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(W.Port_);
  return Out;
}

LoadFigures runLoad(Cluster &C, const std::vector<std::string> &ExtraFlags,
                    int Rate, int Connections, int Seconds) {
  std::vector<std::string> Flags{"--pool",        "main",
                                 "--rate",        std::to_string(Rate),
                                 "--connections", std::to_string(Connections),
                                 "--seconds",     std::to_string(Seconds),
                                 "--window_ms",   std::to_string(WindowMs)};
  Flags.insert(Flags.end(), ExtraFlags.begin(), ExtraFlags.end());
  const auto Pid = C.entries().front().Process_->processId();
  const double CpuBefore = readUsage(Pid).CpuSeconds_;
  const auto StartTime = std::chrono::steady_clock::now();
  C.startLoad(Flags);
  const QJsonObject R = C.waitForLoad();
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - StartTime;
  return {R["done"].toDouble() / Elapsed.count(),
          R["p50_us"].toDouble(),
          R["p99_us"].toDouble(),
          R["p999_us"].toDouble(),
          R["requests"].toInteger() - R["done"].toInteger(),
          (readUsage(Pid).CpuSeconds_ - CpuBefore) / Elapsed.count()};
}

std::vector<std::string> latencyRow(const std::string &Name,
                                    const LoadFigures &F) {
  return {Name,
          formatFixed(F.DonePerSecond_, 0),
          formatFixed(F.P50Us_ / 1000, 3),
          formatFixed(F.P99Us_ / 1000, 3),
          formatFixed(F.P999Us_ / 1000, 3),
          std::to_string(F.NotDone_)};
}

std::vector<std::string> addedRow(const LoadFigures &Entry,
                                  const LoadFigures &Direct) {
  return {"  added",
          "",
          formatFixed((Entry.P50Us_ - Direct.P50Us_) / 1000, 3),
          formatFixed((Entry.P99Us_ - Direct.P99Us_) / 1000, 3),
          formatFixed((Entry.P999Us_ - Direct.P999Us_) / 1000, 3),
          ""};
}

Table addedLatency(Cluster &C, int Seconds) {
  Table T{
      "open loop, " + std::to_string(OfferedRate) + "/s, " +
          std::to_string(Seconds) + " s each",
      {{"connections", "done/s", "p50 ms", "p99 ms", "p99.9 ms", "not done"}}};
  for (const int Connections : {1, 32, 256}) {
    const std::string Name = std::to_string(Connections);
    const auto Direct = runLoad(C, {"--direct", "--targets", workerTargets(C)},
                                OfferedRate, std::max(Connections, 1), Seconds);
    const auto Entry = runLoad(C, {}, OfferedRate, Connections, Seconds);
    T.Rows_.push_back(latencyRow(Name + " direct", Direct));
    T.Rows_.push_back(latencyRow(Name + " entry", Entry));
    T.Rows_.push_back(addedRow(Entry, Direct));
  }
  return T;
}

/// Measures the maximum throughput. Its latencies are meaningless because
/// requests wait in the load generator.
Table maxThroughput(Cluster &C, int Seconds) {
  Table T{"most requests a second, offered " + std::to_string(SaturatingRate) +
              "/s for " + std::to_string(Seconds) + " s",
          {{"connections", "direct done/s", "entry done/s", "entry not done",
            "entry cpu %"}}};
  for (const int Connections : {1, 32, 256}) {
    const auto Direct = runLoad(C, {"--direct", "--targets", workerTargets(C)},
                                SaturatingRate, Connections, Seconds);
    const auto Entry = runLoad(C, {}, SaturatingRate, Connections, Seconds);
    T.Rows_.push_back(
        {std::to_string(Connections), formatFixed(Direct.DonePerSecond_, 0),
         formatFixed(Entry.DonePerSecond_, 0), std::to_string(Entry.NotDone_),
         formatFixed(100 * Entry.EntryCpu_, 0)});
  }
  return T;
}

std::vector<std::string> usageRow(const std::string &When, std::int64_t Pid,
                                  double CpuFraction) {
  const ProcessUsage U = readUsage(Pid);
  return {When, formatFixed(static_cast<double>(U.ResidentKb_) / KbPerMb, 1),
          formatFixed(static_cast<double>(U.AnonymousKb_) / KbPerMb, 1),
          formatFixed(100 * CpuFraction, 1)};
}

/// Measures the fraction of one processor that a process uses in the next Ms.
double measureCpuFraction(std::int64_t Pid, int Ms) {
  const double Before = readUsage(Pid).CpuSeconds_;
  Cluster::sleepMs(Ms);
  return (readUsage(Pid).CpuSeconds_ - Before) * 1000 / Ms;
}

} // namespace

bool runSpeed(int Seconds) {
  ClusterOptions O;
  O.Zones_ = {"a"};
  O.EntriesPerZone_ = 1;
  O.WorkersPerZone_ = Workers;
  O.WriteHistories_ = false;
  O.ExtraSettings_ = "[request]\nqueue_limit = 4096\n";
  Cluster C(O);
  if (!C.start() || !C.createPool("main", Workers, 1))
    return false;
  const auto Pid = C.entries().front().Process_->processId();
  Table Memory{"memory and processor of one entry",
               {{"when", "resident MB", "anonymous MB", "cpu %"}}};
  Memory.Rows_.push_back(
      usageRow("idle", Pid, measureCpuFraction(Pid, IdleIntervalMs)));
  std::cout << format(addedLatency(C, Seconds)) << '\n' << std::flush;
  std::cout << format(maxThroughput(C, Seconds)) << '\n' << std::flush;
  C.startLoad({"--pool", "main", "--rate", std::to_string(OfferedRate),
               "--seconds", "6", "--connections", "32"});
  Cluster::sleepMs(1000);
  Memory.Rows_.push_back(usageRow("at " + std::to_string(OfferedRate) + "/s",
                                  Pid, measureCpuFraction(Pid, 4000)));
  C.waitForLoad();
  std::cout << format(Memory) << '\n' << format(decisionCost()) << std::flush;
  return true;
}

} // namespace heathercross::bench
