// Gives machine orders (upkeep and moves) while this entry holds the fleet
// duty.
#pragma once

#include "entry/cluster-state.h"
#include "entry/journal-writer.h"
#include "entry/pool-holder.h"
#include "schedule/announced-orders.h"
#include "schedule/machine-orders.h"
#include "schedule/order-turns.h"
#include "schedule/pool-sizing.h"
#include "schedule/wave-plan.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <set>

namespace heathercross::entry {

/// Carries out maintenance waves and moves machines between pools. It takes the
/// demand and load of each pool from the pool's holder.
class FleetController : public QObject {
public:
  /// Returns the holder of a pool in this process, or null.
  using FindLocalHolder = std::function<PoolHolder *(const PoolId &)>;

  /// Cause says why this entry claimed the duty. OnLost is called once when the
  /// duty is lost or given back.
  FleetController(Context &C, const ClusterState &K, schedule::HeldDuty Duty,
                  schedule::ClaimCause Cause, FindLocalHolder FindHolder,
                  std::function<void()> OnLost);

  /// Stores the recent orders, gives the duty back, then calls OnDone.
  void handOver(std::function<void()> OnDone);
  QJsonObject dump() const;

private:
  /// A maintenance wave and how much of it is stored.
  struct WaveState {
    schedule::WavePlan Plan_;
    /// Whether the status row says that the wave is active or complete.
    bool ActiveWritten_ = false;
    bool CompleteWritten_ = false;
    bool WriteInFlight_ = false;
    /// Number of begun machines in the last stored change, and that change.
    std::size_t StoredCount_ = 0;
    schedule::PoolJournal::Ticket Ticket_ = 0;
  };

  void load();
  void tick();
  void addNewWaves();
  void listMachines(const std::string &Token);
  void pollHolders();
  void runWave(WaveState &W);
  void orderUpkeep(std::uint64_t Wave, const schedule::MachineId &Id);
  void handleUpkeepAnswer(std::uint64_t Wave, const schedule::MachineId &Id,
                          schedule::OrderToken Token,
                          platform_api::MachineOutcome O);
  /// Orders machines into the pools that they are in, to make a former holder's
  /// open orders for them void.
  void settleFormerOrders();
  /// Stores which machines of waves may be ordered next.
  void announceOrders();
  void sizePools();
  void logSizes(const std::map<PoolId, schedule::PoolSize> &Sizes,
                const std::map<PoolId, schedule::PoolNeed> &Needs);
  void orderMove(const schedule::MachineMove &M);
  void handleMoveAnswer(const schedule::MachineMove &M,
                        schedule::OrderToken Token,
                        platform_api::MachineOutcome O);
  std::vector<schedule::SizedMachine> sizedMachines() const;
  PoolId standbyPool() const;
  void evacuate(const schedule::MachineId &Id);
  void storeWave(WaveState &W);
  void writeStatus(WaveState &W, bool Complete);
  bool mayGiveOrders() const;
  std::map<schedule::MachineId, schedule::MachineLoad> machineLoads() const;
  void loseDuty(const char *Cause);

  Context &Context_;
  const ClusterState &ClusterState_;
  FindLocalHolder FindLocalHolder_;
  std::function<void()> OnLost_;
  JournalWriter Writer_;
  schedule::ClaimCause Cause_;
  schedule::OrderTurns Turns_;
  /// Machines for which former holders may have left open orders. They are
  /// settled once an order of this holder is answered.
  std::set<schedule::MachineId> FormerOpen_;
  schedule::AnnouncedOrders Announced_;
  schedule::MachineOrders Orders_;
  bool Loaded_ = false;
  bool Lost_ = false;
  bool HandingOver_ = false;
  std::function<void()> OnHandedOver_;
  /// Begun machines of each wave, as stored by former holders.
  std::map<std::uint64_t, std::set<schedule::MachineId>> StoredWaves_;
  std::map<std::uint64_t, WaveState> Waves_;
  std::map<schedule::MachineId, schedule::Machine> Machines_;
  /// The pages of the current listing, until it is complete.
  std::map<schedule::MachineId, schedule::Machine> Listing_;
  bool ListInFlight_ = false;
  Instant NextList_;
  struct DatedSnapshot {
    PoolSnapshot Snapshot_;
    Instant TakenAt_;
  };
  void dropOldSnapshots();
  /// Arrival rates of accounts in all pools but one.
  accounts::ArrivalRates otherPoolsOf(const PoolId &P) const;
  std::map<PoolId, DatedSnapshot> Snapshots_;
  /// Pools whose holder has an unanswered request.
  std::set<PoolId> AskedPools_;
  schedule::PoolSizing Sizing_;
  /// The sizes as last logged.
  std::map<PoolId, schedule::PoolSize> LoggedSizes_;
  /// An ordered move that the machine list doesn't show yet, and when the
  /// platform accepted it.
  struct PendingMove {
    PoolId To_;
    std::optional<Instant> AnsweredAt_;
  };
  std::map<schedule::MachineId, PendingMove> PendingMoves_;
  /// Machines that a maintenance wave evacuates, or whose orders of former
  /// holders are open.
  std::set<schedule::MachineId> Reserved_;
  /// Instances to evacuate, by pool.
  std::map<PoolId, std::set<InstanceId>> Evacuating_;
  QTimer TickTimer_;
};

} // namespace heathercross::entry
