// Claims duties and runs the ones that this entry holds.
#include "entry/duties.h"

#include "entry/rows.h"

#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;

constexpr Millis ClaimTimeout{1500};
/// How often the load of the held duties is observed.
constexpr int PlacementIntervalMs = 100;

} // namespace

Duties::Duties(Context &C, ClusterState &K) : Context_(C), ClusterState_(K) {
  connect(&PlacementTimer_, &QTimer::timeout, this,
          [this] { checkPlacement(); });
  PlacementTimer_.start(PlacementIntervalMs);
}
Duties::~Duties() = default;

std::size_t Duties::heldCount() const {
  return Holders_.size() + (Fleet_ ? 1 : 0);
}

PoolHolder *Duties::holder(const PoolId &Pool) const {
  const auto It = Holders_.find(Pool);
  return It == Holders_.end() ? nullptr : It->second.get();
}

void Duties::onConfiguration() {
  for (auto &[Pool, H] : Holders_)
    H->setConfiguration(*ClusterState_.configuration());
}

void Duties::onWorkers() {
  for (auto &[Pool, H] : Holders_)
    H->setWorkers(ClusterState_.workers());
}

void Duties::onDuties() {
  if (Stopping_ || Claiming_ || !ClusterState_.configuration())
    return;
  // A holder row may name this entry because of a claim whose answer was lost.
  // When it was written isn't known, so the duty is held only once the first
  // batch is stored: another entry may have taken it since. A row of an epoch
  // that has ended here is no such claim.
  for (const PoolId &P : ClusterState_.duties().pools()) {
    const auto Known = ClusterState_.duties().holder(P);
    const bool Running =
        P == FleetDuty ? Fleet_ != nullptr : Holders_.contains(P);
    if (Known && !Running && ClusterState_.duties().mayBegin(P))
      beginDuty(P, {Known->Row_, Known->Version_, schedule::NeverRenewed},
                schedule::ClaimCause::Unresponsive);
  }
  PoolId Released;
  if (const auto Former =
          ClusterState_.duties().nextRelease(Released, Context_.Clock_.now()))
    return writeRelease(Released, *Former);
  if (const auto C =
          ClusterState_.duties().nextClaim(heldCount(), Context_.Clock_.now()))
    claim(*C);
}

void Duties::unreachable(const PoolId &Pool) {
  ClusterState_.duties().holderUnreachable(Pool);
}

void Duties::claim(const schedule::Claim &C) {
  Claiming_ = true;
  if (C.Pool_ == FleetDuty || ClusterState_.isListed(C.Pool_))
    return writeClaim(C);
  listPool(C);
}

void Duties::listPool(const schedule::Claim &C) {
  Context_.Store_.transact(
      {{}, {{{PoolTable, "", C.Pool_.str()}, "{}"}}}, ClaimTimeout,
      guarded(this, [this, C](const StoreReply &R) {
        if (R.Outcome_ == StoreOutcome::Ok)
          ClusterState_.setListed(C.Pool_);
        if (R.Outcome_ == StoreOutcome::Ok && !Stopping_)
          return writeClaim(C);
        Claiming_ = false;
        if (Stopping_)
          return;
        Context_.Log_.write(
            "pool-unlisted",
            {{"pool", C.Pool_.str().c_str()},
             {"outcome", platform_api::outcomeName(R.Outcome_)}});
        ClusterState_.duties().claimRefused(Context_.Clock_.now());
      }));
}

void Duties::writeClaim(const schedule::Claim &C) {
  const schedule::HolderRow Self{Context_.Incarnation_,
                                 Context_.Settings_.Peers_.str(), C.Epoch_, 0};
  const platform_api::RowPlace Place{HolderTable, C.Pool_.str(), HolderKey};
  const Instant SentAt = Context_.Clock_.now();
  Context_.Store_.transact(
      {{{Place, C.Version_}}, {{Place, encodeHolder(Self)}}}, ClaimTimeout,
      guarded(this, [this, C, Self, SentAt](const StoreReply &R) {
        Claiming_ = false;
        Context_.Log_.write(
            "duty-claimed",
            {{"pool", C.Pool_.str().c_str()},
             {"epoch", static_cast<qint64>(C.Epoch_.value())},
             {"row_version", static_cast<qint64>(C.Version_.value())},
             {"cause", schedule::causeName(C.Cause_)},
             {"cpu_share", Context_.Settings_.CpuShare_},
             {"outcome", platform_api::outcomeName(R.Outcome_)}});
        const Instant Now = Context_.Clock_.now();
        if (R.Outcome_ == StoreOutcome::Conflict) {
          for (const auto &Row : R.Rows_)
            if (const auto H = decodeHolder(Row.Value_); H && !Row.Removed_)
              ClusterState_.duties().holderRead(C.Pool_, {*H, Row.Version_},
                                                Now);
          return;
        }
        if (R.Outcome_ != StoreOutcome::Ok)
          return ClusterState_.duties().claimRefused(Now);
        ClusterState_.duties().holderRead(C.Pool_, {Self, R.Version_}, Now);
        beginDuty(C.Pool_, {Self, R.Version_, SentAt, C.FormerActsUntil_},
                  C.Cause_);
      }));
}

void Duties::beginDuty(const PoolId &Pool, const schedule::HeldDuty &Duty,
                       schedule::ClaimCause Cause) {
  if (Stopping_)
    return;
  ClusterState_.duties().begun(Pool, Duty.Self_.Epoch_);
  ClusterState_.followWorkers(true);
  Context_.Metrics_.add("heathercross_duties_taken_total",
                        "Duties that this entry took.");
  const auto OnLost = [this, Pool] {
    QMetaObject::invokeMethod(
        this, [this, Pool] { handleDutyEnd(Pool); }, Qt::QueuedConnection);
  };
  if (Pool == FleetDuty) {
    Fleet_ = std::make_unique<FleetController>(
        Context_, ClusterState_, Duty, Cause,
        [this](const PoolId &P) { return holder(P); }, OnLost);
    return;
  }
  const bool Returned =
      Cause == schedule::ClaimCause::Vacant && Epoch(1) < Duty.Self_.Epoch_;
  Places_[Pool].begun(Returned, Context_.Clock_.now());
  auto H = std::make_unique<PoolHolder>(Context_, Pool, Duty, OnLost);
  H->setConfiguration(*ClusterState_.configuration());
  H->setWorkers(ClusterState_.workers());
  Holders_[Pool] = std::move(H);
}

void Duties::handleDutyEnd(const PoolId &Pool) {
  if (Pool == FleetDuty)
    Fleet_.reset();
  else
    Holders_.erase(Pool);
  ClusterState_.duties().ended(Pool, Context_.Clock_.now());
  ClusterState_.pollDutiesNow();
}

void Duties::stop(std::function<void()> OnDone) {
  Stopping_ = true;
  OnStopped_ = std::move(OnDone);
  PendingHandovers_ = heldCount() + 1;
  const auto Done = [this] { handleHandover(); };
  for (auto &[Pool, H] : Holders_)
    H->handOver(Done);
  if (Fleet_)
    Fleet_->handOver(Done);
  handleHandover();
}

void Duties::handleHandover() {
  if (--PendingHandovers_ == 0 && OnStopped_)
    std::exchange(OnStopped_, nullptr)();
}

std::size_t Duties::interferingPairs() const {
  std::size_t Count = 0;
  for (const auto &[Pool, H] : Holders_)
    Count += H->interferingPairs();
  return Count;
}

QJsonObject Duties::dump() const {
  QJsonObject Pools;
  for (const auto &[Pool, H] : Holders_)
    Pools[QString::fromStdString(Pool.str())] = H->dump();
  return {{"pools", Pools},
          {"fleet", Fleet_ ? QJsonValue(Fleet_->dump()) : QJsonValue()}};
}

} // namespace heathercross::entry
