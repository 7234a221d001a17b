// The duties that this entry holds.
#pragma once

#include "entry/fleet-keeper.h"
#include "entry/knowledge.h"
#include "entry/pool-holder.h"

#include <QObject>

#include <functional>
#include <map>
#include <memory>

namespace heathercross::entry {

/// Takes duties that are vacant or whose holder is silent, and runs them.
class Duties : public QObject {
public:
  Duties(Context &C, Knowledge &K);
  ~Duties() override;

  void onConfiguration();
  void onWorkers();
  void onDuties();

  /// The scheduler of a pool, if this entry runs it.
  PoolHolder *holder(const PoolId &Pool) const;

  /// Nobody was at the address of a pool's holder.
  void unreachable(const PoolId &Pool);

  /// Gives all duties back and takes no more; then calls back.
  void stop(std::function<void()> OnDone);
  QJsonObject dump() const;

private:
  void claim(const schedule::Claim &C);
  void begin(const PoolId &Pool, const schedule::HolderRow &Self,
             RowVersion Guard, schedule::ClaimCause Cause);
  void ended(const PoolId &Pool);
  std::size_t held() const;
  void handedOver();

  Context &Context_;
  Knowledge &Knowledge_;
  std::map<PoolId, std::unique_ptr<PoolHolder>> Holders_;
  std::unique_ptr<FleetKeeper> Fleet_;
  bool Claiming_ = false;
  bool Stopping_ = false;
  std::size_t Leaving_ = 0;
  std::function<void()> OnStopped_;
};

} // namespace heathercross::entry
