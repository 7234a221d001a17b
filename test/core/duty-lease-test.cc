// Tests of the duty lease: take-over, fencing, lost answers.
#include "core/duty-lease.h"
#include "support/story.h"
#include "view/model-table.h"

#include <rapidcheck.h>

#include <deque>

using namespace heathercross;
using heathercross::test::ModelTable;
using heathercross::test::section;

namespace {

constexpr Micros Step = Millis(500);

/// One entry with its lease; answers of the table can be held back.
struct Entry {
  Entry(const std::string &Name, ModelTable &Table)
      : Lease_("job-p", EntryId(Name), 1), Table_(Table) {}

  void run(Instant Now, const LeaseEffects &Effects, bool LoseAnswers) {
    for (const LeaseEffect &E : Effects) {
      if (std::holds_alternative<ReadLease>(E) && !LoseAnswers)
        run(Now, Lease_.onRead(Now, Table_.read(Lease_.key())), false);
      if (const auto *W = std::get_if<WriteLease>(&E)) {
        const CommitResult Result = Table_.commit(W->Write_);
        if (!LoseAnswers)
          run(Now, Lease_.onWritten(Now, W->Write_.Attempt_, Result), false);
      }
    }
  }

  void tick(Instant Now, bool LoseAnswers = false) {
    run(Now, Lease_.tick(Now), LoseAnswers);
  }

  DutyLease Lease_;
  ModelTable &Table_;
};

Instant at(int Steps) { return Instant(Step * Steps); }

/// A write of the duty, guarded by the lease as it was at some time.
Transaction guarded(const Entry &E, Instant Now, Epoch Under) {
  Transaction T;
  T.Attempt_ = AttemptId(E.Lease_.self().str());
  T.Expect_ = {E.Lease_.guard(Now)};
  T.Put_ = {{"guarded", std::to_string(Under.value())}};
  return T;
}

} // namespace

HEATHERCROSS_STORY(DutyLeaseStory, "a duty lease has one holder at a time") {
  ModelTable Table;
  Entry A("a", Table);
  Entry B("b", Table);
  for (int I = 0; I < 8; ++I) {
    A.tick(at(I));
    B.tick(at(I));
  }
  section("the first to write holds it, the other watches", [&] {
    CPPUNIT_ASSERT(A.Lease_.epoch(at(8)) == Epoch(1));
    CPPUNIT_ASSERT(!B.Lease_.held(at(8)));
    CPPUNIT_ASSERT_THROW(B.Lease_.guard(at(8)), DutyNotHeld);
  });
  const Transaction Paused = guarded(A, at(8), Epoch(1));
  section("a holder that can't renew gives up before it can be taken", [&] {
    int GaveUp = 8;
    while (A.Lease_.held(at(GaveUp)))
      ++GaveUp;
    int Taken = 8;
    while (!B.Lease_.held(at(Taken)))
      B.tick(at(++Taken));
    CPPUNIT_ASSERT(GaveUp < Taken);
    CPPUNIT_ASSERT(Taken <= 8 + 16);
    CPPUNIT_ASSERT(B.Lease_.epoch(at(Taken)) == Epoch(2));
    CPPUNIT_ASSERT(Table.commit(Paused).Status_ == CommitStatus::Conflict);
    section("and learns of it when it comes back", [&] {
      A.tick(at(Taken + 8));
      CPPUNIT_ASSERT(!A.Lease_.held(at(Taken + 8)));
    });
  });
  section("a lease that is released is taken at the next read", [&] {
    B.run(at(40), B.Lease_.release(), false);
    A.tick(at(41));
    CPPUNIT_ASSERT(A.Lease_.epoch(at(41)) == Epoch(3));
  });
  section("a lost answer is read back, under the same epoch", [&] {
    Entry C("c", Table);
    A.run(at(50), A.Lease_.release(), false);
    C.run(at(50), C.Lease_.onRead(at(50), Table.read("lease/job-p")), true);
    CPPUNIT_ASSERT(!C.Lease_.held(at(51)));
    C.tick(at(54));
    CPPUNIT_ASSERT(C.Lease_.epoch(at(54)) == Epoch(4));
  });
}

HEATHERCROSS_STORY(DutyLeaseFencing,
                   "no guarded write succeeds under an older epoch") {
  const auto Property = [] {
    ModelTable Table;
    std::deque<Entry> Entries;
    for (const char *Name : {"a", "b", "c"})
      Entries.emplace_back(Name, Table);
    std::vector<std::pair<Transaction, Epoch>> Late;
    std::uint64_t Highest = 0;
    const auto Send = [&](const Transaction &T, Epoch Under) {
      if (Table.commit(T).Status_ != CommitStatus::Committed)
        return;
      RC_ASSERT(Under.value() >= Highest);
      Highest = Under.value();
    };
    const auto Steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
    std::vector<int> PausedUntil(3, 0);
    for (int Now = 0; Now < static_cast<int>(Steps.size()); ++Now) {
      const int Dice = Steps[Now];
      if (Dice < 6)
        PausedUntil[Dice % 3] = Now + 30;
      for (int I = 0; I < 3; ++I) {
        if (PausedUntil[I] > Now)
          continue;
        Entries[I].tick(at(Now), Dice % 5 == 4);
        if (!Entries[I].Lease_.held(at(Now)))
          continue;
        const Epoch Under = Entries[I].Lease_.epoch(at(Now));
        const Transaction T = guarded(Entries[I], at(Now), Under);
        if (Dice % 2 == 0)
          Send(T, Under);
        else
          Late.emplace_back(T, Under);
      }
      if (Dice % 7 == 0 && !Late.empty()) {
        Send(Late.back().first, Late.back().second);
        Late.pop_back();
      }
    }
    // Once nobody is paused and no answer is lost, someone holds it.
    const int End = static_cast<int>(Steps.size()) + 60;
    for (int Now = End - 60; Now < End; ++Now)
      for (Entry &E : Entries)
        E.tick(at(Now));
    const auto Holder = std::ranges::find_if(
        Entries, [&](const Entry &E) { return E.Lease_.held(at(End)); });
    RC_ASSERT(Holder != Entries.end());
    Send(guarded(*Holder, at(End), Holder->Lease_.epoch(at(End))),
         Holder->Lease_.epoch(at(End)));
    RC_ASSERT(Highest == Holder->Lease_.epoch(at(End)).value());
  };
  HEATHERCROSS_PROPERTY("epochs of guarded writes only go up", Property);
}
