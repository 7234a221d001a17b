// Keeps later holders informed of the machines that this one may order.
#include "schedule/announced-orders.h"

namespace heathercross::schedule {

bool AnnouncedOrders::set(const std::set<MachineId> &Machines) {
  bool Changed = std::erase_if(Machines_, [&](const auto &Entry) {
                   return !Machines.contains(Entry.first);
                 }) > 0;
  for (const MachineId &Id : Machines)
    Changed |= Machines_.try_emplace(Id).second;
  return Changed;
}

void AnnouncedOrders::put(Ticket T) {
  for (auto &[Id, FirstChange] : Machines_)
    FirstChange = FirstChange.value_or(T);
}

bool AnnouncedOrders::isStored(const MachineId &Id, Ticket Durable) const {
  const auto It = Machines_.find(Id);
  return It != Machines_.end() && It->second && *It->second <= Durable;
}

} // namespace heathercross::schedule
