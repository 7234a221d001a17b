// Tests of group commit: batches, uncertain outcomes, lost duties.
#include "schedule/pool-journal.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <map>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

const HolderRow Self{EntryId("e1"), "10.0.0.1:7060", Epoch(3), 0};

RowWrite write(const std::string &Key, const std::string &Value = "v") {
  return {RowKind::Progress, Key, Value};
}

/// A model of one partition of the store: the holder row and the written rows.
struct ModelPartition {
  HolderRow Holder_ = Self;
  RowVersion Version_{10};
  std::map<std::string, std::string> Rows_;

  bool apply(const Batch &B) {
    if (B.Guard_ != Version_)
      return false;
    Version_ = Version_.next();
    Holder_ = B.Holder_;
    for (const RowWrite &W : B.Writes_)
      Rows_[W.Key_] = *W.Value_;
    return true;
  }
};

} // namespace

HEATHERCROSS_STORY(GroupCommit, "changes go to the store in batches") {
  Instant Now{Seconds(10)};
  PoolJournal J(Self, RowVersion(10), Now);
  section("an urgent change takes the others along", [&] {
    J.put(write("a"), false, Now);
    CPPUNIT_ASSERT(!J.next(Now));
    const auto Last = J.put(write("b"), true, Now);
    const auto B = J.next(Now);
    CPPUNIT_ASSERT(B && B->Writes_.size() == 2);
    CPPUNIT_ASSERT(!J.next(Now));
    J.committed(RowVersion(11), Now);
    CPPUNIT_ASSERT_EQUAL(Last, J.durable());
  });
  section("only the newest value of a row counts", [&] {
    Now += Millis(200);
    J.put(write("a", "1"), false, Now);
    J.put(write("a", "2"), true, Now);
    const auto B = J.next(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, B->Writes_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *B->Writes_[0].Value_);
    J.committed(RowVersion(12), Now);
  });
  section("without changes the holder row is renewed", [&] {
    CPPUNIT_ASSERT(!J.next(Now + Millis(500)));
    const auto B = J.next(Now + Millis(700));
    CPPUNIT_ASSERT(B && B->Writes_.empty());
  });
}

HEATHERCROSS_STORY(UncertainCommit,
                   "a batch without an answer is followed up") {
  Instant Now{Seconds(10)};
  PoolJournal J(Self, RowVersion(10), Now);
  ModelPartition Partition;
  const auto T = J.put(write("a"), true, Now);
  const auto First = J.next(Now);
  section("the same batch is repeated", [&] {
    J.outcomeUnknown(Now);
    CPPUNIT_ASSERT(!J.withdraw(T));
    Now += Seconds(1);
    const auto Resent = J.next(Now);
    CPPUNIT_ASSERT(Resent && Resent->Holder_ == First->Holder_ &&
                   Resent->Guard_ == First->Guard_);
  });
  section("a conflict shows that it was applied", [&] {
    CPPUNIT_ASSERT(Partition.apply(*First));
    J.conflict(Partition.Holder_, Partition.Version_, Now);
    CPPUNIT_ASSERT(!J.lost());
    CPPUNIT_ASSERT_EQUAL(T, J.durable());
  });
  section("a change that was in no batch can be withdrawn", [&] {
    const auto Second = J.put(write("b"), true, Now);
    CPPUNIT_ASSERT(J.withdraw(Second));
  });
  section("the duty is lost when the row is another holder's", [&] {
    Now += Seconds(1);
    J.put(write("c"), true, Now);
    CPPUNIT_ASSERT(J.next(Now).has_value());
    J.conflict(HolderRow{EntryId("e2"), "", Epoch(4), 0}, RowVersion(99), Now);
    CPPUNIT_ASSERT(J.lost());
    CPPUNIT_ASSERT(!J.next(Now + Seconds(5)));
  });
}

namespace {

void runLossyCommits() {
  const auto Outcomes =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
  Instant Now{Seconds(10)};
  PoolJournal J(Self, RowVersion(10), Now);
  ModelPartition Partition;
  std::map<PoolJournal::Ticket, std::string> KeysByTicket;
  std::vector<Batch> Delayed;
  for (const int Outcome : Outcomes) {
    const std::string Key = "k" + std::to_string(KeysByTicket.size());
    KeysByTicket[J.put(write(Key, Key), true, Now)] = Key;
    Now += Seconds(1);
    const auto B = J.next(Now);
    if (!B)
      continue;
    if (Outcome == 0) {
      J.refused(Now);
    } else if (Outcome == 1) {
      // The batch is applied later or never.
      Delayed.push_back(*B);
      J.outcomeUnknown(Now);
    } else if (Outcome == 2) {
      Partition.apply(*B);
      J.outcomeUnknown(Now);
    } else if (Partition.apply(*B)) {
      J.committed(Partition.Version_, Now);
    } else {
      J.conflict(Partition.Holder_, Partition.Version_, Now);
    }
    if (Outcome == 3 && !Delayed.empty()) {
      Partition.apply(Delayed.back());
      Delayed.pop_back();
    }
    RC_ASSERT(!J.lost());
    for (const auto &[Ticket, Name] : KeysByTicket)
      RC_ASSERT(Ticket > J.durable() || Partition.Rows_.contains(Name));
  }
}

} // namespace

HEATHERCROSS_STORY(CommitProperty, "every durable change is in the store") {
  HEATHERCROSS_PROPERTY("whichever answers are lost or late",
                        [] { runLossyCommits(); });
}
