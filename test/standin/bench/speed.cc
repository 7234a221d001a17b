// Compares one entry instance with its workers called directly.
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
/// Far above what one entry takes, so that it is never idle.
constexpr int TooHighRate = 25'000;
constexpr int WindowMs = 10'000;
constexpr int IdleMs = 5000;
constexpr double KbPerMb = 1024;

/// What one load came to.
struct LoadFigures {
  double DonePerSecond_ = 0;
  double P50Us_ = 0;
  double P99Us_ = 0;
  double P999Us_ = 0;
  std::int64_t NotDone_ = 0;
  /// The share of one processor that the entry used meanwhile.
  double EntryCpu_ = 0;
};

std::string workerTargets(Cluster &C) {
  std::string Out;
  for (const auto &W : C.workers())
    Out +=
        (Out.empty() ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(W.Port_);
  return Out;
}

LoadFigures runLoad(Cluster &C, const std::vector<std::string> &More, int Rate,
                    int Connections, int Seconds) {
  std::vector<std::string> Flags{"--pool",        "main",
                                 "--rate",        std::to_string(Rate),
                                 "--connections", std::to_string(Connections),
                                 "--seconds",     std::to_string(Seconds),
                                 "--window_ms",   std::to_string(WindowMs)};
  Flags.insert(Flags.end(), More.begin(), More.end());
  const auto Pid = C.entries().front().Process_->processId();
  const double CpuBefore = usageOf(Pid).CpuSeconds_;
  const auto Began = std::chrono::steady_clock::now();
  C.startLoad(Flags);
  const QJsonObject R = C.finishLoad();
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Began;
  return {R["done"].toDouble() / Took.count(),
          R["p50_us"].toDouble(),
          R["p99_us"].toDouble(),
          R["p999_us"].toDouble(),
          R["requests"].toInteger() - R["done"].toInteger(),
          (usageOf(Pid).CpuSeconds_ - CpuBefore) / Took.count()};
}

std::vector<std::string> latencyRow(const std::string &Name,
                                    const LoadFigures &F) {
  return {Name,
          fixed(F.DonePerSecond_, 0),
          fixed(F.P50Us_ / 1000, 3),
          fixed(F.P99Us_ / 1000, 3),
          fixed(F.P999Us_ / 1000, 3),
          std::to_string(F.NotDone_)};
}

std::vector<std::string> addedRow(const LoadFigures &Entry,
                                  const LoadFigures &Direct) {
  return {"  added",
          "",
          fixed((Entry.P50Us_ - Direct.P50Us_) / 1000, 3),
          fixed((Entry.P99Us_ - Direct.P99Us_) / 1000, 3),
          fixed((Entry.P999Us_ - Direct.P999Us_) / 1000, 3),
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

/// Latencies mean nothing here: what is offered waits in the load tool.
Table mostRequests(Cluster &C, int Seconds) {
  Table T{"most requests a second, offered " + std::to_string(TooHighRate) +
              "/s for " + std::to_string(Seconds) + " s",
          {{"connections", "direct done/s", "entry done/s", "entry not done",
            "entry cpu %"}}};
  for (const int Connections : {1, 32, 256}) {
    const auto Direct = runLoad(C, {"--direct", "--targets", workerTargets(C)},
                                TooHighRate, Connections, Seconds);
    const auto Entry = runLoad(C, {}, TooHighRate, Connections, Seconds);
    T.Rows_.push_back(
        {std::to_string(Connections), fixed(Direct.DonePerSecond_, 0),
         fixed(Entry.DonePerSecond_, 0), std::to_string(Entry.NotDone_),
         fixed(100 * Entry.EntryCpu_, 0)});
  }
  return T;
}

std::vector<std::string> memoryRow(const std::string &When, std::int64_t Pid,
                                   double CpuShare) {
  const ProcessUsage U = usageOf(Pid);
  return {When, fixed(static_cast<double>(U.ResidentKb_) / KbPerMb, 1),
          fixed(static_cast<double>(U.AnonymousKb_) / KbPerMb, 1),
          fixed(100 * CpuShare, 1)};
}

/// The share of one processor that a process uses in the next while.
double cpuShare(std::int64_t Pid, int Ms) {
  const double Before = usageOf(Pid).CpuSeconds_;
  Cluster::sleepMs(Ms);
  return (usageOf(Pid).CpuSeconds_ - Before) * 1000 / Ms;
}

} // namespace

bool runSpeed(int Seconds) {
  ClusterOptions O;
  O.Zones_ = {"a"};
  O.EntriesEach_ = 1;
  O.WorkersEach_ = Workers;
  O.Histories_ = false;
  O.MoreSettings_ = "[request]\nqueue_limit = 4096\n";
  Cluster C(O);
  if (!C.start() || !C.makePool("main", Workers, 1))
    return false;
  const auto Pid = C.entries().front().Process_->processId();
  Table Memory{"memory and processor of one entry",
               {{"when", "resident MB", "anonymous MB", "cpu %"}}};
  Memory.Rows_.push_back(memoryRow("idle", Pid, cpuShare(Pid, IdleMs)));
  std::cout << format(addedLatency(C, Seconds)) << '\n' << std::flush;
  std::cout << format(mostRequests(C, Seconds)) << '\n' << std::flush;
  C.startLoad({"--pool", "main", "--rate", std::to_string(OfferedRate),
               "--seconds", "6", "--connections", "32"});
  Cluster::sleepMs(1000);
  Memory.Rows_.push_back(memoryRow("at " + std::to_string(OfferedRate) + "/s",
                                   Pid, cpuShare(Pid, 4000)));
  C.finishLoad();
  std::cout << format(Memory) << '\n' << format(decisionCost()) << std::flush;
  return true;
}

} // namespace heathercross::bench
