// Machine orders: upkeep waves, while this entry holds the fleet's duty.
#pragma once

#include "entry/journal-writer.h"
#include "entry/knowledge.h"
#include "entry/pool-holder.h"
#include "schedule/pool-sizing.h"
#include "schedule/wave-plan.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <set>

namespace heathercross::entry {

class FleetKeeper : public QObject {
public:
  using LocalHolder = std::function<PoolHolder *(const PoolId &)>;

  FleetKeeper(Context &C, const Knowledge &K, schedule::HolderRow Self,
              RowVersion Guard, schedule::ClaimCause Cause, LocalHolder Local,
              std::function<void()> OnLost);

  void handOver(std::function<void()> OnDone);
  QJsonObject dump() const;

private:
  struct WaveState {
    schedule::WavePlan Plan_;
    bool ActiveWritten_ = false;
    bool CompleteWritten_ = false;
    bool WriteInFlight_ = false;
    std::size_t StoredCount_ = 0;
    schedule::PoolJournal::Ticket Ticket_ = 0;
  };

  void load();
  void tick();
  void findWaves();
  void listMachines(const std::string &Token);
  void askHolders();
  void runWave(WaveState &W);
  void orderUpkeep(std::uint64_t Wave, const schedule::MachineId &Id);
  void ordered(std::uint64_t Wave, const schedule::MachineId &Id,
               platform_api::MachineOutcome O);
  void sizePools();
  void logSizes(const std::map<PoolId, schedule::PoolSize> &Sizes,
                const std::map<PoolId, schedule::PoolNeed> &Needs);
  void orderMove(const schedule::MachineMove &M);
  void moved(const schedule::MachineMove &M, platform_api::MachineOutcome O);
  std::vector<schedule::SizedMachine> sizedMachines() const;
  PoolId standby() const;
  void vacate(const schedule::MachineId &Id);
  void storeWave(WaveState &W);
  void writeStatus(WaveState &W, bool Complete);
  bool mayOrder() const;
  /// Whether a former holder may have ordered the machine so lately that
  /// another one may not yet.
  bool heldBack(const schedule::MachineId &Id) const;
  void noteOrder(const schedule::MachineId &Id);
  /// Machines that this holder ordered within the platform's order lease.
  std::set<schedule::MachineId> lateOrders() const;
  std::map<schedule::MachineId, schedule::MachineLoad> loads() const;
  void lose(const char *Cause);

  Context &Context_;
  const Knowledge &Knowledge_;
  LocalHolder Local_;
  std::function<void()> OnLost_;
  JournalWriter Writer_;
  Instant Since_;
  schedule::ClaimCause Cause_;
  /// Machines that the former holder had ordered shortly before it gave the
  /// duty back.
  std::set<schedule::MachineId> FormerOrders_;
  /// When this holder ordered each machine last.
  std::map<schedule::MachineId, Instant> Orders_;
  bool Loaded_ = false;
  bool Lost_ = false;
  bool Leaving_ = false;
  std::function<void()> OnHandedOver_;
  std::map<std::uint64_t, std::set<schedule::MachineId>> Stored_;
  std::map<std::uint64_t, WaveState> Waves_;
  std::map<schedule::MachineId, schedule::Machine> Machines_;
  std::map<schedule::MachineId, schedule::Machine> Listing_;
  bool ListInFlight_ = false;
  Instant NextList_;
  struct DatedPicture {
    PoolPicture Picture_;
    Instant At_;
  };
  void dropOldPictures();
  std::map<PoolId, DatedPicture> Pictures_;
  std::set<PoolId> Asking_;
  schedule::PoolSizing Sizing_;
  /// The sizes that were logged last.
  std::map<PoolId, schedule::PoolSize> Sizes_;
  /// Moves that were ordered and don't show in the list yet, and when the
  /// platform answered them.
  struct Moving {
    PoolId To_;
    std::optional<Instant> AnsweredAt_;
  };
  std::map<schedule::MachineId, Moving> Moving_;
  /// Machines that a wave wants.
  std::set<schedule::MachineId> Reserved_;
  /// Instances that shall become empty, by pool.
  std::map<PoolId, std::set<InstanceId>> Vacating_;
  QTimer Tick_;
};

} // namespace heathercross::entry
