// Tests of machine orders on a platform that carries unanswered calls out late.
#include "schedule/machine-orders.h"
#include "support/story.h"

#include <vector>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

const MachineId M1("m1");
const PoolId Quotes("quotes");
const PoolId Bookings("bookings");

/// What happens to a call.
enum class Fate : std::uint8_t {
  Answered,
  /// Carried out, but the answer is lost.
  AnswerLost,
  /// Unanswered, and carried out later.
  Late,
  /// Refused before the fence is checked.
  Refused,
  /// The machine is busy; the platform doesn't check the fence.
  Busy,
};

/// The platform's side of machine moves. It checks fences when it carries a
/// call out.
class ModelPlatform {
public:
  MachineOutcome move(const MachineId &Id, OrderToken Token, const PoolId &To,
                      Fate F) {
    switch (F) {
    case Fate::Refused:
      return MachineOutcome::Refused;
    case Fate::Busy:
      return MachineOutcome::Busy;
    case Fate::Late:
      Late_.push_back({Id, Token, To});
      return MachineOutcome::Unknown;
    case Fate::AnswerLost:
      carryOut({Id, Token, To});
      return MachineOutcome::Unknown;
    case Fate::Answered:
      break;
    }
    return carryOut({Id, Token, To}) ? MachineOutcome::Ok
                                     : MachineOutcome::Fenced;
  }

  /// Carries out the late call at this position; returns the machine if
  /// everything that runs on it has ended.
  std::optional<MachineId> carryOutLate(std::size_t Position) {
    const Call C = Late_.at(Position);
    Late_.erase(Late_.begin() + static_cast<std::ptrdiff_t>(Position));
    const std::uint32_t MovesBefore = Moves_;
    carryOut(C);
    return Moves_ == MovesBefore ? std::nullopt : std::optional(C.Machine_);
  }
  std::size_t lateCalls() const { return Late_.size(); }
  PoolId pool(const MachineId &Id) { return Pools_[Id]; }

private:
  struct Call {
    MachineId Machine_;
    OrderToken Token_;
    PoolId To_;
  };

  bool carryOut(const Call &C) {
    OrderToken &Fence = Fences_[C.Machine_];
    if (C.Token_ < Fence)
      return false;
    Fence = C.Token_;
    if (Pools_[C.Machine_] != C.To_)
      ++Moves_;
    Pools_[C.Machine_] = C.To_;
    return true;
  }

  std::map<MachineId, PoolId> Pools_;
  std::map<MachineId, OrderToken> Fences_;
  std::vector<Call> Late_;
  std::uint32_t Moves_ = 0;
};

/// A holder of the fleet duty and the platform.
struct ModelHolder {
  ModelPlatform &Platform_;
  MachineOrders Orders_;

  OrderState move(const MachineId &Id, const PoolId &To, Fate F) {
    const OrderToken Token = Orders_.nextCall(Id);
    return Orders_.handleAnswer(Id, Token, Platform_.move(Id, Token, To, F));
  }
};

} // namespace

// Guards against a late first copy of a repeated order that undoes a newer one.
HEATHERCROSS_STORY(LateMoveBack, "a late order doesn't undo a newer one") {
  ModelPlatform P;
  ModelHolder H{P, MachineOrders(Epoch(1), OrderFencing::Checked)};
  CPPUNIT_ASSERT(H.move(M1, Quotes, Fate::Late) == OrderState::Uncertain);
  CPPUNIT_ASSERT(H.move(M1, Quotes, Fate::Answered) == OrderState::Done);
  CPPUNIT_ASSERT(H.move(M1, Bookings, Fate::Answered) == OrderState::Done);
  CPPUNIT_ASSERT(!P.carryOutLate(0));
  CPPUNIT_ASSERT(P.pool(M1) == Bookings);
}

// Guards against tokens that break the platform's rule for holders.
HEATHERCROSS_STORY(OrderTokens, "tokens rise as the platform requires") {
  MachineOrders Checked(Epoch(1), OrderFencing::Checked);
  const OrderToken First = Checked.nextCall(M1);
  CPPUNIT_ASSERT(First < Checked.nextCall(M1));
  section("a later holder's tokens are higher than all earlier ones", [&] {
    OrderToken Highest;
    for (int I = 0; I < 1000; ++I)
      Highest = Checked.nextCall(M1);
    MachineOrders Later(Epoch(2), OrderFencing::Checked);
    CPPUNIT_ASSERT(Highest < Later.nextCall(M1));
  });
  section("without checks all calls of an epoch have one token", [&] {
    MachineOrders Unchecked(Epoch(1), OrderFencing::Unchecked);
    CPPUNIT_ASSERT(Unchecked.nextCall(M1) == Unchecked.nextCall(M1));
  });
}
