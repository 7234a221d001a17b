// An entry's copy of the configuration, the registered workers, the maintenance
// waves and the duty holders.
#include "entry/cluster-state.h"

#include "entry/rows.h"
#include "platform/documents.h"

#include <algorithm>
#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::StoredRow;

/// Long poll, so that a configuration change is seen at once. A dead connection
/// is noticed after this wait and the call's timeout, within the 2 s in which
/// a change must take effect.
constexpr Millis OperatorWait{800};
constexpr Millis OperatorPause{20};
/// Workers write their rows about every 1.5 s; this bounds the delay until a
/// new or draining worker is seen.
constexpr Millis WorkersPause{300};
/// Holders write their rows about every 0.6 s.
constexpr Millis DutiesPause{350};
/// A worker is dropped once its row is missing for this long: rows that vanish
/// during a store outage are back within 2 s of its end.
constexpr Millis MissingGrace{2500};
/// While the store doesn't serve this entry, it polls other entries.
constexpr int PeerPollIntervalMs = 250;
constexpr Millis PeerTimeout{600};
/// An entry reports itself isolated to the load balancer when the store and the
/// other zones haven't answered for this long: two rounds of polling.
constexpr Millis IsolatedAfter{700};
/// CPU share, in cores, to which an entry's share is compared. An entry with
/// less holds fewer duties.
constexpr double ReferenceCpuShare = 0.25;
/// Lower bound of a CPU share, in cores, so that it can be a divisor.
constexpr double MinCpuShare = 0.01;

std::vector<std::string> singlePartition() { return {""}; }

} // namespace

ClusterState::ClusterState(Context &C, Handlers H)
    : Context_(C), Handlers_(std::move(H)),
      Duties_(C.Incarnation_,
              ReferenceCpuShare / std::max(MinCpuShare, C.Settings_.CpuShare_),
              // A released fleet duty has to name the machines that were
              // ordered lately, which a new process doesn't know.
              {FleetDuty}),
      OperatorFollower_(
          C, {platform_api::OperatorTable, OperatorWait, OperatorPause},
          {singlePartition,
           [this](const auto &Rows) { applyOperatorRows(Rows); },
           [this](const auto &Rows) { applyOperatorRows(Rows); }, [] {}}),
      WorkersFollower_(C, {platform_api::WorkerTable, Millis(0), WorkersPause},
                       {singlePartition,
                        [this](const std::vector<StoredRow> &Rows) {
                          const Instant Now = Context_.Clock_.now();
                          for (const auto &[Id, Info] : Workers_)
                            Missing_.try_emplace(Id, Now);
                          for (const StoredRow &Row : Rows)
                            applyWorkerRow(Row);
                        },
                        [this](const std::vector<StoredRow> &Rows) {
                          for (const StoredRow &Row : Rows)
                            applyWorkerRow(Row);
                        },
                        [this] {
                          dropMissingWorkers();
                          Handlers_.OnWorkers_();
                        }}),
      DutiesFollower_(C, {HolderTable, Millis(0), DutiesPause, PoolTable},
                      {[this] { return dutyPartitions(); },
                       [this](const auto &Rows) { applyHolderRows(Rows); },
                       [this](const auto &Rows) { applyHolderRows(Rows); },
                       [this] {
                         Duties_.polled(Context_.Clock_.now());
                         Handlers_.OnDuties_();
                       },
                       [this](const StoredRow &Row) {
                         ListedPools_.insert(PoolId(Row.Place_.Key_));
                       }}) {}

void ClusterState::start() {
  OperatorFollower_.start();
  DutiesFollower_.start();
  connect(&PeerPollTimer_, &QTimer::timeout, this, [this] {
    if (DutiesFollower_.failing() || OperatorFollower_.failing())
      askPeer();
  });
  PeerPollTimer_.start(PeerPollIntervalMs);
}

// Asks other entries for their cluster state, as the store may serve them while
// it refuses this entry's calls.
void ClusterState::askPeer() {
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
  requestClusterState(
      Context_, *Chosen, PeerTimeout,
      guarded(this, [this, SentAt = Context_.Clock_.now()](
                        const std::optional<SharedClusterState> &K) {
        AskingPeer_ = false;
        if (K)
          applyShared(*K, SentAt);
      }));
}

void ClusterState::applyShared(const SharedClusterState &K, Instant SentAt) {
  const Instant Now = Context_.Clock_.now();
  if (K.Zone_ != Context_.Settings_.Zone_)
    OtherZoneAnsweredAt_ = Now;
  for (const auto &[Pool, Holder] : K.Holders_)
    Duties_.holderRead(Pool, Holder, Now);
  if (!K.Configuration_.empty())
    applyConfiguration(K.Configuration_, K.ConfigurationRow_);
  if (K.ConfigurationAge_ && K.ConfigurationRow_ == ConfigurationRow_)
    PeerConfirmedAt_ =
        std::max(PeerConfirmedAt_, SentAt - *K.ConfigurationAge_);
}

bool ClusterState::isolated() const {
  const Instant Now = Context_.Clock_.now();
  const auto Since = DutiesFollower_.failingSince();
  return Since && Now - *Since > IsolatedAfter &&
         Now - OtherZoneAnsweredAt_ > IsolatedAfter;
}

SharedClusterState ClusterState::shared() const {
  SharedClusterState K;
  K.Zone_ = Context_.Settings_.Zone_;
  for (const PoolId &P : Duties_.pools())
    if (const auto H = Duties_.holder(P))
      K.Holders_[P] = *H;
  K.Configuration_ = ConfigurationText_;
  K.ConfigurationRow_ = ConfigurationRow_;
  if (const Instant Confirmed = configurationConfirmedAt();
      Confirmed != Instant())
    K.ConfigurationAge_ = toMillis(Context_.Clock_.now() - Confirmed);
  return K;
}

void ClusterState::followWorkers(bool Follow) {
  if (Follow && !std::exchange(WorkersFollowed_, true))
    WorkersFollower_.start();
}

std::vector<std::string> ClusterState::dutyPartitions() const {
  std::vector<std::string> Names;
  for (const PoolId &P : Duties_.pools())
    Names.push_back(P.str());
  return Names;
}

void ClusterState::applyOperatorRows(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    if (Row.Removed_)
      continue;
    if (Row.Place_.Key_ == platform_api::ConfigurationKey)
      applyConfiguration(Row.Value_, Row.Version_);
    else if (auto W = platform_api::parseWave(Row.Place_.Key_, Row.Value_))
      Waves_[W->Number_] = std::move(*W);
  }
}

void ClusterState::applyConfiguration(const std::string &Text, RowVersion Row) {
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
  Duties_.addPools(Pools, Context_.Clock_.now());
  Handlers_.OnConfiguration_();
}

void ClusterState::applyWorkerRow(const StoredRow &Row) {
  const InstanceId Id(Row.Place_.Key_);
  auto Info = Row.Removed_
                  ? std::nullopt
                  : platform_api::parseWorker(Row.Place_.Key_, Row.Value_);
  if (!Info) {
    if (!Row.Removed_)
      Context_.Metrics_.add("heathercross_unreadable_workers_total",
                            "Registrations of workers that can't be read.");
    if (Workers_.contains(Id))
      Missing_.try_emplace(Id, Context_.Clock_.now());
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

void ClusterState::dropMissingWorkers() {
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

void ClusterState::applyHolderRows(const std::vector<StoredRow> &Rows) {
  const Instant Now = Context_.Clock_.now();
  for (const StoredRow &Row : Rows) {
    const auto H = decodeHolder(Row.Value_);
    if (!Row.Removed_ && H)
      Duties_.holderRead(PoolId(Row.Place_.Partition_), {*H, Row.Version_},
                         Now);
  }
}

} // namespace heathercross::entry
