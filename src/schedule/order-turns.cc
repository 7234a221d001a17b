// Keeps the platform's order lease between holders of the fleet duty.
#include "schedule/order-turns.h"

namespace heathercross::schedule {

void OrderTurns::adopt(const std::set<MachineId> &Machines) {
  Former_.insert(Machines.begin(), Machines.end());
}

void OrderTurns::adoptOwn(const std::set<MachineId> &Machines) {
  Own_.insert(Machines.begin(), Machines.end());
}

bool OrderTurns::mustWait(const MachineId &Id, Instant Now) const {
  return Now - HeldSince_ < Lease_ &&
         (Former_.contains(Id) || Former_.contains(AnyMachine));
}

std::set<MachineId> OrderTurns::recent(Instant Now) const {
  std::set<MachineId> Recent;
  for (const auto &[Id, OrderedAt] : Ordered_)
    if (Now - OrderedAt < Lease_ + CallTimeout_)
      Recent.insert(Id);
  if (Now - HeldSince_ >= Lease_)
    return Recent;
  Recent.insert(Former_.begin(), Former_.end());
  Recent.insert(Own_.begin(), Own_.end());
  return Recent;
}

} // namespace heathercross::schedule
