// Tests of tickets: votes, conflicts, and races on one table.
#include "core/settled.h"
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

/// Operators' calls as an entry makes them, one attempt each.
struct World {
  ModelTable Table_;
  Committee Committee_ = committee(3);
  int Attempts_ = 0;

  Agreed state() const {
    return agreedFrom(Table_.read("head"), Table_.scan(ViewPrefix));
  }
  AttemptId attempt() { return AttemptId(std::to_string(++Attempts_)); }
  std::optional<Row> ticketRow(TicketNumber N) const {
    return Table_.read(rowKey(N));
  }
  Step submitted(std::uint64_t N, std::vector<Change> Changes,
                 std::map<ObjectKey, TicketNumber> Against = {}) {
    const TicketNumber Number(N);
    return submit({Number, {std::move(Changes), std::move(Against)}}, op(1),
                  ticketRow(Number), state(), attempt());
  }
  Step voted(std::uint64_t N, int Operator, Vote V) {
    const TicketNumber Number(N);
    return vote(Number, ticketRow(Number), op(Operator), V, Committee_, state(),
                attempt());
  }
  void write(const Step &S) {
    if (S.Write_)
      CPPUNIT_ASSERT(Table_.commit(*S.Write_).Status_ ==
                     CommitStatus::Committed);
  }
  /// Submits and passes a ticket.
  void pass(std::uint64_t N, std::vector<Change> Changes,
            std::map<ObjectKey, TicketNumber> Against = {}) {
    write(submitted(N, std::move(Changes), std::move(Against)));
    write(voted(N, 1, Vote::Yes));
    write(voted(N, 2, Vote::Yes));
  }
};

const ObjectKey PoolP("pool/p");

} // namespace

HEATHERCROSS_STORY(TicketStory, "a ticket is submitted, voted on, committed") {
  World W;
  W.write(W.submitted(1, {pool(10), Budget{PoolId("p"), 8}}));
  section("the same number and text is answered as before", [&] {
    const Step Again = W.submitted(1, {pool(10), Budget{PoolId("p"), 8}});
    CPPUNIT_ASSERT(!Again.Write_ && Again.Ticket_.State_ == TicketState::Open);
    CPPUNIT_ASSERT_THROW(W.submitted(1, {pool(11)}), TicketNumberTaken);
  });
  section("one vote of three decides nothing", [&] {
    W.write(W.voted(1, 1, Vote::Yes));
    CPPUNIT_ASSERT(W.state().Head_ == TicketNumber());
    CPPUNIT_ASSERT(!W.voted(1, 1, Vote::Yes).Write_);
    CPPUNIT_ASSERT_THROW(W.voted(1, 1, Vote::No), VoteAlreadyCast);
    CPPUNIT_ASSERT_THROW(W.voted(1, 7, Vote::No), NotOnCommittee);
    CPPUNIT_ASSERT_THROW(W.voted(9, 1, Vote::No), NoSuchTicket);
  });
  section("the second commits all of it in one transaction", [&] {
    W.write(W.voted(1, 2, Vote::Yes));
    const Agreed State = W.state();
    CPPUNIT_ASSERT(State.Head_ == TicketNumber(1));
    CPPUNIT_ASSERT(viewOf(State).Pools_.at(PoolId("p")).Size_ == 10);
    CPPUNIT_ASSERT(viewOf(State).Budgets_.at(PoolId("p")).MinAvailable_ == 8);
    CPPUNIT_ASSERT_THROW(W.voted(1, 0, Vote::No), TicketClosed);
  });
  section("an older version is a conflict that names object and versions", [&] {
    try {
      W.submitted(2, {pool(9)});
      CPPUNIT_FAIL("no conflict");
    } catch (const VersionConflict &E) {
      CPPUNIT_ASSERT(E.object() == PoolP && E.expected() == TicketNumber(0) &&
                     E.actual() == TicketNumber(1));
    }
  });
  section("of two that race, the second is closed as conflicted", [&] {
    W.write(W.submitted(2, {pool(12)}, {{PoolP, TicketNumber(1)}}));
    W.pass(3, {pool(9)}, {{PoolP, TicketNumber(1)}});
    W.write(W.voted(2, 1, Vote::Yes));
    CPPUNIT_ASSERT(decodeTicket(W.ticketRow(TicketNumber(2))->Value_).State_ ==
                   TicketState::Conflicted);
    CPPUNIT_ASSERT(W.state().Head_ == TicketNumber(3));
  });
  section("numbers that were passed, or lie far ahead, are refused", [&] {
    const std::map<ObjectKey, TicketNumber> Now{{PoolP, TicketNumber(3)}};
    CPPUNIT_ASSERT_THROW(W.submitted(3 + MaxNumberLead + 1, {pool(10)}, Now),
                         TicketNumberTooHigh);
    W.pass(7, {Quota{TeamId("t"), 2, 5}});
    CPPUNIT_ASSERT_THROW(W.submitted(6, {pool(10)}, Now), TicketNumberPassed);
  });
  section("a state that contradicts itself is refused by its kind", [&] {
    const std::map<ObjectKey, TicketNumber> Now{{PoolP, TicketNumber(3)}};
    CPPUNIT_ASSERT_THROW(W.submitted(8, {pool(7)}, Now), BudgetAboveSize);
    CPPUNIT_ASSERT_THROW(W.submitted(8, {Budget{PoolId("q"), 0}}), PoolMissing);
    CPPUNIT_ASSERT_THROW(W.submitted(8, {Wave{WaveId("w"), PoolId("q")}}),
                         PoolMissing);
    CPPUNIT_ASSERT_THROW(
        W.submitted(8, {pool(9, true), Pool{PoolId("s2"), 1, true}}),
        SecondSparePool);
  });
}

HEATHERCROSS_STORY(CommitteeStory,
                   "a majority decides and the chair breaks ties") {
  const Committee Four = committee(4);
  using Votes = std::map<OperatorId, Vote>;
  const Votes Chair{{op(0), Vote::Yes}, {op(1), Vote::Yes}};
  const Votes Others{{op(2), Vote::No}, {op(3), Vote::No}};
  Votes Tie = Chair;
  Tie.insert(Others.begin(), Others.end());
  CPPUNIT_ASSERT(decision(Chair, Four) == Vote::Yes);
  CPPUNIT_ASSERT(decision(Others, Four) == std::nullopt);
  CPPUNIT_ASSERT(decision(Tie, Four) == Vote::Yes);
  CPPUNIT_ASSERT(decision(Others, committee(2)) == std::nullopt);
  CPPUNIT_ASSERT(decision({{op(0), Vote::No}}, committee(2)) == Vote::No);
  section("whatever the order, a decision never turns", [&] {
    const auto Property = [](const std::vector<bool> &Yes) {
      const int Size = static_cast<int>(Yes.size());
      Votes Cast;
      std::optional<Vote> Before;
      for (int I = Size - 1; I >= 0; --I) {
        Cast[op(I)] = Yes[I] ? Vote::Yes : Vote::No;
        const auto Now = decision(Cast, committee(Size));
        RC_ASSERT(!Before || Now == Before);
        Before = Now;
      }
      RC_ASSERT(Size == 0 || Before.has_value());
    };
    HEATHERCROSS_PROPERTY("decisions stand", Property);
  });
}

namespace {

/// Entries that act on what they read some time ago.
class Race {
public:
  void step(int Dice) {
    const int Kind = Dice % 4;
    const int Rest = Dice / 4;
    try {
      if (Kind == 0)
        Under_.push_back(submission(Rest));
      if (Kind == 1 && Submitted_ > 0)
        Under_.push_back(W_.voted(1 + Rest % Submitted_, Rest / 7 % 3,
                                  Rest % 5 == 0 ? Vote::No : Vote::Yes));
    } catch (const Error &) {
      return;
    }
    if (Kind > 1 && !Under_.empty())
      deliver(Rest);
  }

  TicketNumber head() const { return W_.state().Head_; }

private:
  Step submission(int Rest) {
    const std::uint64_t Number = 1 + Submitted_ - (Rest % 3 == 0 ? 1 : 0);
    const Agreed State = W_.state();
    const auto Size = static_cast<std::uint32_t>(Rest / 3 % 6);
    std::vector<Change> Changes{pool(Size)};
    if (Rest % 2 == 0)
      Changes = {Budget{PoolId("p"), Size}};
    std::map<ObjectKey, TicketNumber> Against;
    for (const Change &C : Changes)
      if (State.Objects_.contains(keyOf(C)))
        Against[keyOf(C)] = State.Objects_.at(keyOf(C)).Value_.Ticket_;
    Step S = W_.submitted(std::max<std::uint64_t>(1, Number), Changes, Against);
    Submitted_ = std::max(Submitted_, static_cast<int>(Number));
    return S;
  }

  void deliver(int Rest) {
    const auto I = static_cast<std::size_t>(Rest) % Under_.size();
    const Step S = Under_[I];
    Under_.erase(Under_.begin() + static_cast<std::ptrdiff_t>(I));
    if (!S.Write_)
      return;
    const Agreed Before = W_.state();
    const auto Result = W_.Table_.commit(*S.Write_);
    const bool Committed = Result.Status_ == CommitStatus::Committed;
    checkReadBack(*S.Write_, Committed);
    if (Committed)
      checkCommit(S.Ticket_, Before);
  }

  /// What a writer whose answer was lost would conclude.
  void checkReadBack(const Transaction &T, bool Committed) const {
    std::vector<Row> Rows;
    for (const Expectation &E : T.Expect_)
      if (const auto R = W_.Table_.read(E.Key_))
        Rows.push_back(*R);
    const Settled Judged = settled(T, Rows);
    RC_ASSERT((Judged == Settled::Committed) == Committed);
    RC_ASSERT(Committed || Judged != Settled::Undecided);
  }

  void checkCommit(const Ticket &T, const Agreed &Before) const {
    const Agreed After = W_.state();
    if (T.State_ != TicketState::Accepted) {
      RC_ASSERT(After.Head_ == Before.Head_);
      return;
    }
    RC_ASSERT(After.Head_ == T.Number_ && After.Head_ > Before.Head_);
    for (const auto &[Key, Stored] : Before.Objects_)
      RC_ASSERT(After.Objects_.at(Key).Value_.Ticket_ >= Stored.Value_.Ticket_);
    for (const Change &C : T.Text_.Changes_) {
      const auto Old = Before.Objects_.find(keyOf(C));
      const TicketNumber Was = Old == Before.Objects_.end()
                                   ? TicketNumber()
                                   : Old->second.Value_.Ticket_;
      const auto Against = T.Text_.Against_.find(keyOf(C));
      RC_ASSERT(Was == (Against == T.Text_.Against_.end() ? TicketNumber()
                                                          : Against->second));
    }
    validate(viewOf(After), T.Text_.Changes_);
  }

  World W_;
  std::deque<Step> Under_;
  int Submitted_ = 0;
};

} // namespace

HEATHERCROSS_STORY(TicketRace, "racing tickets leave one sequence of heads") {
  std::uint64_t Highest = 0;
  const auto Property = [&Highest] {
    Race R;
    const auto Dice = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 100'000));
    for (const int D : Dice)
      R.step(D);
    Highest = std::max(Highest, R.head().value());
  };
  HEATHERCROSS_PROPERTY("one sequence of committed heads", Property);
  CPPUNIT_ASSERT(Highest >= 5);
}
