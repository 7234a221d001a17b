// Measures a policy under rotating bursts, with real processes on loopback.
#include "policy.h"

#include "move-counter.h"
#include "outcome-figures.h"
#include "table.h"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace heathercross::bench {
namespace {

using standin::Cluster;
using standin::ClusterOptions;

constexpr const char *Pools[] = {"p0", "p1", "p2", "p3", "p4"};
constexpr int PoolCount = 5;
constexpr int PoolSize = 10;
constexpr int SparePoolSize = 8;
constexpr int PoolBudget = 7;
constexpr int RackSize = 4;
constexpr int WorkerSlots = 8;
constexpr int BurstFactor = 5;
constexpr int BurstSeconds = 6;
/// Fraction of the slots that a pool sized for the burst uses in the burst.
constexpr double BurstUtilization = 0.85;
/// Requests per second that the spare pool gets from its own users.
constexpr double SpareRate = 20;
constexpr int RackDownMs = 600'000;
constexpr int FillTimeoutMs = 30'000;
constexpr int PollMs = 200;

constexpr Deployment Deployments[] = {
    {"chipledger", 3, 400, 2000, 55},
    {"tallinn", 4, 400, 2000, 55},
};

constexpr Policy Policies[] = {
    {"static-buffer", "shared-slots", "off", "none", true},
    {"threshold-moves", "shared-slots", "off", "threshold"},
    {"overflow", "shared-slots", "on", "none"},
    {"hysteresis", "shared-slots", "off", "hysteresis"},
    {"combined", "shared-slots", "on", "hysteresis"},
    {"random", "random", "on", "none"},
    {"least-loaded", "least-loaded", "on", "none"},
    {"shared-slots", "shared-slots", "on", "none"},
};

/// Returns the number of instances of a pool under the policy.
int instancesPerPool(const PolicyRun &Run) {
  if (!Run.Policy_.StaticBuffer_)
    return PoolSize;
  const double Busy =
      BurstFactor * Run.Deployment_.MeanRate_ * Run.Deployment_.WorkMs_ / 1000;
  const auto Needed =
      static_cast<int>(std::ceil(Busy / WorkerSlots / BurstUtilization));
  return std::max(PoolSize, Needed);
}

ClusterOptions clusterOptions(const PolicyRun &Run) {
  ClusterOptions O;
  O.Zones_.clear();
  for (int I = 0; I < Run.Deployment_.Zones_; ++I)
    O.Zones_.emplace_back(1, static_cast<char>('a' + I));
  const int Workers = PoolCount * instancesPerPool(Run) + SparePoolSize;
  O.WorkersPerZone_ =
      (Workers + Run.Deployment_.Zones_ - 1) / Run.Deployment_.Zones_;
  O.Seed_ = Run.Seed_;
  O.ExtraSettings_ = std::string("[request]\npicker = ") + Run.Policy_.Picker_ +
                     "\noverflow = " + Run.Policy_.Overflow_ +
                     "\n[control]\nmoves = " + Run.Policy_.Moves_ + '\n';
  return O;
}

QJsonObject poolChange(const char *Name, int Size, bool Spare) {
  return {
      {"pool", QJsonObject{{"name", Name}, {"size", Size}, {"spare", Spare}}}};
}

/// Counts the instances in pools that an entry reports as active.
int activeInstances(Cluster &C, const standin::EntryProcess &E) {
  return static_cast<int>(
      std::ranges::count_if(C.instances(E), [](const QJsonValue &I) {
        return !I["pool"].toString().isEmpty() &&
               I["state"].toString() == "active";
      }));
}

bool makePools(Cluster &C, int Size) {
  QJsonArray Changes{poolChange("spare", SparePoolSize, true)};
  for (const char *Name : Pools) {
    Changes.append(poolChange(Name, Size, false));
    Changes.append(
        QJsonObject{{"budget", QJsonObject{{"pool", Name},
                                           {"min_available", PoolBudget}}}});
  }
  if (!C.submitTicket(Changes))
    return false;
  const int Wanted = PoolCount * Size + SparePoolSize;
  return Cluster::waitFor(
      [&] {
        return std::ranges::all_of(C.entries(),
                                   [&](const standin::EntryProcess &E) {
                                     return activeInstances(C, E) >= Wanted;
                                   });
      },
      FillTimeoutMs);
}

std::vector<std::string> loadFlags(const PolicyRun &Run, const char *Pool,
                                   double Rate) {
  return {"--pool",
          Pool,
          "--rate",
          std::to_string(Rate),
          "--seconds",
          std::to_string(Run.Seconds_),
          "--work_ms",
          std::to_string(Run.Deployment_.WorkMs_),
          "--window_ms",
          std::to_string(Run.Deployment_.WindowMs_),
          "--connections",
          "4096",
          "--declared_spread",
          std::to_string(Run.DeclaredSpread_)};
}

void startLoads(Cluster &C, const PolicyRun &Run) {
  auto Flags =
      loadFlags(Run, "p0,p1,p2,p3,p4", PoolCount * Run.Deployment_.MeanRate_);
  Flags.insert(Flags.end(),
               {"--bursts", "--burst_seconds", std::to_string(BurstSeconds)});
  C.startLoad(Flags, "load");
  C.startLoad(loadFlags(Run, "spare", SpareRate), "spare-load");
}

/// Kills the workers of the first rack of the first zone.
void killRack(Cluster &C) {
  for (int I = 0; I < RackSize; ++I)
    C.workerFault(C.workers()[static_cast<std::size_t>(I)],
                  {{"kind", "die"}, {"ms", RackDownMs}});
}

/// Injects the faults at a third and at the middle of the run and returns the
/// number of moves during the run.
std::int64_t monitorRun(Cluster &C, const PolicyRun &Run) {
  MoveCounter Moves;
  const int Polls = Run.Seconds_ * 1000 / PollMs;
  auto &Entries = C.entries();
  for (int I = 0; I < Polls; ++I) {
    if (I == Polls / 3 && Run.FrozenEntry_)
      C.freezeEntry(Entries.back());
    if (I == Polls / 2 && Run.RackLoss_)
      killRack(C);
    if (I == Polls / 2 && Run.NewEntry_)
      C.startEntry(Entries[1]);
    Moves.update(C.instances(Entries.front()));
    Cluster::sleepMs(PollMs);
  }
  return Moves.moves();
}

double ratio(std::int64_t Part, std::int64_t Total) {
  return Total == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Total);
}

/// Returns the number of instances reserved for bursts: those above PoolSize,
/// and, if the policy uses the spare pool, those that the spare pool's own
/// users don't need.
double bufferInstances(const PolicyRun &Run) {
  const double Extra = PoolCount * (instancesPerPool(Run) - PoolSize);
  const bool UsesSparePool = std::string(Run.Policy_.Overflow_) == "on" ||
                             std::string(Run.Policy_.Moves_) != "none";
  const double OwnUse =
      SpareRate * Run.Deployment_.WorkMs_ / 1000 / WorkerSlots;
  return Extra + (UsesSparePool ? SparePoolSize - OwnUse : 0);
}

std::string formatMs(std::int64_t Us) {
  return formatFixed(static_cast<double>(Us) / 1000, 1);
}

Table formatResults(const PolicyRun &Run, const standin::HistoryEvents &Events,
                    std::int64_t Moves) {
  const OutcomeFigures F =
      computeFigures(Events, "load", Run.Deployment_.WorkMs_);
  const OutcomeFigures Spare =
      computeFigures(Events, "spare-load", Run.Deployment_.WorkMs_);
  const std::int64_t All = F.Requests_ + Spare.Requests_;
  const auto PerHour = static_cast<double>(Moves) * 3600 / Run.Seconds_;
  Table T;
  T.Title_ = std::string("policy ") + Run.Policy_.Name_ + ", deployment " +
             Run.Deployment_.Name_ + ", seed " + std::to_string(Run.Seed_) +
             ", " + std::to_string(Run.Seconds_) + " s" +
             (Run.RackLoss_ ? ", rack lost" : "") +
             (Run.FrozenEntry_ ? ", one entry frozen" : "") +
             (Run.NewEntry_ ? ", one entry started late" : "");
  T.Rows_ = {
      {"requests", std::to_string(F.Requests_)},
      {"once, correct, within window (share)",
       formatFixed(ratio(F.Good_, F.Requests_), 4)},
      {"done but not exactly once", std::to_string(F.NotExactlyOnce_)},
      {"refusals by workers per 1000 requests",
       formatFixed(1000 * ratio(countRefusals(Events), All), 2)},
      {"wait p50 ms", formatMs(quantile(F.WaitsUs_, 0.5))},
      {"wait p99 ms", formatMs(quantile(F.WaitsUs_, 0.99))},
      {"unfairness between entries (share)", formatFixed(fairnessGap(F), 4)},
      {"buffer cost (instances)", formatFixed(bufferInstances(Run), 1)},
      {"moves per hour", formatFixed(PerHour, 0)},
      {"spare pool's own requests", std::to_string(Spare.Requests_)},
      {"spare pool's own, good (share)",
       formatFixed(ratio(Spare.Good_, Spare.Requests_), 4)},
      {"spare pool's own, wait p99 ms",
       formatMs(quantile(Spare.WaitsUs_, 0.99))}};
  for (const auto &[Outcome, Count] : F.NotDone_)
    T.Rows_.push_back({"  not done: " + Outcome, std::to_string(Count)});
  return T;
}

} // namespace

std::optional<Deployment> findDeployment(const std::string &Name) {
  const auto *It = std::ranges::find(Deployments, Name, &Deployment::Name_);
  if (It == std::end(Deployments))
    return std::nullopt;
  return *It;
}

std::optional<Policy> findPolicy(const std::string &Name) {
  const auto *It = std::ranges::find(Policies, Name, &Policy::Name_);
  if (It == std::end(Policies))
    return std::nullopt;
  return *It;
}

bool runPolicy(const PolicyRun &Run) {
  Cluster C(clusterOptions(Run));
  if (!C.start() || !makePools(C, instancesPerPool(Run)))
    return false;
  if (Run.NewEntry_)
    C.killEntry(C.entries()[1]);
  startLoads(C, Run);
  const std::int64_t Moves = monitorRun(C, Run);
  C.waitForLoad("load");
  C.waitForLoad("spare-load");
  std::cout << format(formatResults(Run, C.history(), Moves)) << std::flush;
  return true;
}

} // namespace heathercross::bench
