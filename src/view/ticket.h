// Submission, voting and commit of change tickets.
//
// Tickets commit in strictly increasing order of their numbers: the row "head"
// holds the number of the last committed ticket, and a ticket commits only if
// its own number is higher. Numbers may be skipped; a ticket below the head
// that was not committed must be submitted again under a new number. A ticket's
// number therefore is also the version of every object that it changed.
//
// All functions are pure: they take rows as read and return a conditional
// transaction. They are idempotent: after a conflict or a commit without a
// response, read the rows again and repeat the call.
#pragma once

#include "heathercross/error.h"
#include "view/codec.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathercross::view {

/// Maximum distance of a ticket's number from the head. Without it, a single
/// submission could exhaust the numbers.
inline constexpr std::uint64_t MaxNumberLead = 1'000;

/// The operators who vote on tickets. The chair is one of the members.
struct Committee {
  std::set<OperatorId> Members_;
  OperatorId Chair_;
};

/// An object of the agreed view and the version of its row.
struct StoredObject {
  ViewObject Value_;
  RowVersion Version_;
  bool operator==(const StoredObject &) const = default;
};

/// The agreed view at one head, with the versions of its rows.
struct AgreedState {
  TicketNumber Head_;
  /// The version of the row "head"; zero when there is none.
  RowVersion HeadVersion_;
  std::map<ObjectKey, StoredObject> Objects_;
};

/// Another ticket with this number exists.
class TicketNumberTaken : public Error {
public:
  explicit TicketNumberTaken(TicketNumber Number);
  const char *code() const noexcept override { return "ticket-number-taken"; }
};

/// The ticket's number is not above the head.
class TicketNumberPassed : public Error {
public:
  TicketNumberPassed(TicketNumber Number, TicketNumber Head);
  const char *code() const noexcept override { return "ticket-number-passed"; }
  TicketNumber head() const { return Head_; }

private:
  TicketNumber Head_;
};

/// The ticket's number is more than MaxNumberLead above the head.
class TicketNumberTooHigh : public Error {
public:
  TicketNumberTooHigh(TicketNumber Number, TicketNumber Highest);
  const char *code() const noexcept override {
    return "ticket-number-too-high";
  }
};

/// The ticket is based on a version of an object that is not current.
class VersionConflict : public Error {
public:
  VersionConflict(ObjectKey Object, TicketNumber Expected, TicketNumber Actual);
  const char *code() const noexcept override { return "version-conflict"; }
  const ObjectKey &object() const { return Object_; }
  TicketNumber expected() const { return Expected_; }
  TicketNumber actual() const { return Actual_; }

private:
  ObjectKey Object_;
  TicketNumber Expected_;
  TicketNumber Actual_;
};

/// The ticket would make the agreed view inconsistent.
class InvalidView : public Error {
public:
  const ObjectKey &object() const { return Object_; }

protected:
  InvalidView(ObjectKey Object, const std::string &Problem);

private:
  ObjectKey Object_;
};

class BudgetAboveSize : public InvalidView {
public:
  BudgetAboveSize(const Budget &B, std::uint32_t Size);
  const char *code() const noexcept override { return "budget-above-size"; }
};

class PoolMissing : public InvalidView {
public:
  PoolMissing(ObjectKey Object, const PoolId &Missing);
  const char *code() const noexcept override { return "pool-missing"; }
};

class SecondSparePool : public InvalidView {
public:
  explicit SecondSparePool(const PoolId &Second);
  const char *code() const noexcept override { return "second-spare-pool"; }
};

class NotOnCommittee : public Error {
public:
  explicit NotOnCommittee(const OperatorId &Operator);
  const char *code() const noexcept override { return "not-on-committee"; }
};

class VoteAlreadyCast : public Error {
public:
  VoteAlreadyCast(const OperatorId &Operator, Vote Cast);
  const char *code() const noexcept override { return "vote-already-cast"; }
};

class TicketClosed : public Error {
public:
  TicketClosed(TicketNumber Number, TicketState State);
  const char *code() const noexcept override { return "ticket-closed"; }
};

class NoSuchTicket : public Error {
public:
  explicit NoSuchTicket(TicketNumber Number);
  const char *code() const noexcept override { return "no-such-ticket"; }
};

/// The rows were read at different heads; read them again.
class TornRead : public Error {
public:
  TornRead();
  const char *code() const noexcept override { return "torn-read"; }
};

/// Decodes the agreed view from the row "head" and all rows under "view/"; the
/// head must be read first. Throws TornRead if a ticket was committed between
/// the reads, and FormatError.
AgreedState readAgreedState(const std::optional<Row> &HeadRow,
                            const std::vector<Row> &ViewRows);

/// The agreed view without row versions.
View viewOf(const AgreedState &State);

/// Returns the view with the changed objects replaced.
View withChanges(View V, const std::vector<Change> &Changes);

/// Throws a subclass of InvalidView if a view, which already includes these
/// changes, is inconsistent.
void validate(const View &V, const std::vector<Change> &Changes);

/// A ticket's new state and the transaction that stores it; no transaction if
/// the state is stored already.
struct TicketUpdate {
  Ticket Ticket_;
  std::optional<Transaction> Write_;
};

/// Inserts a ticket. Existing is the current row of this ticket number. Throws
/// TicketNumberTaken, TicketNumberPassed, TicketNumberTooHigh, VersionConflict
/// and subclasses of InvalidView.
TicketUpdate submit(const Submission &S, const OperatorId &Author,
                    const std::optional<Row> &Existing,
                    const AgreedState &State, const AttemptId &Attempt);

/// Records a vote. The deciding vote commits the ticket in the same transaction
/// or closes it as rejected. A ticket that conflicts with tickets committed
/// since is closed with TicketState::Conflicted. Throws NoSuchTicket,
/// NotOnCommittee, VoteAlreadyCast and TicketClosed.
TicketUpdate vote(TicketNumber Number, const std::optional<Row> &Existing,
                  const OperatorId &Operator, Vote Cast,
                  const Committee &Members, const AgreedState &State,
                  const AttemptId &Attempt);

/// The decision by the votes so far, if there is one: more than half of the
/// members, or exactly half including the chair.
std::optional<Vote> decision(const std::map<OperatorId, Vote> &Votes,
                             const Committee &Members);

} // namespace heathercross::view
