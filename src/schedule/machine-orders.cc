// Tracks the machine orders of one holder of the fleet duty until it is certain
// what became of them.
#include "schedule/machine-orders.h"

namespace heathercross::schedule {

OrderToken MachineOrders::nextCall(const MachineId &Id) {
  Open_.insert(Id);
  return OrderToken(Held_.value());
}

OrderState MachineOrders::handleAnswer(const MachineId &Id, OrderToken,
                                       MachineOutcome O) {
  switch (O) {
  case MachineOutcome::Unknown:
    return OrderState::Uncertain;
  case MachineOutcome::Fenced:
    return OrderState::DutyLost;
  case MachineOutcome::Ok:
    Open_.erase(Id);
    return OrderState::Done;
  case MachineOutcome::Busy:
  case MachineOutcome::Rejected:
  case MachineOutcome::Refused:
    break;
  }
  Open_.erase(Id);
  return OrderState::NotDone;
}

} // namespace heathercross::schedule
