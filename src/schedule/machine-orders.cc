// Tracks the machine orders of one holder of the fleet duty until it is certain
// what became of them.
#include "schedule/machine-orders.h"

namespace heathercross::schedule {

namespace {

/// The low bits of a token, which hold the number of the call.
constexpr unsigned CallNumberBits = 26;
constexpr std::uint64_t MaxCallNumber = (1ULL << CallNumberBits) - 1;

} // namespace

OrderToken MachineOrders::nextCall(const MachineId &Id) {
  Open_.insert(Id);
  CallNumber &Last = LastCalls_[Id];
  if (Fencing_ == OrderFencing::Checked && Last.value() < MaxCallNumber)
    Last = Last.next();
  return OrderToken((Held_.value() << CallNumberBits) + Last.value());
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
