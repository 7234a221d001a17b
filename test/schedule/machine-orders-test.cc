// Tests of machine orders on a platform that carries unanswered calls out late.
#include "schedule/machine-orders.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <vector>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

const MachineId M1("m1");
const PoolId Quotes("quotes");
const PoolId Bookings("bookings");
const PoolId Standby("standby");

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

// Guards against a refusal that is taken as proof that an earlier call for the
// same order won't be carried out.
HEATHERCROSS_STORY(RefusalAfterLostAnswer,
                   "a refusal doesn't settle an unanswered order") {
  for (const Fate F : {Fate::Refused, Fate::Busy})
    section(F == Fate::Busy ? "busy" : "refused", [&] {
      ModelPlatform P;
      ModelHolder H{P, MachineOrders(Epoch(1), OrderFencing::Checked)};
      H.move(M1, Quotes, Fate::Late);
      CPPUNIT_ASSERT(H.move(M1, Quotes, F) == OrderState::Uncertain);
      CPPUNIT_ASSERT(H.Orders_.isOpen(M1));
      section("until a repetition is answered", [&] {
        CPPUNIT_ASSERT(H.move(M1, Quotes, Fate::Answered) == OrderState::Done);
        CPPUNIT_ASSERT(!H.Orders_.isOpen(M1));
        CPPUNIT_ASSERT(!P.carryOutLate(0));
      });
      section("a later order that is refused at once is settled", [&] {
        CPPUNIT_ASSERT(H.move(M1, Standby, F) == OrderState::NotDone);
        CPPUNIT_ASSERT(!H.Orders_.isOpen(M1));
      });
    });
}

// Guards against late orders of a former holder that end what its successor has
// started on the machine.
HEATHERCROSS_STORY(FormerOpenOrder,
                   "a former holder's open order is settled by a call") {
  ModelPlatform P;
  ModelHolder Former{P, MachineOrders(Epoch(1), OrderFencing::Checked)};
  Former.move(M1, Quotes, Fate::Late);
  ModelHolder H{P, MachineOrders(Epoch(2), OrderFencing::Checked)};
  H.Orders_.adopt(Former.Orders_.open());
  CPPUNIT_ASSERT(H.Orders_.isOpen(M1));
  section("a refusal doesn't settle it", [&] {
    CPPUNIT_ASSERT(H.move(M1, P.pool(M1), Fate::Refused) ==
                   OrderState::Uncertain);
  });
  section("a move to the machine's own pool does", [&] {
    CPPUNIT_ASSERT(H.move(M1, P.pool(M1), Fate::Answered) == OrderState::Done);
    CPPUNIT_ASSERT(!H.Orders_.isOpen(M1));
    CPPUNIT_ASSERT(!P.carryOutLate(0));
  });
}

// Guards against a duty given up because of the holder's own later call.
HEATHERCROSS_STORY(FencedByOwnCall,
                   "only another holder's token shows a lost duty") {
  MachineOrders O(Epoch(1), OrderFencing::Checked);
  const OrderToken First = O.nextCall(M1);
  const OrderToken Second = O.nextCall(M1);
  CPPUNIT_ASSERT(O.handleAnswer(M1, First, MachineOutcome::Fenced) ==
                 OrderState::Uncertain);
  CPPUNIT_ASSERT(O.handleAnswer(M1, Second, MachineOutcome::Fenced) ==
                 OrderState::DutyLost);
}

namespace {

/// Gives random orders, each repeated until it is settled, and lets the
/// platform carry out late calls at random moments.
void runLateCalls() {
  const auto Script = *rc::gen::container<std::vector<std::pair<int, int>>>(
      60, rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 60)));
  const std::vector<PoolId> Pools{Quotes, Bookings, Standby};
  const std::vector<MachineId> Ids{M1, MachineId("m2")};
  ModelPlatform P;
  ModelHolder H{P, MachineOrders(Epoch(1), OrderFencing::Checked)};
  std::map<MachineId, PoolId> Targets;
  for (const auto &[Kind, Argument] : Script) {
    const auto Number = static_cast<std::size_t>(Argument);
    if (Kind > static_cast<int>(Fate::Busy)) {
      if (P.lateCalls() == 0)
        continue;
      const auto Ended = P.carryOutLate(Number % P.lateCalls());
      RC_ASSERT(!Ended || H.Orders_.isOpen(*Ended));
      continue;
    }
    const MachineId &Id = Ids[Number % Ids.size()];
    if (!H.Orders_.isOpen(Id))
      Targets[Id] = Pools[Number % Pools.size()];
    RC_ASSERT(H.move(Id, Targets[Id], static_cast<Fate>(Kind)) !=
              OrderState::DutyLost);
  }
}

} // namespace

HEATHERCROSS_STORY(LateCallsProperty,
                   "no late call reaches a machine whose orders are settled") {
  HEATHERCROSS_PROPERTY("whatever calls are late, lost or refused",
                        [] { runLateCalls(); });
}
