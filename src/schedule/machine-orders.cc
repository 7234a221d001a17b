// Tracks the machine orders of one holder of the fleet duty until it is certain
// what became of them.
#include "schedule/machine-orders.h"

namespace heathercross::schedule {

namespace {

/// The low bits of a token, which hold the number of the call.
constexpr unsigned CallNumberBits = 26;
constexpr std::uint64_t MaxCallNumber = (1ULL << CallNumberBits) - 1;

} // namespace

void MachineOrders::adopt(const std::set<MachineId> &Machines) {
  for (const MachineId &Id : Machines)
    Open_[Id] = true;
}

std::set<MachineId> MachineOrders::open() const {
  std::set<MachineId> Ids;
  for (const auto &[Id, Unanswered] : Open_)
    Ids.insert(Id);
  return Ids;
}

OrderToken MachineOrders::nextCall(const MachineId &Id) {
  Open_.try_emplace(Id, false);
  CallNumber &Last = LastCalls_[Id];
  if (Fencing_ == OrderFencing::Checked && Last.value() < MaxCallNumber)
    Last = Last.next();
  return lastToken(Id);
}

OrderToken MachineOrders::lastToken(const MachineId &Id) const {
  return OrderToken((Held_.value() << CallNumberBits) +
                    LastCalls_.at(Id).value());
}

OrderState MachineOrders::handleAnswer(const MachineId &Id, OrderToken Token,
                                       MachineOutcome O) {
  const auto Order = Open_.find(Id);
  const bool Unanswered = Order != Open_.end() && Order->second;
  switch (O) {
  case MachineOutcome::Unknown:
    Open_[Id] = true;
    return OrderState::Uncertain;
  case MachineOutcome::Fenced:
    // This holder's own later call also makes the platform refuse a token.
    return Token < lastToken(Id) ? OrderState::Uncertain : OrderState::DutyLost;
  case MachineOutcome::Busy:
  case MachineOutcome::Refused:
    // The platform may give both answers before it checks the fence.
    if (Unanswered)
      return OrderState::Uncertain;
    break;
  case MachineOutcome::Ok:
  case MachineOutcome::Rejected:
    break;
  }
  Open_.erase(Id);
  return O == MachineOutcome::Ok ? OrderState::Done : OrderState::NotDone;
}

} // namespace heathercross::schedule
