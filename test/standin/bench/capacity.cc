// Measures the resource use of idle clusters of increasing size.
#include "capacity.h"

#include "kernels.h"
#include "process-usage.h"
#include "standin/common/cluster.h"
#include "table.h"

#include <algorithm>
#include <iostream>
#include <optional>

namespace heathercross::bench {
namespace {

using standin::Cluster;
using standin::ClusterOptions;

constexpr int PoolSize = 9;
constexpr int SettleMs = 5000;
constexpr int FillTimeoutMs = 60'000;
constexpr double KbPerMb = 1024;

struct ClusterSize {
  int Workers_;
  int Zones_;
  int EntriesPerZone_;
  int entries() const { return Zones_ * EntriesPerZone_; }
};

constexpr ClusterSize ClusterSizes[] = {{50, 3, 2},   {200, 3, 2}, {600, 3, 2},
                                        {1200, 3, 2}, {50, 4, 6},  {50, 5, 12}};

bool makePools(Cluster &C, int Workers) {
  QJsonArray Changes;
  const int Pools = Workers / PoolSize;
  for (int I = 0; I < Pools; ++I) {
    const QString Name = 'p' + QString::number(I);
    Changes.append(
        QJsonObject{{"pool", QJsonObject{{"name", Name}, {"size", PoolSize}}}});
    Changes.append(QJsonObject{
        {"budget", QJsonObject{{"pool", Name}, {"min_available", 6}}}});
  }
  return C.submitTicket(Changes) &&
         Cluster::waitFor(
             [&] {
               return C.instances(C.entries().front()).size() >=
                      qsizetype{Pools} * PoolSize;
             },
             FillTimeoutMs);
}

/// Resource use of all entries during an interval without load.
struct IdleFigures {
  double MeanCpu_ = 0;
  double MaxCpu_ = 0;
  double MeanResidentMb_ = 0;
  double MaxResidentMb_ = 0;
  double ReadsPerSecond_ = 0;
  double WritesPerSecond_ = 0;
  /// Bytes of paths and bodies to and from the platform, without headers.
  double PlatformBytesPerSecond_ = 0;
};

std::vector<ProcessUsage> readUsages(Cluster &C) {
  std::vector<ProcessUsage> All;
  for (const auto &E : C.entries())
    All.push_back(readUsage(E.Process_->processId()));
  return All;
}

IdleFigures measureIdle(Cluster &C, int Seconds) {
  Cluster::sleepMs(SettleMs);
  const auto Before = readUsages(C);
  const QJsonObject StatsBefore = C.platformStats().Body_;
  Cluster::sleepMs(Seconds * 1000);
  const QJsonObject StatsAfter = C.platformStats().Body_;
  const auto After = readUsages(C);
  IdleFigures F;
  const auto Count = static_cast<double>(After.size());
  for (std::size_t I = 0; I < After.size(); ++I) {
    const double Cpu = (After[I].CpuSeconds_ - Before[I].CpuSeconds_) / Seconds;
    const double Mb = static_cast<double>(After[I].ResidentKb_) / KbPerMb;
    F.MeanCpu_ += Cpu / Count;
    F.MaxCpu_ = std::max(F.MaxCpu_, Cpu);
    F.MeanResidentMb_ += Mb / Count;
    F.MaxResidentMb_ = std::max(F.MaxResidentMb_, Mb);
  }
  const auto PerSecond = [&](const char *Name) {
    return (StatsAfter[Name].toDouble() - StatsBefore[Name].toDouble()) /
           Seconds;
  };
  F.ReadsPerSecond_ = PerSecond("reads");
  F.WritesPerSecond_ = PerSecond("writes");
  F.PlatformBytesPerSecond_ = PerSecond("bytes_in") + PerSecond("bytes_out");
  return F;
}

std::optional<IdleFigures> measureCluster(const ClusterSize &S, int Seconds) {
  ClusterOptions O;
  O.Zones_.clear();
  for (int I = 0; I < S.Zones_; ++I)
    O.Zones_.emplace_back(1, static_cast<char>('a' + I));
  O.EntriesPerZone_ = S.EntriesPerZone_;
  O.WorkersPerZone_ = (S.Workers_ + S.Zones_ - 1) / S.Zones_;
  O.WriteHistories_ = false;
  Cluster C(O);
  if (!C.start()) {
    std::cerr << S.Workers_ << ", " << S.entries() << ": not all started\n";
    return std::nullopt;
  }
  if (!makePools(C, S.Workers_)) {
    std::cerr << S.Workers_ << ", " << S.entries() << ": the pools had "
              << C.instances(C.entries().front()).size() << " instances\n";
    return std::nullopt;
  }
  return measureIdle(C, Seconds);
}

std::vector<std::string> formatRow(const ClusterSize &S, const IdleFigures &F) {
  return {std::to_string(S.Workers_) + ", " + std::to_string(S.entries()),
          formatFixed(100 * F.MeanCpu_, 1),
          formatFixed(100 * F.MaxCpu_, 1),
          formatFixed(F.MeanResidentMb_, 1),
          formatFixed(F.MaxResidentMb_, 1),
          formatFixed(F.ReadsPerSecond_, 1),
          formatFixed(F.ReadsPerSecond_ / S.entries(), 2),
          formatFixed(F.WritesPerSecond_, 1),
          formatFixed(F.WritesPerSecond_ / S.entries(), 2),
          formatFixed(F.PlatformBytesPerSecond_ / S.entries(), 0)};
}

} // namespace

bool runCapacity(int Seconds) {
  std::cout << format(heartbeatBytes()) << '\n'
            << format(fleetStepCost()) << '\n'
            << format(viewApplyCost()) << '\n'
            << std::flush;
  Table T{
      "idle clusters, pools of 9, " + std::to_string(Seconds) + " s each",
      {{"workers, entries", "cpu %", "most", "resident MB", "most", "reads/s",
        "per entry", "writes/s", "per entry", "table bytes/s per entry"}}};
  bool All = true;
  for (const ClusterSize &S : ClusterSizes) {
    const auto F = measureCluster(S, Seconds);
    All = All && F;
    if (F)
      T.Rows_.push_back(formatRow(S, *F));
    else
      T.Rows_.push_back(
          {std::to_string(S.Workers_) + ", " + std::to_string(S.entries()),
           "didn't come up"});
  }
  std::cout << format(T) << std::flush;
  return All;
}

} // namespace heathercross::bench
