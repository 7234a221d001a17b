// Runs the fleet duty for the pools whose lease this entry holds.
#include "daemon/control-service.h"

#include "fleet/rows.h"

#include <glog/logging.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <ranges>
#include <utility>

namespace heathercross::daemon {

namespace {

constexpr int LeaseTickMs = 200;
/// Multiplies the step interval after a step that found nothing to do.
constexpr int IdleStepFactor = 4;
/// Delay from a committed write to the next step.
constexpr int StepAfterWriteMs = 50;
/// Interval between status requests to a worker whose instance is active.
constexpr Millis WorkerPollInterval{4000};

std::string dutyName(const PoolId &Pool) { return "fleet-" + Pool.str(); }

DutyLeaseSettings leaseSettings(Millis Length) {
  DutyLeaseSettings S;
  S.Duration_ = Length;
  S.Interval_ = Micros(Length) / 3;
  S.Margin_ = Micros(Length) / 6;
  return S;
}

const char *commandPath(fleet::CommandKind Kind) {
  switch (Kind) {
  case fleet::CommandKind::Drain:
    return "/drain";
  case fleet::CommandKind::Undrain:
    return "/undrain";
  case fleet::CommandKind::CheckpointTasks:
    return "/tasks/checkpoint";
  case fleet::CommandKind::Reboot:
    return "/reboot";
  }
  return "/";
}

bool isDisrupted(const InstanceRow &Row) {
  return Row.State_ != InstanceState::Active;
}

} // namespace

ControlService::ControlService(ControlConfig Config, process::Clock &C,
                               History &H, process::Metrics &M,
                               store::TableClient &Platform,
                               WorkerClient &Workers, FleetFeed &Feed)
    : Config_(std::move(Config)), Clock_(C), History_(H), Metrics_(M),
      Platform_(Platform), Workers_(Workers),
      Feed_(Feed), Entries_{Config_.Entry_},
      Duty_(makeFleetDuty(Config_.WaveStep_, Config_.Moves_)) {
  connect(&LeaseTimer_, &QTimer::timeout, this, [this] { maintainLeases(); });
  StepTimer_.setSingleShot(true);
  connect(&StepTimer_, &QTimer::timeout, this, [this] { step(); });
}

void ControlService::start() {
  LeaseTimer_.start(LeaseTickMs);
  StepTimer_.start(Config_.StepInterval_);
}

void ControlService::stop() {
  Stopped_ = true;
  LeaseTimer_.stop();
  StepTimer_.stop();
  for (auto &[Pool, Lease] : Leases_)
    execute(Pool, Lease->release());
}

void ControlService::setEntries(std::vector<EntryId> Entries) {
  Entries_ = std::move(Entries);
}

std::set<PoolId> ControlService::heldPools() const {
  std::set<PoolId> Held;
  for (const auto &[Pool, Lease] : Leases_)
    if (Lease->held(Clock_.now()))
      Held.insert(Pool);
  return Held;
}

std::optional<Expectation> ControlService::guard(const PoolId &Pool) const {
  const auto It = Leases_.find(Pool);
  if (It == Leases_.end() || !It->second->held(Clock_.now()))
    return std::nullopt;
  return It->second->guard(Clock_.now());
}

void ControlService::suspectWorker(const InstanceId &Worker) {
  // The number of distinct jobs that failed on this worker but not on others.
  constexpr std::uint32_t DistinctJobs = 3;
  Evidence_[Worker] = {0, DistinctJobs, DistinctJobs};
}

// Leases.

bool ControlService::isStandby(const PoolId &Pool) const {
  // Rendezvous hashing spreads the duties over the entries.
  const auto Weight = [&](const EntryId &E) {
    return std::hash<std::string>()(E.str() + "\n" + dutyName(Pool));
  };
  const std::size_t OwnWeight = Weight(Config_.Entry_);
  const auto HigherRanked = std::ranges::count_if(
      Entries_, [&](const EntryId &E) { return Weight(E) > OwnWeight; });
  return HigherRanked < static_cast<long>(Config_.StandbyEntries_);
}

void ControlService::updateLeases() {
  for (const auto &[Name, P] : Feed_.view().Pools_) {
    const bool Standby = isStandby(Name);
    const auto It = Leases_.find(Name);
    if (Standby && It == Leases_.end())
      Leases_.emplace(Name,
                      std::make_unique<DutyLease>(
                          dutyName(Name), Config_.Entry_, Config_.Incarnation_,
                          leaseSettings(Config_.LeaseDuration_)));
    const bool Idle = It != Leases_.end() && !It->second->held(Clock_.now());
    if (!Standby && Idle)
      Leases_.erase(It);
  }
}

void ControlService::maintainLeases() {
  if (!Feed_.ready())
    return;
  updateLeases();
  for (auto &[Pool, Lease] : Leases_)
    execute(Pool, Lease->tick(Clock_.now()));
}

void ControlService::execute(const PoolId &Pool, const LeaseEffects &Effects) {
  for (const LeaseEffect &E : Effects)
    std::visit([&](const auto &Alternative) { execute(Pool, Alternative); }, E);
}

void ControlService::execute(const PoolId &Pool, const WriteLease &E) {
  Platform_.commit(E.Write_, [this, Pool, Attempt = E.Write_.Attempt_](
                                 const CommitResult &R) {
    const auto It = Leases_.find(Pool);
    if (It != Leases_.end())
      execute(Pool, It->second->onWritten(Clock_.now(), Attempt, R));
  });
}

void ControlService::execute(const PoolId &Pool, const ReadLease &E) {
  Platform_.readRow(E.Key_, [this, Pool](const store::RowResult &R) {
    const auto It = Leases_.find(Pool);
    if (It == Leases_.end())
      return;
    DutyLease &Lease = *It->second;
    execute(Pool, R.Answered_ ? Lease.onRead(Clock_.now(), R.Row_)
                              : Lease.onReadFailed(Clock_.now()));
  });
}

void ControlService::execute(const PoolId &Pool, const DutyBegan &E) {
  LOG(INFO) << "event=duty-began pool=" << Pool.str()
            << " epoch=" << E.Epoch_.value();
  History_.write("duty-began", Pool.str(),
                 {{"epoch", static_cast<qint64>(E.Epoch_.value())}});
  Metrics_.add("heathercross_duties_begun_total",
               "Control duties that this entry took over.");
}

void ControlService::execute(const PoolId &Pool, const DutyEnded &) {
  LOG(INFO) << "event=duty-ended pool=" << Pool.str();
  History_.write("duty-ended", Pool.str());
}

// Steps.

void ControlService::step() {
  if (Stepping_ || Stopped_)
    return;
  fleet::Snapshot S;
  std::vector<PoolId> Held;
  for (const auto &[Pool, Lease] : Leases_) {
    const Instant Now = Clock_.now();
    if (!Lease->held(Now))
      continue;
    S.Leases_[Pool] = {Lease->epoch(Now), Lease->guard(Now).Version_};
    Held.push_back(Pool);
  }
  if (Held.empty())
    return scheduleNextStep(false);
  Stepping_ = true;
  pollWorkers();
  readPermits(std::move(Held), std::move(S));
}

void ControlService::pollWorkers() {
  const Instant Now = Clock_.now();
  for (const auto &[Name, Record] : Feed_.instances()) {
    const auto Lease = Leases_.find(Record.Row_.Pool_);
    if (Lease == Leases_.end() || !Lease->second->held(Now))
      continue;
    Instant &PolledAt = PolledAt_[Name];
    const bool Due =
        isDisrupted(Record.Row_) || Now - PolledAt >= WorkerPollInterval;
    if (!Due)
      continue;
    PolledAt = Now;
    Feed_.requestStatus(Name);
  }
}

void ControlService::readPermits(std::vector<PoolId> Remaining,
                                 fleet::Snapshot S) {
  if (Remaining.empty())
    return Feed_.readInstancesNow([this, S = std::move(S)](bool Answered) {
      fleet::Snapshot Next = S;
      Next.PlatformReachable_ = Answered;
      readInstanceList(std::move(Next));
    });
  const PoolId Pool = Remaining.back();
  Remaining.pop_back();
  Platform_.readRow(
      fleet::permitKey(Pool), [this, Pool, Remaining = std::move(Remaining),
                               S = std::move(S)](const store::RowResult &R) {
        fleet::Snapshot Next = S;
        // This step skips a pool whose permits cannot be read.
        if (!R.Answered_)
          Next.Leases_.erase(Pool);
        if (R.Row_) {
          try {
            Next.Permits_[Pool] = fleet::decodePermit(*R.Row_);
          } catch (const FormatError &E) {
            LOG(ERROR) << "event=bad-row problem=\"" << E.what() << "\"";
            Next.Leases_.erase(Pool);
          }
        }
        readPermits(Remaining, std::move(Next));
      });
}

void ControlService::readInstanceList(fleet::Snapshot S) {
  Platform_.listInstances([this, S = std::move(S)](const store::ListResult &R) {
    fleet::Snapshot Next = S;
    if (R.Answered_)
      Next.Listed_.emplace();
    for (const ListedInstance &L : R.Instances_)
      Next.Listed_->emplace(L.Name_, L);
    runDuty(std::move(Next));
  });
}

void ControlService::runDuty(fleet::Snapshot S) {
  Stepping_ = false;
  if (Stopped_)
    return;
  S.Now_ = Clock_.now();
  S.View_ = Feed_.view();
  S.Instances_ = Feed_.instances();
  S.Workers_ = Feed_.statuses();
  S.Demand_ = Demand_;
  S.Evidence_ = std::exchange(Evidence_, {});
  const auto Actions = withDuty(Duty_, [&](auto &D) { return D.step(S); });
  WaveReports_ = withDuty(Duty_, [](auto &D) { return D.report().Waves_; });
  for (const fleet::Action &A : Actions)
    std::visit([this](const auto &Alternative) { perform(Alternative); }, A);
  const bool AnyDisrupted = std::ranges::any_of(
      S.Instances_, [](const auto &I) { return isDisrupted(I.second.Row_); });
  scheduleNextStep(!Actions.empty() || AnyDisrupted);
}

void ControlService::scheduleNextStep(bool Busy) {
  const int Factor = Busy || Leases_.empty() ? 1 : IdleStepFactor;
  if (!Stopped_)
    StepTimer_.start(Config_.StepInterval_ * Factor);
}

void ControlService::perform(const fleet::Write &W) {
  Platform_.commit(W.Transaction_, [this, W](const CommitResult &R) {
    const bool Done = R.Status_ == CommitStatus::Committed;
    LOG(INFO) << "event=fleet-write pool=" << W.Pool_.str()
              << " attempt=" << W.Transaction_.Attempt_.str()
              << " committed=" << Done;
    Metrics_.add(Done ? "heathercross_fleet_writes_total"
                      : "heathercross_fleet_writes_refused_total",
                 Done ? "Writes of the fleet duty that took effect."
                      : "Writes of the fleet duty that conflicted or failed.");
    if (!Done || Stopped_)
      return;
    Feed_.pollSoon();
    StepTimer_.start(StepAfterWriteMs);
  });
}

void ControlService::perform(const fleet::WorkerCommand &C) {
  LOG(INFO) << "event=command instance=" << C.Instance_.str()
            << " path=" << commandPath(C.Kind_);
  History_.write("command", C.Instance_.str(),
                 {{"path", commandPath(C.Kind_)}});
  const auto Ignore = [](const http::Reply &) {};
  if (C.Kind_ != fleet::CommandKind::CheckpointTasks) {
    QJsonObject Body;
    if (!C.Boot_.empty())
      Body["boot"] = QString::fromStdString(C.Boot_);
    Workers_.post(C.Instance_, commandPath(C.Kind_), Body, Ignore);
    return;
  }
  for (const fleet::BatchTask &T : C.Tasks_)
    Workers_.post(C.Instance_, commandPath(C.Kind_),
                  {{"job", QString::fromStdString(T.Job_.str())},
                   {"epoch", static_cast<qint64>(T.Epoch_.value())}},
                  Ignore);
}

std::string ControlService::dump() const {
  QJsonArray Duties;
  for (const auto &[Pool, Lease] : Leases_)
    Duties.append(QJsonObject{
        {"pool", QString::fromStdString(Pool.str())},
        {"held", Lease->held(Clock_.now())},
        {"holder", QString::fromStdString(Lease->lastRow().Holder_.str())},
        {"epoch", static_cast<qint64>(Lease->lastRow().Epoch_.value())}});
  return QJsonDocument(QJsonObject{{"duties", Duties}})
      .toJson(QJsonDocument::Compact)
      .toStdString();
}

} // namespace heathercross::daemon
