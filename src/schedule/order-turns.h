// Keeps the platform's order lease between holders of the fleet duty.
//
// Load: a rolling restart of the entries, in which the duty changes hands twice
// or more within the order lease. Each holder passes on what it knows of the
// orders of all holders before it.
#pragma once

#include "schedule/model.h"

#include <map>
#include <set>

namespace heathercross::schedule {

/// Stands for every machine in a set of machines. Platform names contain no
/// asterisk.
inline const MachineId AnyMachine("*");

/// Tells for which machines a holder must wait, since another holder may have
/// ordered them less than an order lease ago.
class OrderTurns {
public:
  /// The order lease with its margin, how long the call of an order may take,
  /// and when this holder took the duty, after the orders of former holders.
  OrderTurns(Millis Lease, Millis CallTimeout, Instant HeldSince)
      : Lease_(Lease), CallTimeout_(CallTimeout), HeldSince_(HeldSince) {}

  /// Adds machines that other holders may have ordered shortly before this one
  /// took the duty.
  void adopt(const std::set<MachineId> &Machines);
  /// Adds machines that an earlier process of this entry may have ordered. Only
  /// later holders wait for them.
  void adoptOwn(const std::set<MachineId> &Machines);
  /// Records that this holder orders the machine.
  void ordered(const MachineId &Id, Instant Now) { Ordered_[Id] = Now; }

  bool mustWait(const MachineId &Id, Instant Now) const;
  /// The machines that this holder, or one before it, may have ordered within
  /// the lease.
  std::set<MachineId> recent(Instant Now) const;

private:
  Millis Lease_;
  Millis CallTimeout_;
  Instant HeldSince_;
  std::set<MachineId> Former_;
  std::set<MachineId> Own_;
  /// When this holder gave the last order for each machine.
  std::map<MachineId, Instant> Ordered_;
};

} // namespace heathercross::schedule
