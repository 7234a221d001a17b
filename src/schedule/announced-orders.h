// Keeps later holders informed of the machines that this one may order.
//
// Load: a wave in which the holder of the fleet duty is lost. An order that is
// stored only after its answer is unknown to the next holder, which counts the
// machine as available and sends another one away beyond the wave's limit.
#pragma once

#include "schedule/model.h"
#include "schedule/pool-journal.h"

#include <map>
#include <optional>
#include <set>

namespace heathercross::schedule {

/// The machines that a holder may order, or whose orders may still be carried
/// out, and which of them are stored. A machine is announced before it is
/// ordered.
class AnnouncedOrders {
public:
  using Ticket = PoolJournal::Ticket;

  /// Sets the machines. Returns whether they differ from those before and have
  /// to be stored.
  bool set(const std::set<MachineId> &Machines);
  /// Records the change of the journal that stores the machines.
  void put(Ticket T);
  /// Whether a later holder finds the machine, given the last durable change.
  bool isStored(const MachineId &Id, Ticket Durable) const;

private:
  /// The first of the changes in a row that name the machine; absent until it
  /// is put.
  std::map<MachineId, std::optional<Ticket>> Machines_;
};

} // namespace heathercross::schedule
