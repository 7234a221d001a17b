// The life of a ticket: submission, votes, commit.
//
// Tickets commit strictly upwards: the row "head" holds the number of the last
// committed ticket, and a ticket commits only while its own number is above
// it. Gaps may stay; a lower number that wasn't committed is passed and must
// be submitted again under a new one. So a ticket's number is also the version
// of every object that it changed.
//
// All functions are pure: they get rows as they were read and give a
// conditional transaction. Each is idempotent: after a conflict or an
// uncertain answer, read the rows again and call it again.
#pragma once

#include "heathercross/error.h"
#include "view/codec.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathercross::view {

/// How far above the head a ticket's number may be, so that one submission
/// can't use up the numbers.
inline constexpr std::uint64_t MaxNumberLead = 1'000;

/// Who decides. The chair is one of the members.
struct Committee {
  std::set<OperatorId> Members_;
  OperatorId Chair_;
};

/// One object of the agreed state and the version of its row.
struct StoredObject {
  ViewObject Value_;
  RowVersion Version_;
  bool operator==(const StoredObject &) const = default;
};

/// The agreed state at one head, with the versions of its rows.
struct Agreed {
  TicketNumber Head_;
  /// The version of the row "head"; zero when there is none.
  RowVersion HeadVersion_;
  std::map<ObjectKey, StoredObject> Objects_;
};

class TicketNumberTaken : public Error {
public:
  explicit TicketNumberTaken(TicketNumber Number);
  const char *code() const noexcept override { return "ticket-number-taken"; }
};

class TicketNumberPassed : public Error {
public:
  TicketNumberPassed(TicketNumber Number, TicketNumber Head);
  const char *code() const noexcept override { return "ticket-number-passed"; }
  TicketNumber head() const { return Head_; }

private:
  TicketNumber Head_;
};

class TicketNumberTooHigh : public Error {
public:
  TicketNumberTooHigh(TicketNumber Number, TicketNumber Highest);
  const char *code() const noexcept override {
    return "ticket-number-too-high";
  }
};

/// A ticket was written against an older version of an object.
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

/// The new state would contradict itself.
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

/// Rows that were read at different heads: read them again.
class TornRead : public Error {
public:
  TornRead();
  const char *code() const noexcept override { return "torn-read"; }
};

/// The agreed state from the row "head" and all rows under "view/", the head
/// read before them. Throws TornRead when a ticket committed in between, and
/// FormatError.
Agreed agreedFrom(const std::optional<Row> &HeadRow,
                  const std::vector<Row> &ViewRows);

/// The plain view that an agreed state amounts to.
View viewOf(const Agreed &State);

/// The view with some objects replaced.
View withChanges(View V, const std::vector<Change> &Changes);

/// Throws an InvalidView if a view with these changes contradicts itself.
void validate(const View &V, const std::vector<Change> &Changes);

/// A ticket as it will be, and the write that makes it so; no write when all
/// was done before.
struct Step {
  Ticket Ticket_;
  std::optional<Transaction> Write_;
};

/// Inserts a ticket. Existing is the row under the ticket's key. Throws
/// TicketNumberTaken, TicketNumberPassed, TicketNumberTooHigh, VersionConflict
/// and the kinds of InvalidView.
Step submit(const Submission &S, const OperatorId &Author,
            const std::optional<Row> &Existing, const Agreed &State,
            const AttemptId &Attempt);

/// Records a vote. The vote that decides commits the ticket in the same
/// transaction, or closes it as rejected. A ticket that was overtaken is
/// closed as conflicted; the answer's state says so. Throws NoSuchTicket,
/// NotOnCommittee, VoteAlreadyCast, TicketClosed.
Step vote(TicketNumber Number, const std::optional<Row> &Existing,
          const OperatorId &Operator, Vote Cast, const Committee &Members,
          const Agreed &State, const AttemptId &Attempt);

/// What the votes so far amount to: more than half of the members, or half of
/// them with the chair among them.
std::optional<Vote> decision(const std::map<OperatorId, Vote> &Votes,
                             const Committee &Members);

} // namespace heathercross::view
