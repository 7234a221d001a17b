// Tracks the machine orders of one holder of the fleet duty until it is certain
// what became of them.
#pragma once

#include "schedule/model.h"

#include <map>
#include <set>

namespace heathercross::schedule {

/// The fencing token of one machine order. The platform keeps the highest token
/// that it has seen for each machine.
using OrderToken = Counter<struct OrderTokenTag>;

/// The outcome of one call that orders something for a machine.
enum class MachineOutcome : std::uint8_t {
  /// Carried out now or before.
  Ok,
  /// The platform has seen a higher token for the machine.
  Fenced,
  /// The machine isn't up or is leaving its pool.
  Busy,
  /// The machine isn't part of the wave, or the machine or pool doesn't exist.
  Rejected,
  /// Rate limited, overloaded or unreachable; this call did nothing, but an
  /// earlier one may.
  Refused,
  /// No answer, or a server error: the call may still be carried out.
  Unknown,
};

/// What is known of an order after an answer.
enum class OrderState : std::uint8_t {
  Done,
  /// Not carried out, and no call for it will be.
  NotDone,
  /// A call for it may still be carried out; the caller repeats the order.
  Uncertain,
  /// Another holder has given orders for the machine.
  DutyLost,
};

/// Whether the platform refuses orders with a lower token than it has seen.
enum class OrderFencing : std::uint8_t { Checked, Unchecked };

/// Tracks the orders for all machines. A machine has at most one order at a
/// time, and an order at most one call at a time.
///
/// A call without an answer may be carried out seconds later. Where the
/// platform checks fences, each call has a higher token than the earlier ones
/// for its machine, so once a call has been carried out, the earlier ones are
/// refused. A refusal says nothing about the earlier calls. Elsewhere all calls
/// of an epoch have the same token, as a late call with a lower one would break
/// the order of tokens.
class MachineOrders {
public:
  MachineOrders(Epoch Held, OrderFencing Fencing)
      : Held_(Held), Fencing_(Fencing) {}

  /// Records that a former holder's calls for these machines may still be
  /// carried out. A call for each of them settles that, such as a move to the
  /// pool that it is in.
  void adopt(const std::set<MachineId> &Machines);
  /// Records that an order for the machine is sent, and returns its token.
  /// Tokens of a later epoch are higher.
  OrderToken nextCall(const MachineId &Id);
  /// Returns what the answer to the call with this token proves.
  OrderState handleAnswer(const MachineId &Id, OrderToken Token,
                          MachineOutcome O);
  /// Whether an order for the machine may still be carried out.
  bool isOpen(const MachineId &Id) const { return Open_.contains(Id); }
  std::set<MachineId> open() const;

private:
  /// Numbers the calls for a machine within an epoch.
  using CallNumber = Counter<struct CallNumberTag>;

  OrderToken lastToken(const MachineId &Id) const;

  Epoch Held_;
  OrderFencing Fencing_;
  std::map<MachineId, CallNumber> LastCalls_;
  /// Machines with an order whose outcome is uncertain, and whether a call for
  /// it went unanswered.
  std::map<MachineId, bool> Open_;
};

} // namespace heathercross::schedule
