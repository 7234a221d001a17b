// Tests of the duty lease: takeover, fencing and lost responses.
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

/// An entry with its lease; the table's responses can be dropped.
struct Entry {
  Entry(const std::string &Name, ModelTable &Table)
      : Lease_("job-p", EntryId(Name), 1), Table_(Table) {}

  void applyEffects(Instant Now, const LeaseEffects &Effects,
                    bool DropResponses) {
    for (const LeaseEffect &E : Effects) {
      if (std::holds_alternative<ReadLease>(E) && !DropResponses)
        applyEffects(Now, Lease_.onRead(Now, Table_.read(Lease_.key())), false);
      if (const auto *W = std::get_if<WriteLease>(&E)) {
        const CommitResult Result = Table_.commit(W->Write_);
        if (!DropResponses)
          applyEffects(Now, Lease_.onWritten(Now, W->Write_.Attempt_, Result),
                       false);
      }
    }
  }

  void tick(Instant Now, bool DropResponses = false) {
    applyEffects(Now, Lease_.tick(Now), DropResponses);
  }

  DutyLease Lease_;
  ModelTable &Table_;
};

Instant timeAt(int Steps) { return Instant(Step * Steps); }

/// A write for the duty, guarded by the lease state at the given time.
Transaction guardedWrite(const Entry &E, Instant Now, Epoch WriteEpoch) {
  Transaction T;
  T.Attempt_ = AttemptId(E.Lease_.self().str());
  T.Expect_ = {E.Lease_.guard(Now)};
  T.Put_ = {{"guarded", std::to_string(WriteEpoch.value())}};
  return T;
}

} // namespace

HEATHERCROSS_STORY(DutyLeaseStory, "a duty lease has one holder at a time") {
  ModelTable Table;
  Entry A("a", Table);
  Entry B("b", Table);
  for (int I = 0; I < 8; ++I) {
    A.tick(timeAt(I));
    B.tick(timeAt(I));
  }
  section("the first to write acquires the lease", [&] {
    CPPUNIT_ASSERT(A.Lease_.epoch(timeAt(8)) == Epoch(1));
    CPPUNIT_ASSERT(!B.Lease_.held(timeAt(8)));
    CPPUNIT_ASSERT_THROW(B.Lease_.guard(timeAt(8)), DutyNotHeld);
  });
  const Transaction WriteBeforePause = guardedWrite(A, timeAt(8), Epoch(1));
  section("a holder that can't renew gives up before a takeover", [&] {
    int Expired = 8;
    while (A.Lease_.held(timeAt(Expired)))
      ++Expired;
    int TakenOver = 8;
    while (!B.Lease_.held(timeAt(TakenOver)))
      B.tick(timeAt(++TakenOver));
    CPPUNIT_ASSERT(Expired < TakenOver);
    CPPUNIT_ASSERT(TakenOver <= 8 + 16);
    CPPUNIT_ASSERT(B.Lease_.epoch(timeAt(TakenOver)) == Epoch(2));
    CPPUNIT_ASSERT(Table.commit(WriteBeforePause).Status_ ==
                   CommitStatus::Conflict);
    section("A does not hold the lease when it resumes", [&] {
      A.tick(timeAt(TakenOver + 8));
      CPPUNIT_ASSERT(!A.Lease_.held(timeAt(TakenOver + 8)));
    });
  });
  section("a released lease is acquired at the next read", [&] {
    B.applyEffects(timeAt(40), B.Lease_.release(), false);
    A.tick(timeAt(41));
    CPPUNIT_ASSERT(A.Lease_.epoch(timeAt(41)) == Epoch(3));
  });
  section("a lost answer is resolved by a read, under the same epoch", [&] {
    Entry C("c", Table);
    A.applyEffects(timeAt(50), A.Lease_.release(), false);
    C.applyEffects(timeAt(50),
                   C.Lease_.onRead(timeAt(50), Table.read("lease/job-p")),
                   true);
    CPPUNIT_ASSERT(!C.Lease_.held(timeAt(51)));
    C.tick(timeAt(54));
    CPPUNIT_ASSERT(C.Lease_.epoch(timeAt(54)) == Epoch(4));
  });
}

HEATHERCROSS_STORY(DutyLeaseFencing,
                   "no guarded write succeeds under an older epoch") {
  const auto Property = [] {
    ModelTable Table;
    std::deque<Entry> Entries;
    for (const char *Name : {"a", "b", "c"})
      Entries.emplace_back(Name, Table);
    std::vector<std::pair<Transaction, Epoch>> Delayed;
    std::uint64_t HighestEpoch = 0;
    const auto Commit = [&](const Transaction &T, Epoch WriteEpoch) {
      if (Table.commit(T).Status_ != CommitStatus::Committed)
        return;
      RC_ASSERT(WriteEpoch.value() >= HighestEpoch);
      HighestEpoch = WriteEpoch.value();
    };
    const auto Steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
    std::vector<int> PausedUntil(3, 0);
    for (int Now = 0; Now < static_cast<int>(Steps.size()); ++Now) {
      const int Random = Steps[Now];
      if (Random < 6)
        PausedUntil[Random % 3] = Now + 30;
      for (int I = 0; I < 3; ++I) {
        if (PausedUntil[I] > Now)
          continue;
        Entries[I].tick(timeAt(Now), Random % 5 == 4);
        if (!Entries[I].Lease_.held(timeAt(Now)))
          continue;
        const Epoch WriteEpoch = Entries[I].Lease_.epoch(timeAt(Now));
        const Transaction T = guardedWrite(Entries[I], timeAt(Now), WriteEpoch);
        if (Random % 2 == 0)
          Commit(T, WriteEpoch);
        else
          Delayed.emplace_back(T, WriteEpoch);
      }
      if (Random % 7 == 0 && !Delayed.empty()) {
        Commit(Delayed.back().first, Delayed.back().second);
        Delayed.pop_back();
      }
    }
    // Without pauses and lost responses, some entry acquires the lease.
    const int End = static_cast<int>(Steps.size()) + 60;
    for (int Now = End - 60; Now < End; ++Now)
      for (Entry &E : Entries)
        E.tick(timeAt(Now));
    const auto Holder = std::ranges::find_if(
        Entries, [&](const Entry &E) { return E.Lease_.held(timeAt(End)); });
    RC_ASSERT(Holder != Entries.end());
    Commit(
        guardedWrite(*Holder, timeAt(End), Holder->Lease_.epoch(timeAt(End))),
        Holder->Lease_.epoch(timeAt(End)));
    RC_ASSERT(HighestEpoch == Holder->Lease_.epoch(timeAt(End)).value());
  };
  HEATHERCROSS_PROPERTY("epochs of guarded writes only go up", Property);
}
