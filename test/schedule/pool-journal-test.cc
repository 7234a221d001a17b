// Tests of group commit: batches, uncertain outcomes, lost duties.
#include "schedule/long-value.h"
#include "schedule/model-partition.h"
#include "schedule/pool-journal.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <map>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::schedule::test::ModelPartition;
using heathercross::test::section;

namespace {

const HolderRow Self{EntryId("e1"), "10.0.0.1:7060", Epoch(3), 0};

RowWrite write(const std::string &Key, const std::string &Value = "v") {
  return {RowKind::Progress, Key, Value};
}

/// The store's limits of a row's value and of a transaction.
constexpr std::size_t StoreRowBytes = 65'536;
constexpr std::size_t StoreTransactionBytes = 1'000'000;
constexpr std::size_t StoreTransactionRows = 100;

/// Whether the store takes a batch: values are sent as base64, with the names
/// of their rows.
bool isWithinLimits(const Batch &B) {
  constexpr std::size_t BytesPerName = 200;
  std::size_t Size = 0;
  for (const RowWrite &W : B.Writes_) {
    const std::size_t Length = W.Value_ ? W.Value_->size() : 0;
    if (Length > StoreRowBytes)
      return false;
    Size += (Length + 2) / 3 * 4 + BytesPerName;
  }
  // The holder row and its condition come on top.
  return B.Writes_.size() + 2 <= StoreTransactionRows &&
         Size < StoreTransactionBytes;
}

constexpr RowKind Kind = RowKind::Progress;

/// Writes everything that waits and checks the store's limits.
void commitAll(PoolJournal &J, ModelPartition &Partition, Instant &Now) {
  while (J.waiting() > 0) {
    Now += Seconds(1);
    const auto B = J.next(Now);
    CPPUNIT_ASSERT(B && isWithinLimits(*B));
    CPPUNIT_ASSERT(Partition.apply(*B));
    J.committed(Partition.Version_, Now);
  }
}

} // namespace

HEATHERCROSS_STORY(GroupCommit, "changes go to the store in batches") {
  Instant Now{Seconds(10)};
  PoolJournal J({Self, RowVersion(10), Now});
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

HEATHERCROSS_STORY(UnknownRenewal, "a duty of unknown age is renewed at once") {
  const Instant Now{Seconds(1)};
  PoolJournal J({Self, RowVersion(10), NeverRenewed});
  CPPUNIT_ASSERT(Now - J.renewedAt() > Seconds(60));
  CPPUNIT_ASSERT(J.next(Now).has_value());
  J.committed(RowVersion(11), Now);
  CPPUNIT_ASSERT(J.renewedAt() == Now);
}

HEATHERCROSS_STORY(UncertainCommit,
                   "a batch without an answer is followed up") {
  Instant Now{Seconds(10)};
  PoolJournal J({Self, RowVersion(10), Now});
  ModelPartition Partition{Self};
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

// Guards against a value that no row of the store can hold, such as the body of
// a large job: the store rejected each batch, and its pool stored nothing more.
HEATHERCROSS_STORY(LongValues, "a value longer than a row takes several rows") {
  Instant Now{Seconds(10)};
  PoolJournal J({Self, RowVersion(10), Now});
  ModelPartition Partition{Self};
  const std::string Long(200'000, 'x');
  section("they are written together", [&] {
    J.put(write("a", "short"), false, Now);
    J.put(write("b", Long), true, Now);
    J.put(write("c", "short"), false, Now);
    commitAll(J, Partition, Now);
    CPPUNIT_ASSERT(Partition.value(Kind, "b") == Long);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), Partition.value(Kind, "c"));
  });
  section("another holder that shortens the value deletes the others", [&] {
    PoolJournal Next({Self, Partition.Version_, Now});
    Next.restoreParts(RowKind::Progress, "b",
                      Partition.values(Kind).Values_.at("b").Parts_);
    Next.put(write("b", "short"), true, Now);
    commitAll(Next, Partition, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Partition.rowCount(Kind));
    CPPUNIT_ASSERT_EQUAL(std::string("short"), Partition.value(Kind, "b"));
  });
  section("the newest of several values in a batch counts", [&] {
    PoolJournal Next({Self, Partition.Version_, Now});
    Next.put(write("b", Long), true, Now);
    Next.put(write("b", "last"), true, Now);
    commitAll(Next, Partition, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Partition.rowCount(Kind));
    CPPUNIT_ASSERT_EQUAL(std::string("last"), Partition.value(Kind, "b"));
  });
  section("a deleted value leaves no row", [&] {
    PoolJournal Next({Self, Partition.Version_, Now});
    Next.put(write("b", Long), true, Now);
    commitAll(Next, Partition, Now);
    Next.put({RowKind::Progress, "b", std::nullopt}, true, Now);
    commitAll(Next, Partition, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Partition.rowCount(Kind));
  });
  section("many of them take several transactions", [&] {
    PoolJournal Next({Self, Partition.Version_, Now});
    for (int I = 0; I < 20; ++I)
      Next.put(write("k" + std::to_string(I), std::string(MaxValueBytes, 'y')),
               true, Now);
    for (int I = 0; I < 200; ++I)
      Next.put(write("s" + std::to_string(I)), true, Now);
    commitAll(Next, Partition, Now);
    CPPUNIT_ASSERT(Partition.value(Kind, "k19").size() == MaxValueBytes);
    CPPUNIT_ASSERT_EQUAL(std::string("v"), Partition.value(Kind, "s199"));
  });
}

HEATHERCROSS_STORY(JoinedRows, "a value with a row missing isn't read") {
  const std::vector<std::string> Parts = splitValue(std::string(150'000, 'x'));
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Parts.size());
  std::map<std::string, std::string> Rows{
      {"a", Parts[0]}, {"a/1", Parts[1]}, {"b", "v"}};
  section("the others are", [&] {
    const JoinedValues Joined = joinValues(Rows);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Joined.Values_.size());
    CPPUNIT_ASSERT(Joined.Incomplete_ == std::vector<std::string>{"a"});
  });
  section("nor is one with a malformed number of rows", [&] {
    for (const char *First : {"#", "#\n", "#x\n", "#3", "#3x\nv", "#-1\nv"}) {
      Rows["a"] = First;
      CPPUNIT_ASSERT(joinValues(Rows).Incomplete_ ==
                     std::vector<std::string>{"a"});
    }
  });
  section("a longer former value's rows don't count", [&] {
    Rows["a"] = "now";
    CPPUNIT_ASSERT_EQUAL(std::string("now"),
                         joinValues(Rows).Values_.at("a").Value_);
  });
}

namespace {

/// A value of one row or of several.
std::string randomValue() {
  const std::size_t Length = *rc::gen::element<std::size_t>(
      1, MaxRowBytes, MaxRowBytes + 1, 2 * MaxRowBytes, 150'000);
  return std::string(Length, *rc::gen::inRange('a', 'e'));
}

void runLongValues() {
  const auto Steps =
      *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 8));
  Instant Now{Seconds(10)};
  PoolJournal J({Self, RowVersion(10), Now});
  ModelPartition Partition{Self};
  std::map<std::string, std::string> Expected;
  for (const int Step : Steps) {
    const std::string Key(1, static_cast<char>('p' + Step % 3));
    if (Step == 7) {
      Expected.erase(Key);
      J.put({RowKind::Progress, Key, std::nullopt}, true, Now);
    } else {
      Expected[Key] = randomValue();
      J.put(write(Key, Expected[Key]), true, Now);
    }
    if (Step % 2 == 0)
      continue;
    Now += Seconds(1);
    const auto B = J.next(Now);
    RC_ASSERT(B && isWithinLimits(*B));
    const bool Applied = Step != 5 && Partition.apply(*B);
    if (Applied && Step != 3)
      J.committed(Partition.Version_, Now);
    else
      J.outcomeUnknown(Now);
    Now += Seconds(1);
    if (const auto Again = J.next(Now)) {
      if (Partition.apply(*Again))
        J.committed(Partition.Version_, Now);
      else
        J.conflict(Partition.Holder_, Partition.Version_, Now);
    }
  }
  commitAll(J, Partition, Now);
  const JoinedValues Joined = Partition.values(Kind);
  RC_ASSERT(Joined.Incomplete_.empty());
  RC_ASSERT(Joined.Values_.size() == Expected.size());
  std::size_t Rows = 0;
  for (const auto &[Key, Value] : Expected) {
    RC_ASSERT(Joined.Values_.at(Key).Value_ == Value);
    Rows += partCount(Value.size());
  }
  RC_ASSERT(Partition.rowCount(Kind) == Rows);
}

} // namespace

HEATHERCROSS_STORY(LongValueProperty, "long values are stored whole") {
  HEATHERCROSS_PROPERTY("whichever batches are repeated",
                        [] { runLongValues(); });
}

namespace {

void runLossyCommits() {
  const auto Outcomes =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
  Instant Now{Seconds(10)};
  PoolJournal J({Self, RowVersion(10), Now});
  ModelPartition Partition{Self};
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
      RC_ASSERT(Ticket > J.durable() || !Partition.value(Kind, Name).empty());
  }
}

} // namespace

HEATHERCROSS_STORY(CommitProperty, "every durable change is in the store") {
  HEATHERCROSS_PROPERTY("whichever answers are lost or late",
                        [] { runLossyCommits(); });
}

// Guards against a task that runs twice: a successor counts on the former
// holder to act for a limited time after the last change of its row was seen.
HEATHERCROSS_STORY(RenewalFoundApplied,
                   "a renewal that is found applied counts from its first "
                   "sending") {
  Instant Now{Seconds(50)};
  PoolJournal J({Self, RowVersion(10), Now});
  ModelPartition Partition{Self};
  J.put(write("a"), true, Now);
  const auto First = J.next(Now);
  CPPUNIT_ASSERT(First && Partition.apply(*First));
  const Instant Changed = Now;
  J.outcomeUnknown(Now);
  Now += Millis(1500);
  CPPUNIT_ASSERT(J.next(Now).has_value());
  J.conflict(Partition.Holder_, Partition.Version_, Now);
  CPPUNIT_ASSERT(!J.lost());
  CPPUNIT_ASSERT(J.renewedAt() <= Changed);
}
