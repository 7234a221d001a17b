// Runs one policy on one deployment and prints what came of the requests.
#include "policy.h"

#include "move-watch.h"
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
constexpr int SpareSize = 8;
constexpr int Budget = 7;
constexpr int RackSize = 4;
constexpr int WorkerSlots = 8;
constexpr int BurstFactor = 5;
constexpr int BurstSeconds = 6;
/// How much of its slots a pool sized for the burst uses in the burst.
constexpr double BurstUse = 0.85;
/// Requests a second of the spare pool's own users.
constexpr double SpareRate = 20;
constexpr int DownMs = 600'000;
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

/// Instances that a pool gets under the policy.
int poolSize(const PolicyRun &Run) {
  if (!Run.Policy_.StaticBuffer_)
    return PoolSize;
  const double Busy =
      BurstFactor * Run.Deployment_.MeanRate_ * Run.Deployment_.WorkMs_ / 1000;
  const auto Needed =
      static_cast<int>(std::ceil(Busy / WorkerSlots / BurstUse));
  return std::max(PoolSize, Needed);
}

ClusterOptions clusterOptions(const PolicyRun &Run) {
  ClusterOptions O;
  O.Zones_.clear();
  for (int I = 0; I < Run.Deployment_.Zones_; ++I)
    O.Zones_.emplace_back(1, static_cast<char>('a' + I));
  const int Workers = PoolCount * poolSize(Run) + SpareSize;
  O.WorkersEach_ =
      (Workers + Run.Deployment_.Zones_ - 1) / Run.Deployment_.Zones_;
  O.Seed_ = Run.Seed_;
  O.MoreSettings_ = std::string("[request]\npicker = ") + Run.Policy_.Picker_ +
                    "\noverflow = " + Run.Policy_.Overflow_ +
                    "\n[control]\nmoves = " + Run.Policy_.Moves_ + '\n';
  return O;
}

QJsonObject poolChange(const char *Name, int Size, bool Spare) {
  return {
      {"pool", QJsonObject{{"name", Name}, {"size", Size}, {"spare", Spare}}}};
}

/// How many active instances an entry has in its view of the fleet.
int activeAt(Cluster &C, const standin::EntryProcess &E) {
  return static_cast<int>(
      std::ranges::count_if(C.instances(E), [](const QJsonValue &I) {
        return !I["pool"].toString().isEmpty() &&
               I["state"].toString() == "active";
      }));
}

bool makePools(Cluster &C, int Size) {
  QJsonArray Changes{poolChange("spare", SpareSize, true)};
  for (const char *Name : Pools) {
    Changes.append(poolChange(Name, Size, false));
    Changes.append(QJsonObject{
        {"budget", QJsonObject{{"pool", Name}, {"min_available", Budget}}}});
  }
  if (!C.ticket(Changes))
    return false;
  const int Wanted = PoolCount * Size + SpareSize;
  return Cluster::waitFor(
      [&] {
        return std::ranges::all_of(C.entries(),
                                   [&](const standin::EntryProcess &E) {
                                     return activeAt(C, E) >= Wanted;
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

/// The first rack of the first zone dies.
void loseRack(Cluster &C) {
  for (int I = 0; I < RackSize; ++I)
    C.workerFault(C.workers()[static_cast<std::size_t>(I)],
                  {{"kind", "die"}, {"ms", DownMs}});
}

/// Disturbs the run at its third and its middle, and counts moves meanwhile.
std::int64_t watchRun(Cluster &C, const PolicyRun &Run) {
  MoveWatch Moves;
  const int Polls = Run.Seconds_ * 1000 / PollMs;
  auto &Entries = C.entries();
  for (int I = 0; I < Polls; ++I) {
    if (I == Polls / 3 && Run.FrozenEntry_)
      C.freezeEntry(Entries.back());
    if (I == Polls / 2 && Run.RackLoss_)
      loseRack(C);
    if (I == Polls / 2 && Run.NewEntry_)
      C.startEntry(Entries[1]);
    Moves.see(C.instances(Entries.front()));
    Cluster::sleepMs(PollMs);
  }
  return Moves.moves();
}

double share(std::int64_t Part, std::int64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

/// Instances held back: those above the pools' usual size, and what the spare
/// pool holds beyond its own users' need where the policy draws on it.
double bufferCost(const PolicyRun &Run) {
  const double Extra = PoolCount * (poolSize(Run) - PoolSize);
  const bool DrawsOnSpare = std::string(Run.Policy_.Overflow_) == "on" ||
                            std::string(Run.Policy_.Moves_) != "none";
  const double OwnUse =
      SpareRate * Run.Deployment_.WorkMs_ / 1000 / WorkerSlots;
  return Extra + (DrawsOnSpare ? SpareSize - OwnUse : 0);
}

std::string millis(std::int64_t Us) {
  return fixed(static_cast<double>(Us) / 1000, 1);
}

Table tableOf(const PolicyRun &Run, const standin::HistoryEvents &Events,
              std::int64_t Moves) {
  const OutcomeFigures F = figuresOf(Events, "load", Run.Deployment_.WorkMs_);
  const OutcomeFigures Spare =
      figuresOf(Events, "spare-load", Run.Deployment_.WorkMs_);
  const std::int64_t All = F.Requests_ + Spare.Requests_;
  const auto PerHour = static_cast<double>(Moves) * 3600 / Run.Seconds_;
  Table T;
  T.Title_ = std::string("policy ") + Run.Policy_.Name_ + ", deployment " +
             Run.Deployment_.Name_ + ", seed " + std::to_string(Run.Seed_) +
             ", " + std::to_string(Run.Seconds_) + " s" +
             (Run.RackLoss_ ? ", rack lost" : "") +
             (Run.FrozenEntry_ ? ", one entry frozen" : "") +
             (Run.NewEntry_ ? ", one entry started late" : "");
  T.Rows_ = {{"requests", std::to_string(F.Requests_)},
             {"once, correct, within window (share)",
              fixed(share(F.Good_, F.Requests_), 4)},
             {"done but not exactly once", std::to_string(F.Twice_)},
             {"refusals by workers per 1000 requests",
              fixed(1000 * share(refusals(Events), All), 2)},
             {"wait p50 ms", millis(quantile(F.WaitsUs_, 0.5))},
             {"wait p99 ms", millis(quantile(F.WaitsUs_, 0.99))},
             {"unfairness between entries (share)", fixed(unfairness(F), 4)},
             {"buffer cost (instances)", fixed(bufferCost(Run), 1)},
             {"moves per hour", fixed(PerHour, 0)},
             {"spare pool's own requests", std::to_string(Spare.Requests_)},
             {"spare pool's own, good (share)",
              fixed(share(Spare.Good_, Spare.Requests_), 4)},
             {"spare pool's own, wait p99 ms",
              millis(quantile(Spare.WaitsUs_, 0.99))}};
  for (const auto &[Ending, Count] : F.NotDone_)
    T.Rows_.push_back({"  not done: " + Ending, std::to_string(Count)});
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
  if (!C.start() || !makePools(C, poolSize(Run)))
    return false;
  if (Run.NewEntry_)
    C.killEntry(C.entries()[1]);
  startLoads(C, Run);
  const std::int64_t Moves = watchRun(C, Run);
  C.finishLoad("load");
  C.finishLoad("spare-load");
  std::cout << format(tableOf(Run, C.history(), Moves)) << std::flush;
  return true;
}

} // namespace heathercross::bench
