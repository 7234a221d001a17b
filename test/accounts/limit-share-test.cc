// Tests of the shares of an account's limit: the limit holds over all pools,
// and no pool starves.
#include "accounts/limit-share.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace heathercross;
using namespace heathercross::accounts;
using heathercross::test::section;

namespace {

constexpr Millis Tick{20};

Resources cpu(std::int64_t Milli) { return {Milli, 0, 0}; }

/// The stored row and its version.
struct StoredShares {
  LimitShares Row_;
  std::uint64_t Version_ = 0;

  bool write(const LimitShares &Row, std::uint64_t Expected) {
    if (Expected != Version_)
      return false;
    Row_ = Row;
    ++Version_;
    return true;
  }
};

/// A transaction that the store carries out later.
struct LateWrite {
  Instant Due_;
  LimitShares Row_;
  std::uint64_t Expected_ = 0;
};

/// One pool's holder: it knows the row of its last read, and runs tasks of one
/// size. It handles transactions as AccountShares does.
struct ModelHolder {
  PoolId Pool_;
  ShareDecision Decision_;
  LimitShares Known_;
  std::uint64_t Version_ = 0;
  Resources Limit_;
  std::int64_t Task_ = 1000;
  std::int64_t Waiting_ = 0;
  Millis RunTime_{400};
  std::vector<Instant> Ends_;
  Instant NextRead_;
  Instant NextWrite_;
  /// The smallest share that a transaction without an answer may write, and the
  /// version that it needs.
  std::optional<std::pair<std::uint64_t, std::int64_t>> Pending_;

  explicit ModelHolder(const std::string &Name)
      : Pool_(Name), Decision_(Pool_) {}

  AccountNeed need() const {
    AccountNeed N;
    N.Used_ = cpu(used());
    N.Waiting_ = cpu(Waiting_ * Task_);
    if (Waiting_ > 0)
      N.Least_ = cpu(Task_);
    return N;
  }
  std::int64_t used() const {
    return static_cast<std::int64_t>(Ends_.size()) * Task_;
  }
  void adopt(const StoredShares &S) {
    Known_ = S.Row_;
    Version_ = S.Version_;
    if (Pending_ && Pending_->first != Version_)
      Pending_.reset();
  }
  bool mayShrink() const {
    return Pending_ && Pending_->second < Known_.shareOf(Pool_);
  }
  LimitShares safeRow() const {
    LimitShares Safe = Known_;
    if (mayShrink())
      Safe.Pools_[Pool_].Share_ = Pending_->second;
    return Safe;
  }
};

enum class Fate { Answered, AnswerLost, Late, Dropped };

class Model {
public:
  Instant Now_{Seconds(100)};
  StoredShares Store_;
  std::vector<ModelHolder> Holders_;
  std::vector<LateWrite> Late_;
  Resources Limit_;

  Model(int Pools, std::int64_t Limit) : Limit_(cpu(Limit)) {
    for (int I = 0; I < Pools; ++I)
      Holders_.emplace_back("pool-" + std::to_string(I));
    setLimit(Limit);
  }

  void setLimit(std::int64_t Limit) {
    Limit_ = cpu(Limit);
    for (ModelHolder &H : Holders_)
      H.Limit_ = Limit_;
  }

  std::int64_t used() const {
    std::int64_t Sum = 0;
    for (const ModelHolder &H : Holders_)
      Sum += H.used();
    return Sum;
  }

  /// One tick; FateOf says what becomes of a transaction.
  template <class FateOf> void tick(FateOf Fates) {
    Now_ += Tick;
    for (const LateWrite &L : Late_)
      if (L.Due_ <= Now_)
        Store_.write(L.Row_, L.Expected_);
    std::erase_if(Late_, [&](const LateWrite &L) { return L.Due_ <= Now_; });
    for (ModelHolder &H : Holders_) {
      std::erase_if(H.Ends_, [&](Instant E) { return E <= Now_; });
      if (H.NextRead_ <= Now_) {
        H.adopt(Store_);
        H.NextRead_ = Now_ + Millis(500);
      }
      start(H);
      if (H.NextWrite_ <= Now_)
        write(H, Fates);
    }
    std::int64_t Sum = 0;
    for (const auto &[Pool, S] : Store_.Row_.Pools_)
      Sum += S.Share_;
    CPPUNIT_ASSERT(Sum <= WholeShare);
  }

  void run(Micros For) {
    for (const Instant End = Now_ + For; Now_ < End;)
      tick([] { return Fate::Answered; });
  }

  /// Starts that brought the account beyond its limit plus one task.
  int Excesses_ = 0;
  int Starts_ = 0;

private:
  void start(ModelHolder &H) {
    while (H.Waiting_ > 0) {
      const Allowance A =
          H.Decision_.allowance(H.safeRow(), H.need(), H.Limit_);
      if (!A.permits(cpu(H.used()), cpu(H.Task_), cpu(H.Task_)))
        return;
      --H.Waiting_;
      H.Ends_.push_back(Now_ + H.RunTime_);
      ++Starts_;
      Excesses_ += used() > Limit_.CpuMilli_ + H.Task_ ? 1 : 0;
    }
  }

  template <class FateOf> void write(ModelHolder &H, FateOf Fates) {
    auto Row = H.Decision_.next(H.Known_, H.need(), H.Limit_, Now_);
    if (!Row && H.mayShrink())
      Row = H.Known_;
    if (!Row)
      return;
    H.NextWrite_ = Now_ + Millis(60);
    const std::int64_t Share = Row->shareOf(H.Pool_);
    H.Pending_ = {H.Version_,
                  H.mayShrink() ? std::min(Share, H.Pending_->second) : Share};
    switch (Fates()) {
    case Fate::Answered:
      Store_.write(*Row, H.Version_);
      return H.adopt(Store_);
    case Fate::AnswerLost:
      Store_.write(*Row, H.Version_);
      H.NextRead_ = Now_ + Millis(100);
      return;
    case Fate::Late:
      Late_.push_back({Now_ + Millis(700), *Row, H.Version_});
      H.NextRead_ = Now_ + Millis(100);
      return;
    case Fate::Dropped:
      H.NextRead_ = Now_ + Millis(100);
      return;
    }
  }
};

/// Random demand, task sizes and transactions without an answer.
void runRandomDemand() {
  const auto Script = *rc::gen::container<std::vector<std::pair<int, int>>>(
      60, rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 30)));
  const auto Fates =
      *rc::gen::container<std::vector<int>>(50, rc::gen::inRange(0, 12));
  const auto Sizes =
      *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 30));
  Model M(4, 20'000);
  for (std::size_t I = 0; I < 4; ++I)
    M.Holders_[I].Task_ = std::int64_t{500} * Sizes[I];
  std::size_t Calls = 0;
  const auto NextFate = [&] {
    const int F = Fates[Calls++ % Fates.size()];
    return F < 4 ? static_cast<Fate>(F) : Fate::Answered;
  };
  std::int64_t Submitted = 0;
  for (const auto &[Pool, Count] : Script) {
    M.Holders_[static_cast<std::size_t>(Pool)].Waiting_ += Count;
    Submitted += Count;
    for (int I = 0; I < 10; ++I)
      M.tick(NextFate);
  }
  RC_ASSERT(M.Excesses_ == 0);
  // All of it runs: no pool keeps what another one needs.
  for (int I = 0; I < 60'000 && M.Starts_ < Submitted; ++I)
    M.tick(NextFate);
  RC_ASSERT(M.Excesses_ == 0);
  RC_ASSERT(M.Starts_ == Submitted);
}

} // namespace

// Guards against shares whose sum exceeds the limit when transactions are late
// or their answers lost, and against a pool that waits for ever.
HEATHERCROSS_STORY(SharesUnderFaults, "pools stay within a limit together") {
  HEATHERCROSS_PROPERTY("random demand and lost transactions", runRandomDemand);
}

// Guards against a pool that can't start anything while another one holds a
// share that it doesn't use.
HEATHERCROSS_STORY(ShareMoves, "a share moves to the pool that needs it") {
  Model M(2, 10'000);
  ModelHolder &A = M.Holders_[0];
  ModelHolder &B = M.Holders_[1];
  section("one pool may use the whole limit", [&] {
    A.Waiting_ = 100;
    M.run(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000}, A.used());
  });
  section("both get half if both want all of it", [&] {
    A.Waiting_ = B.Waiting_ = 500;
    M.run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, A.used());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, B.used());
  });
  section("the rest goes to the other pool when one needs less", [&] {
    A.Waiting_ = 0;
    M.run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000}, B.used());
  });
  section("nothing is kept when nothing runs", [&] {
    B.Waiting_ = 0;
    M.run(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(WholeShare, M.Store_.Row_.unallocated());
  });
  CPPUNIT_ASSERT_EQUAL(0, M.Excesses_);
}

// Guards against a small want that gets no part beside large ones.
HEATHERCROSS_STORY(SmallWants, "small wants are met before large ones") {
  LimitShares Row;
  Row.Pools_[PoolId("a")].Wanted_ = WholeShare;
  Row.Pools_[PoolId("b")].Wanted_ = WholeShare;
  Row.Pools_[PoolId("c")].Wanted_ = 10'000;
  const auto Parts = partsOf(Row);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000}, Parts.at(PoolId("c")));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{495'000}, Parts.at(PoolId("a")));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{495'000}, Parts.at(PoolId("b")));
}

// Guards against starts in pools with an unused share after the limit was cut
// below what runs elsewhere.
HEATHERCROSS_STORY(LimitCut, "after a cut nothing starts until usage fell") {
  Model M(2, 20'000);
  ModelHolder &A = M.Holders_[0];
  ModelHolder &B = M.Holders_[1];
  A.RunTime_ = B.RunTime_ = Millis(5000);
  A.Waiting_ = 15;
  M.run(Seconds(1));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{15'000}, A.used());
  M.setLimit(2'000);
  M.run(Seconds(1));
  const int Before = M.Starts_;
  section("not in the pool that exceeds the limit, nor in another one", [&] {
    A.Waiting_ = B.Waiting_ = 10;
    M.run(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(Before, M.Starts_);
  });
  section("then both pools take turns", [&] {
    M.run(Seconds(20));
    CPPUNIT_ASSERT(A.Waiting_ < 10);
    CPPUNIT_ASSERT(B.Waiting_ < 10);
  });
  section("a task that is larger than the limit runs alone", [&] {
    M.setLimit(300);
    M.run(Seconds(200));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, A.Waiting_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, B.Waiting_);
  });
  CPPUNIT_ASSERT_EQUAL(0, M.Excesses_);
}

// Guards against starts within a pool's own share while another pool exceeds
// its share after a cut.
HEATHERCROSS_STORY(ShareBesideExcess, "an excess counts in the other pools") {
  Model M(2, 20'000);
  ModelHolder &A = M.Holders_[0];
  ModelHolder &B = M.Holders_[1];
  A.RunTime_ = Millis(20'000);
  A.Waiting_ = 14;
  B.Waiting_ = 100;
  M.run(Seconds(2));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{14'000}, A.used());
  M.setLimit(9'000);
  // Until the other pool has read of the excess, the former limit may be in
  // force there.
  B.Limit_ = cpu(20'000);
  M.run(Millis(600));
  B.Limit_ = cpu(9'000);
  const int Before = M.Starts_;
  M.run(Seconds(5));
  CPPUNIT_ASSERT_EQUAL(Before, M.Starts_);
  CPPUNIT_ASSERT(B.Waiting_ > 0);
}

// Guards against a field without a limit that is taken for a limit of zero, and
// against gangs that start beyond the limit.
HEATHERCROSS_STORY(Permits, "a start must fit in each limited field") {
  const Resources Limit{4000, 0, 1};
  const Allowance A{Limit, WholeShare / 2, WholeShare / 2};
  CPPUNIT_ASSERT(A.permits({1000, 0, 0}, {1000, 99'999, 0}, {1000, 99'999, 0}));
  CPPUNIT_ASSERT(!A.permits({1001, 0, 0}, {1000, 0, 0}, {1000, 0, 0}));
  CPPUNIT_ASSERT(!A.permits({0, 0, 0}, {1000, 0, 1}, {1000, 0, 1}));
  const Allowance Whole{Limit, WholeShare, WholeShare};
  section("the whole share permits one task too large", [&] {
    CPPUNIT_ASSERT(Whole.permits({}, {9000, 0, 0}, {9000, 0, 0}));
    CPPUNIT_ASSERT(!Whole.permits({1, 0, 0}, {9000, 0, 0}, {9000, 0, 0}));
    CPPUNIT_ASSERT(!A.permits({}, {9000, 0, 0}, {9000, 0, 0}));
  });
  section("a gang may exceed the limit by one member only", [&] {
    CPPUNIT_ASSERT(Whole.permits({}, {6000, 0, 0}, {2000, 0, 0}));
    CPPUNIT_ASSERT(!Whole.permits({}, {8000, 0, 0}, {2000, 0, 0}));
  });
}
