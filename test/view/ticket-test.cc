// Tests of tickets: votes, conflicts and concurrent writes to one table.
#include "core/in-doubt.h"
#include "support/story.h"
#include "view/model-table.h"
#include "view/ticket.h"

#include <rapidcheck.h>

#include <deque>

using namespace heathercross;
using namespace heathercross::view;
using heathercross::test::ModelTable;
using heathercross::test::section;

namespace {

OperatorId op(int I) { return OperatorId("op" + std::to_string(I)); }

Committee committee(int Size) {
  Committee C;
  for (int I = 0; I < Size; ++I)
    C.Members_.insert(op(I));
  C.Chair_ = op(0);
  return C;
}

Pool pool(std::uint32_t Size, bool Spare = false) {
  return {PoolId(Spare ? "s" : "p"), Size, Spare};
}

/// A table with a committee; calls submit() and vote() on its current state,
/// each with a new attempt id.
struct TicketFixture {
  ModelTable Table_;
  Committee Committee_ = committee(3);
  int Attempts_ = 0;

  AgreedState state() const {
    return readAgreedState(Table_.read("head"), Table_.scan(ViewPrefix));
  }
  AttemptId attempt() { return AttemptId(std::to_string(++Attempts_)); }
  std::optional<Row> ticketRow(TicketNumber N) const {
    return Table_.read(rowKey(N));
  }
  TicketUpdate submission(std::uint64_t N, std::vector<Change> Changes,
                          std::map<ObjectKey, TicketNumber> Against = {}) {
    const TicketNumber Number(N);
    return submit({Number, {std::move(Changes), std::move(Against)}}, op(1),
                  ticketRow(Number), state(), attempt());
  }
  TicketUpdate voteOf(std::uint64_t N, int Operator, Vote V) {
    const TicketNumber Number(N);
    return vote(Number, ticketRow(Number), op(Operator), V, Committee_, state(),
                attempt());
  }
  void write(const TicketUpdate &S) {
    if (S.Write_)
      CPPUNIT_ASSERT(Table_.commit(*S.Write_).Status_ ==
                     CommitStatus::Committed);
  }
  /// Submits a ticket and has it accepted.
  void pass(std::uint64_t N, std::vector<Change> Changes,
            std::map<ObjectKey, TicketNumber> Against = {}) {
    write(submission(N, std::move(Changes), std::move(Against)));
    write(voteOf(N, 1, Vote::Yes));
    write(voteOf(N, 2, Vote::Yes));
  }
};

const ObjectKey PoolP("pool/p");

} // namespace

HEATHERCROSS_STORY(TicketStory, "a ticket is submitted, voted on, committed") {
  TicketFixture Fixture;
  Fixture.write(Fixture.submission(1, {pool(10), Budget{PoolId("p"), 8}}));
  section("the same number and text is answered as before", [&] {
    const TicketUpdate Again =
        Fixture.submission(1, {pool(10), Budget{PoolId("p"), 8}});
    CPPUNIT_ASSERT(!Again.Write_ && Again.Ticket_.State_ == TicketState::Open);
    CPPUNIT_ASSERT_THROW(Fixture.submission(1, {pool(11)}), TicketNumberTaken);
  });
  section("one vote of three decides nothing", [&] {
    Fixture.write(Fixture.voteOf(1, 1, Vote::Yes));
    CPPUNIT_ASSERT(Fixture.state().Head_ == TicketNumber());
    CPPUNIT_ASSERT(!Fixture.voteOf(1, 1, Vote::Yes).Write_);
    CPPUNIT_ASSERT_THROW(Fixture.voteOf(1, 1, Vote::No), VoteAlreadyCast);
    CPPUNIT_ASSERT_THROW(Fixture.voteOf(1, 7, Vote::No), NotOnCommittee);
    CPPUNIT_ASSERT_THROW(Fixture.voteOf(9, 1, Vote::No), NoSuchTicket);
  });
  section("the second commits all of it in one transaction", [&] {
    Fixture.write(Fixture.voteOf(1, 2, Vote::Yes));
    const AgreedState State = Fixture.state();
    CPPUNIT_ASSERT(State.Head_ == TicketNumber(1));
    CPPUNIT_ASSERT(viewOf(State).Pools_.at(PoolId("p")).Size_ == 10);
    CPPUNIT_ASSERT(viewOf(State).Budgets_.at(PoolId("p")).MinAvailable_ == 8);
    CPPUNIT_ASSERT_THROW(Fixture.voteOf(1, 0, Vote::No), TicketClosed);
  });
  section("an older version is a conflict that names object and versions", [&] {
    try {
      Fixture.submission(2, {pool(9)});
      CPPUNIT_FAIL("no conflict");
    } catch (const VersionConflict &E) {
      CPPUNIT_ASSERT(E.object() == PoolP && E.expected() == TicketNumber(0) &&
                     E.actual() == TicketNumber(1));
    }
  });
  section("of two concurrent ones, the second is closed as conflicted", [&] {
    Fixture.write(
        Fixture.submission(2, {pool(12)}, {{PoolP, TicketNumber(1)}}));
    Fixture.pass(3, {pool(9)}, {{PoolP, TicketNumber(1)}});
    Fixture.write(Fixture.voteOf(2, 1, Vote::Yes));
    CPPUNIT_ASSERT(
        decodeTicket(Fixture.ticketRow(TicketNumber(2))->Value_).State_ ==
        TicketState::Conflicted);
    CPPUNIT_ASSERT(Fixture.state().Head_ == TicketNumber(3));
  });
  section("numbers that are too low or too high are refused", [&] {
    const std::map<ObjectKey, TicketNumber> Current{{PoolP, TicketNumber(3)}};
    CPPUNIT_ASSERT_THROW(
        Fixture.submission(3 + MaxNumberLead + 1, {pool(10)}, Current),
        TicketNumberTooHigh);
    Fixture.pass(7, {Quota{TeamId("t"), 2, 5}});
    CPPUNIT_ASSERT_THROW(Fixture.submission(6, {pool(10)}, Current),
                         TicketNumberPassed);
  });
  section("an inconsistent state is refused by its kind", [&] {
    const std::map<ObjectKey, TicketNumber> Current{{PoolP, TicketNumber(3)}};
    CPPUNIT_ASSERT_THROW(Fixture.submission(8, {pool(7)}, Current),
                         BudgetAboveSize);
    CPPUNIT_ASSERT_THROW(Fixture.submission(8, {Budget{PoolId("q"), 0}}),
                         PoolMissing);
    CPPUNIT_ASSERT_THROW(
        Fixture.submission(8, {Wave{WaveId("w"), PoolId("q")}}), PoolMissing);
    CPPUNIT_ASSERT_THROW(
        Fixture.submission(8, {pool(9, true), Pool{PoolId("s2"), 1, true}}),
        SecondSparePool);
  });
}

HEATHERCROSS_STORY(CommitteeStory,
                   "a majority decides and the chair breaks ties") {
  const Committee Four = committee(4);
  using Votes = std::map<OperatorId, Vote>;
  const Votes ChairVotes{{op(0), Vote::Yes}, {op(1), Vote::Yes}};
  const Votes OtherVotes{{op(2), Vote::No}, {op(3), Vote::No}};
  Votes Tie = ChairVotes;
  Tie.insert(OtherVotes.begin(), OtherVotes.end());
  CPPUNIT_ASSERT(decision(ChairVotes, Four) == Vote::Yes);
  CPPUNIT_ASSERT(decision(OtherVotes, Four) == std::nullopt);
  CPPUNIT_ASSERT(decision(Tie, Four) == Vote::Yes);
  CPPUNIT_ASSERT(decision(OtherVotes, committee(2)) == std::nullopt);
  CPPUNIT_ASSERT(decision({{op(0), Vote::No}}, committee(2)) == Vote::No);
  section("whatever the order, a decision is final", [&] {
    const auto Property = [](const std::vector<bool> &Yes) {
      const int Size = static_cast<int>(Yes.size());
      Votes Cast;
      std::optional<Vote> Before;
      for (int I = Size - 1; I >= 0; --I) {
        Cast[op(I)] = Yes[I] ? Vote::Yes : Vote::No;
        const auto Current = decision(Cast, committee(Size));
        RC_ASSERT(!Before || Current == Before);
        Before = Current;
      }
      RC_ASSERT(Size == 0 || Before.has_value());
    };
    HEATHERCROSS_PROPERTY("decisions are final", Property);
  });
}

namespace {

/// Random submissions and votes whose writes are committed later, against a
/// table that other writes have changed in between.
class ConcurrentWrites {
public:
  void act(int Random) {
    const int Action = Random % 4;
    const int Parameter = Random / 4;
    try {
      if (Action == 0)
        Pending_.push_back(randomSubmission(Parameter));
      if (Action == 1 && Submitted_ > 0)
        Pending_.push_back(
            Fixture_.voteOf(1 + Parameter % Submitted_, Parameter / 7 % 3,
                            Parameter % 5 == 0 ? Vote::No : Vote::Yes));
    } catch (const Error &) {
      return;
    }
    if (Action > 1 && !Pending_.empty())
      commitPending(Parameter);
  }

  TicketNumber head() const { return Fixture_.state().Head_; }

private:
  TicketUpdate randomSubmission(int Parameter) {
    const std::uint64_t Number = 1 + Submitted_ - (Parameter % 3 == 0 ? 1 : 0);
    const AgreedState State = Fixture_.state();
    const auto Size = static_cast<std::uint32_t>(Parameter / 3 % 6);
    std::vector<Change> Changes{pool(Size)};
    if (Parameter % 2 == 0)
      Changes = {Budget{PoolId("p"), Size}};
    std::map<ObjectKey, TicketNumber> Against;
    for (const Change &C : Changes)
      if (State.Objects_.contains(keyOf(C)))
        Against[keyOf(C)] = State.Objects_.at(keyOf(C)).Value_.Ticket_;
    TicketUpdate S = Fixture_.submission(std::max<std::uint64_t>(1, Number),
                                         Changes, Against);
    Submitted_ = std::max(Submitted_, static_cast<int>(Number));
    return S;
  }

  void commitPending(int Parameter) {
    const auto I = static_cast<std::size_t>(Parameter) % Pending_.size();
    const TicketUpdate S = Pending_[I];
    Pending_.erase(Pending_.begin() + static_cast<std::ptrdiff_t>(I));
    if (!S.Write_)
      return;
    const AgreedState Before = Fixture_.state();
    const auto Result = Fixture_.Table_.commit(*S.Write_);
    const bool Committed = Result.Status_ == CommitStatus::Committed;
    checkReadBack(*S.Write_, Committed);
    if (Committed)
      checkCommit(S.Ticket_, Before);
  }

  /// Checks what a writer concludes from the rows when its commit got no
  /// response.
  void checkReadBack(const Transaction &T, bool Committed) const {
    std::vector<Row> Rows;
    for (const Expectation &E : T.Expect_)
      if (const auto R = Fixture_.Table_.read(E.Key_))
        Rows.push_back(*R);
    const InDoubtOutcome Resolved = resolveInDoubt(T, Rows);
    RC_ASSERT((Resolved == InDoubtOutcome::Committed) == Committed);
    RC_ASSERT(Committed || Resolved != InDoubtOutcome::Undecided);
  }

  void checkCommit(const Ticket &T, const AgreedState &Before) const {
    const AgreedState After = Fixture_.state();
    if (T.State_ != TicketState::Accepted) {
      RC_ASSERT(After.Head_ == Before.Head_);
      return;
    }
    RC_ASSERT(After.Head_ == T.Number_ && After.Head_ > Before.Head_);
    for (const auto &[Key, Stored] : Before.Objects_)
      RC_ASSERT(After.Objects_.at(Key).Value_.Ticket_ >= Stored.Value_.Ticket_);
    for (const Change &C : T.Text_.Changes_) {
      const auto Stored = Before.Objects_.find(keyOf(C));
      const TicketNumber Previous = Stored == Before.Objects_.end()
                                        ? TicketNumber()
                                        : Stored->second.Value_.Ticket_;
      const auto Against = T.Text_.BaseVersions_.find(keyOf(C));
      RC_ASSERT(Previous == (Against == T.Text_.BaseVersions_.end()
                                 ? TicketNumber()
                                 : Against->second));
    }
    validate(viewOf(After), T.Text_.Changes_);
  }

  TicketFixture Fixture_;
  std::deque<TicketUpdate> Pending_;
  int Submitted_ = 0;
};

} // namespace

HEATHERCROSS_STORY(ConcurrentTickets,
                   "concurrent tickets leave one sequence of heads") {
  std::uint64_t Highest = 0;
  const auto Property = [&Highest] {
    ConcurrentWrites R;
    const auto Random = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 100'000));
    for (const int D : Random)
      R.act(D);
    Highest = std::max(Highest, R.head().value());
  };
  HEATHERCROSS_PROPERTY("one sequence of committed heads", Property);
  CPPUNIT_ASSERT(Highest >= 5);
}
