// Claims duties and runs the ones that this entry holds.
#pragma once

#include "entry/cluster-state.h"
#include "entry/fleet-controller.h"
#include "entry/pool-holder.h"
#include "schedule/duty-place.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>

namespace heathercross::entry {

/// Claims duties that are vacant or whose holder is unresponsive, and runs
/// them.
class Duties : public QObject {
public:
  Duties(Context &C, ClusterState &K);
  ~Duties() override;

  /// To be called when the configuration, the registered workers or the holder
  /// rows were updated.
  void onConfiguration();
  void onWorkers();
  void onDuties();

  /// The holder of a pool's duty if it runs in this process, else null.
  PoolHolder *holder(const PoolId &Pool) const;

  /// Reports that nothing listens at the address of a pool's holder.
  void unreachable(const PoolId &Pool);

  /// Records that another entry with this processor share, in thousandths of a
  /// core, is alive. Entries of earlier versions don't tell their share.
  void entrySeen(const EntryId &Entry, std::uint32_t CpuMilli);
  /// Records that the entry that was asked doesn't hold a duty any more: the
  /// holder rows are read at once, but not more often than a few times a
  /// second.
  void notHeld();

  /// Gives all duties back and claims no more, then calls OnDone.
  void stop(std::function<void()> OnDone);
  QJsonObject dump() const;
  /// The number of pairs of images in all pools that are known to slow each
  /// other down.
  std::size_t interferingPairs() const;

private:
  void claim(const schedule::Claim &C);
  /// Adds a pool to the stored list before its first holder accepts a job, then
  /// claims its duty.
  void listPool(const schedule::Claim &C);
  void writeClaim(const schedule::Claim &C);
  void beginDuty(const PoolId &Pool, const schedule::HeldDuty &Duty,
                 schedule::ClaimCause Cause);
  void handleDutyEnd(const PoolId &Pool);
  std::size_t heldCount() const;
  /// Releases a duty that an earlier process of this entry held.
  void writeRelease(const PoolId &Pool, const schedule::StoredHolder &Former);
  /// Claims a released duty between polls, if this entry has much processor
  /// time, and hands a duty over if this entry can't keep up.
  void checkPlacement();
  void observeLoad();
  /// Number of duties by the names of the entries that hold them.
  std::map<EntryId, std::size_t> dutiesByEntry() const;
  void handOver(const PoolId &Pool, PoolHolder &H,
                const schedule::EntryShares::Candidate &To);
  void handleHandover();

  Context &Context_;
  ClusterState &ClusterState_;
  std::map<PoolId, std::unique_ptr<PoolHolder>> Holders_;
  std::unique_ptr<FleetController> Fleet_;
  schedule::EntryShares Shares_;
  /// By pool, also of duties that were handed over.
  std::map<PoolId, schedule::DutyPlace> Places_;
  QTimer PlacementTimer_;
  /// When the last handover because of load began.
  Instant LastHandover_;
  Instant LastNotHeldPoll_;
  bool Claiming_ = false;
  bool Stopping_ = false;
  /// Handovers that aren't complete yet.
  std::size_t PendingHandovers_ = 0;
  std::function<void()> OnStopped_;
};

} // namespace heathercross::entry
