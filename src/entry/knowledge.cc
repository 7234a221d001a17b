// What an entry knows of configuration, workers and duties.
#include "entry/knowledge.h"

#include "entry/rows.h"
#include "platform/documents.h"

#include <algorithm>
#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::StoredRow;

/// A change of the configuration is seen at once by a call that waits. A
/// silent connection is noticed after the wait and the call's timeout, within
/// the 2 s that a change may take.
constexpr Millis OperatorWait{800};
constexpr Millis OperatorPause{20};
/// Workers register about every 1.5 s; what matters is who drains or is new.
constexpr Millis WorkersPause{300};
/// Holders write about every 0.6 s.
constexpr Millis DutiesPause{350};
/// Rows of workers that vanish while the store is away are back within 2 s of
/// its return.
constexpr Millis MissingGrace{2500};
/// While the store turns this entry away it asks the others.
constexpr int PeerPollMs = 250;
constexpr Millis PeerTimeout{600};
/// The store and other zones are away this long before an entry tells the
/// balancer: two rounds of asking the others.
constexpr Millis IsolatedAfter{700};
/// Entries with less than this share of a core hold fewer duties.
constexpr double UsualCpuShare = 0.25;

std::vector<std::string> wholeTable() { return {""}; }

} // namespace

Knowledge::Knowledge(Context &C, Handlers H)
    : Context_(C), Handlers_(std::move(H)),
      Duties_(C.Incarnation_,
              UsualCpuShare / std::max(0.01, C.Settings_.CpuShare_)),
      OperatorFollower_(
          C, {platform_api::OperatorTable, OperatorWait, OperatorPause},
          {wholeTable, [this](const auto &Rows) { takeOperatorRows(Rows); },
           [this](const auto &Rows) { takeOperatorRows(Rows); }, [] {}}),
      WorkersFollower_(C, {platform_api::WorkerTable, Millis(0), WorkersPause},
                       {wholeTable,
                        [this](const std::vector<StoredRow> &Rows) {
                          const Instant Now = Context_.Clock_.now();
                          for (const auto &[Id, Info] : Workers_)
                            Missing_.try_emplace(Id, Now);
                          for (const StoredRow &Row : Rows)
                            takeWorkerRow(Row);
                        },
                        [this](const std::vector<StoredRow> &Rows) {
                          for (const StoredRow &Row : Rows)
                            takeWorkerRow(Row);
                        },
                        [this] {
                          dropMissing();
                          Handlers_.OnWorkers_();
                        }}),
      DutiesFollower_(C, {HolderTable, Millis(0), DutiesPause},
                      {[this] { return dutyPartitions(); },
                       [this](const auto &Rows) { takeHolderRows(Rows); },
                       [this](const auto &Rows) { takeHolderRows(Rows); },
                       [this] {
                         Duties_.polled(Context_.Clock_.now());
                         Handlers_.OnDuties_();
                       }}) {}

void Knowledge::start() {
  OperatorFollower_.start();
  DutiesFollower_.start();
  connect(&PeerPoll_, &QTimer::timeout, this, [this] {
    if (DutiesFollower_.failing() || OperatorFollower_.failing())
      askPeer();
  });
  PeerPoll_.start(PeerPollMs);
}

// The store may turn this entry away and serve the others.
void Knowledge::askPeer() {
  std::set<std::string> Addresses;
  for (const PoolId &P : Duties_.pools())
    if (const auto H = Duties_.holder(P))
      Addresses.insert(H->Row_.Address_);
  Addresses.erase(Context_.Settings_.Peers_.str());
  if (Addresses.empty() || AskingPeer_)
    return;
  const auto Chosen =
      std::next(Addresses.begin(),
                static_cast<std::ptrdiff_t>(NextPeer_++ % Addresses.size()));
  AskingPeer_ = true;
  askKnowledge(Context_, *Chosen, PeerTimeout,
               guarded(this, [this](const std::optional<SharedKnowledge> &K) {
                 AskingPeer_ = false;
                 if (K)
                   takeShared(*K);
               }));
}

void Knowledge::takeShared(const SharedKnowledge &K) {
  const Instant Now = Context_.Clock_.now();
  if (K.Zone_ != Context_.Settings_.Zone_)
    OtherZoneHeard_ = Now;
  for (const auto &[Pool, Holder] : K.Holders_)
    Duties_.saw(Pool, Holder, Now);
  if (!K.Configuration_.empty())
    takeConfiguration(K.Configuration_, K.ConfigurationRow_);
}

bool Knowledge::isolated() const {
  const Instant Now = Context_.Clock_.now();
  const auto Since = DutiesFollower_.failingSince();
  return Since && Now - *Since > IsolatedAfter &&
         Now - OtherZoneHeard_ > IsolatedAfter;
}

SharedKnowledge Knowledge::shared() const {
  SharedKnowledge K;
  K.Zone_ = Context_.Settings_.Zone_;
  for (const PoolId &P : Duties_.pools())
    if (const auto H = Duties_.holder(P))
      K.Holders_[P] = *H;
  K.Configuration_ = ConfigurationText_;
  K.ConfigurationRow_ = ConfigurationRow_;
  return K;
}

void Knowledge::followWorkers(bool Follow) {
  if (Follow && !std::exchange(WorkersFollowed_, true))
    WorkersFollower_.start();
}

std::vector<std::string> Knowledge::dutyPartitions() const {
  std::vector<std::string> Names;
  for (const PoolId &P : Duties_.pools())
    Names.push_back(P.str());
  return Names;
}

void Knowledge::takeOperatorRows(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    if (Row.Removed_)
      continue;
    if (Row.Place_.Key_ == platform_api::ConfigurationKey)
      takeConfiguration(Row.Value_, Row.Version_);
    else if (auto W = platform_api::parseWave(Row.Place_.Key_, Row.Value_))
      Waves_[W->Number_] = std::move(*W);
  }
}

void Knowledge::takeConfiguration(const std::string &Text, RowVersion Row) {
  auto C = platform_api::parseConfiguration(Text);
  if (!C) {
    Context_.Log_.write("configuration-unreadable",
                        {{"row_version", static_cast<qint64>(Row.value())}});
    return;
  }
  if (Configuration_ && Configuration_->Version_ >= C->Version_)
    return;
  Context_.Log_.write("configuration-in-force",
                      {{"version", static_cast<qint64>(C->Version_)},
                       {"routes", static_cast<qint64>(C->Routes_.size())}});
  Configuration_ = std::move(C);
  ConfigurationText_ = Text;
  ConfigurationRow_ = Row;
  std::set<PoolId> Pools{FleetDuty};
  for (const schedule::Route &R : Configuration_->Routes_)
    Pools.insert(R.Settings_.Pool_);
  // A pool that lost its last route still has jobs to finish.
  Pools.insert(Duties_.pools().begin(), Duties_.pools().end());
  Duties_.setPools(std::move(Pools), Context_.Clock_.now());
  Handlers_.OnConfiguration_();
}

void Knowledge::takeWorkerRow(const StoredRow &Row) {
  const InstanceId Id(Row.Place_.Key_);
  if (Row.Removed_) {
    if (Workers_.contains(Id))
      Missing_.try_emplace(Id, Context_.Clock_.now());
    return;
  }
  auto Info = platform_api::parseWorker(Row.Place_.Key_, Row.Value_);
  if (!Info) {
    Context_.Metrics_.add("heathercross_unreadable_workers_total",
                          "Registrations of workers that can't be read.");
    return;
  }
  Missing_.erase(Id);
  const auto Known = Workers_.find(Id);
  if (Known == Workers_.end() || Known->second.Draining_ != Info->Draining_)
    Context_.Log_.write(
        "worker-seen",
        {{"worker", Id.str().c_str()},
         {"pool", Info->Pool_.str().c_str()},
         {"draining", Info->Draining_},
         {"row_version", static_cast<qint64>(Row.Version_.value())}});
  Workers_[Id] = std::move(*Info);
}

void Knowledge::dropMissing() {
  const Instant Now = Context_.Clock_.now();
  std::erase_if(Missing_, [&](const auto &Entry) {
    if (Now - Entry.second < MissingGrace)
      return false;
    Context_.Log_.write("worker-unregistered",
                        {{"worker", Entry.first.str().c_str()}});
    Workers_.erase(Entry.first);
    return true;
  });
}

void Knowledge::takeHolderRows(const std::vector<StoredRow> &Rows) {
  const Instant Now = Context_.Clock_.now();
  for (const StoredRow &Row : Rows) {
    const auto H = decodeHolder(Row.Value_);
    if (!Row.Removed_ && H)
      Duties_.saw(PoolId(Row.Place_.Partition_), {*H, Row.Version_}, Now);
  }
}

} // namespace heathercross::entry
