// Tests of the claim protocol, which runs a request with a key at most once.
#include "request/claim-row.h"
#include "request/fixture.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::request;
using namespace heathercross::request::test;
using heathercross::test::section;

namespace {
const RequestId R1("r1");

/// A harness in which one request with a key has arrived and its claim is being
/// written.
class ClaimHarness : public DispatcherHarness {
public:
  explicit ClaimHarness(int Workers = 4)
      : DispatcherHarness(smallFleet(1, Workers)) {
    LastEffects_ = arrive(specWithKey("r1"));
  }
  RequestSpec specWithKey(const std::string &Name) const {
    RequestSpec S = spec(Name);
    S.Key_ = IdempotencyKey("k");
    S.Digest_ = "body";
    return S;
  }
  // Each of these delivers an event for r1 and stores its effects for last().

  void written(CommitStatus Status, std::uint64_t Version = 0) {
    LastEffects_ = deliver(ClaimWritten{R1, Status, RowVersion(Version)});
  }
  void read(std::optional<ClaimRow> Row, bool Failed = false) {
    LastEffects_ = deliver(ClaimRead{R1, std::move(Row), Failed});
  }
  void ended(TryResult Result, Refusal Why = Refusal::None) {
    LastEffects_ = endTry(all<Send>().back(), Result, Why);
  }
  void fenced(const Fence &F, FenceResult Result) {
    LastEffects_ = deliver(FenceEnded{R1, F.Attempt_, F.Worker_, Result});
  }
  void advanceTime(Micros Time) { LastEffects_ = advance(Time); }

  /// Effects of the last event.
  template <class T> std::vector<T> last() const {
    return ofType<T>(LastEffects_);
  }
  template <class T> bool none() const { return last<T>().empty(); }
  ClaimRow ownClaim() const { return all<WriteClaim>().front().Row_; }

  static ClaimRow otherClaim(ClaimState State, std::uint64_t Version = 7) {
    return {AttemptId("other"),
            "body",
            {InstanceId("x"), InstanceId("y")},
            State,
            EntryId("e2"),
            "stored",
            RowVersion(Version)};
  }
  /// Another entry claimed the key, and the grace period of its claim is over.
  void findOtherClaim() {
    written(CommitStatus::Conflict);
    read(otherClaim(ClaimState::Claimed));
    advanceTime(Millis(200));
    read(otherClaim(ClaimState::Claimed));
  }
  void expectAnswer(Outcome O, Reason R) const {
    const auto A = answer("r1");
    CPPUNIT_ASSERT(A.has_value());
    CPPUNIT_ASSERT(A->Outcome_ == O && A->Reason_ == R);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<Answer>().size());
  }

private:
  Effects LastEffects_;
};
} // namespace

HEATHERCROSS_STORY(FreshKey, "claim, send, record, answer, in this order") {
  ClaimHarness D;
  section("the claim is inserted first and names up to three workers", [&] {
    CPPUNIT_ASSERT(D.ownClaim().Version_ == RowVersion());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, D.ownClaim().Workers_.size());
    CPPUNIT_ASSERT(D.all<Send>().empty());
  });
  section("a confirmed claim is sent to the first named worker", [&] {
    D.written(CommitStatus::Committed, 5);
    CPPUNIT_ASSERT(D.last<Send>().at(0).Worker_ == D.ownClaim().Workers_[0]);
    CPPUNIT_ASSERT(D.last<Send>().at(0).NewConnection_);
  });
  section("the outcome is conditional on the claim's version", [&] {
    D.ended(TryResult::Answered);
    const ClaimRow Row = D.last<WriteClaim>().at(0).Row_;
    CPPUNIT_ASSERT(Row.State_ == ClaimState::Done);
    CPPUNIT_ASSERT(Row.Version_ == RowVersion(5));
    CPPUNIT_ASSERT(D.all<Answer>().empty());
  });
  section("the caller is answered once the record is confirmed", [&] {
    D.written(CommitStatus::Committed, 6);
    D.expectAnswer(Outcome::Done, Reason::None);
  });
}

HEATHERCROSS_STORY(UncertainClaim, "an uncertain claim is read back") {
  section("a claim that was written is sent", [] {
    ClaimHarness D;
    D.written(CommitStatus::Uncertain);
    CPPUNIT_ASSERT(!D.none<ReadClaim>() && D.none<Send>());
    ClaimRow Row = D.ownClaim();
    Row.Version_ = RowVersion(3);
    D.read(Row);
    CPPUNIT_ASSERT(!D.none<Send>());
  });
  section("a claim that can't be confirmed is not run, not even later", [] {
    ClaimHarness D;
    D.written(CommitStatus::Uncertain);
    for (int I = 0; I != 40 && !D.answer("r1"); ++I) {
      D.read(std::nullopt, true);
      D.advanceTime(Millis(60));
    }
    D.expectAnswer(Outcome::NotRun, Reason::ClaimUnconfirmed);
    D.written(CommitStatus::Committed, 9);
    D.advanceTime(Seconds(5));
    CPPUNIT_ASSERT(D.all<Send>().empty());
  });
}

HEATHERCROSS_STORY(RepeatedKey, "a repeat gets what the row holds") {
  section("the stored answer, whether the work succeeded or failed", [] {
    for (const ClaimState S : {ClaimState::Done, ClaimState::Failed}) {
      ClaimHarness E;
      E.written(CommitStatus::Conflict);
      E.read(ClaimHarness::otherClaim(S));
      E.expectAnswer(S == ClaimState::Done ? Outcome::Done : Outcome::Failed,
                     Reason::None);
      CPPUNIT_ASSERT(E.answer("r1")->StoredAnswer_ == "stored");
    }
  });
  section("a refusal if its body differs", [] {
    ClaimHarness E;
    E.written(CommitStatus::Conflict);
    ClaimRow Row = ClaimHarness::otherClaim(ClaimState::Done);
    Row.Digest_ = "another";
    E.read(Row);
    E.expectAnswer(Outcome::NotRun, Reason::KeyReused);
  });
  section("a run of its own if the first was recorded as not run", [] {
    ClaimHarness E;
    E.written(CommitStatus::Conflict);
    E.read(ClaimHarness::otherClaim(ClaimState::NotRun));
    CPPUNIT_ASSERT(E.last<WriteClaim>().at(0).Row_.Version_ == RowVersion(7));
    E.written(CommitStatus::Committed, 8);
    CPPUNIT_ASSERT(!E.none<Send>());
  });
  section("at the same entry it waits for the first one", [] {
    ClaimHarness E;
    E.written(CommitStatus::Committed, 5);
    E.arrive(E.specWithKey("r2"));
    RequestSpec Other = E.specWithKey("r3");
    Other.Digest_ = "another";
    E.arrive(Other);
    E.ended(TryResult::Answered);
    E.written(CommitStatus::Committed, 6);
    CPPUNIT_ASSERT(!E.answer("r2") && !E.answer("r3"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, E.last<ReadClaim>().size());
    const ClaimRow Row = ClaimHarness::otherClaim(ClaimState::Done);
    E.deliver(ClaimRead{RequestId("r2"), Row});
    E.deliver(ClaimRead{RequestId("r3"), Row});
    CPPUNIT_ASSERT(E.answer("r2")->Outcome_ == Outcome::Done);
    CPPUNIT_ASSERT(E.answer("r2")->StoredAnswer_ == "stored");
    CPPUNIT_ASSERT(E.answer("r3")->Reason_ == Reason::KeyReused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, E.all<Send>().size());
  });
}

HEATHERCROSS_STORY(AbandonedClaim, "a claim of another attempt is settled") {
  section("it is left alone for the grace period, then fenced everywhere", [] {
    ClaimHarness D;
    D.findOtherClaim();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, D.last<Fence>().size());
    section("fenced on all: its version is replaced, then ours is sent", [&] {
      const auto Fences = D.last<Fence>();
      D.fenced(Fences[0], FenceResult::Fenced);
      CPPUNIT_ASSERT(D.none<WriteClaim>());
      D.fenced(Fences[1], FenceResult::Fenced);
      CPPUNIT_ASSERT(D.last<WriteClaim>().at(0).Row_.Version_ == RowVersion(7));
      D.written(CommitStatus::Committed, 8);
      CPPUNIT_ASSERT(!D.none<Send>());
    });
  });
  section("done on a worker: fetched, recorded for its attempt, answered", [] {
    ClaimHarness D;
    D.findOtherClaim();
    D.fenced(D.last<Fence>()[1], FenceResult::Done);
    const FetchAnswer F = D.last<FetchAnswer>().at(0);
    D.deliver(TryEnded{R1, F.Attempt_, F.Worker_, TryResult::Answered});
    CPPUNIT_ASSERT(D.all<WriteClaim>().back().Row_.Attempt_.str() == "other");
    D.written(CommitStatus::Committed, 8);
    D.expectAnswer(Outcome::Done, Reason::None);
    CPPUNIT_ASSERT(D.answer("r1")->Attempt_.str() == "other");
  });
  section("running, or no answer: asked again until the window ends", [] {
    for (const FenceResult R : {FenceResult::Running, FenceResult::NoAnswer}) {
      ClaimHarness D;
      D.findOtherClaim();
      for (int I = 0; I != 60 && !D.answer("r1"); ++I) {
        for (const Fence &F : D.last<Fence>())
          D.fenced(F, R);
        D.advanceTime(Millis(60));
      }
      D.expectAnswer(Outcome::Unknown, Reason::ClaimPending);
      CPPUNIT_ASSERT(D.all<Send>().empty());
    }
  });
}

HEATHERCROSS_STORY(LostTry, "a lost try is fenced before another is made") {
  ClaimHarness D;
  D.written(CommitStatus::Committed, 5);
  D.ended(TryResult::Lost);
  const Fence F = D.last<Fence>().at(0);
  CPPUNIT_ASSERT(D.none<Send>());
  section("fenced: the next named worker gets it", [&] {
    D.fenced(F, FenceResult::Fenced);
    CPPUNIT_ASSERT(D.last<Send>().at(0).Worker_ == D.ownClaim().Workers_[1]);
  });
  section("done: the kept answer is fetched and passed on", [&] {
    D.ended(TryResult::Lost);
    D.fenced(D.last<Fence>().at(0), FenceResult::Done);
    const FetchAnswer G = D.last<FetchAnswer>().at(0);
    D.deliver(TryEnded{R1, G.Attempt_, G.Worker_, TryResult::Answered});
    D.written(CommitStatus::Committed, 6);
    D.expectAnswer(Outcome::Done, Reason::None);
  });
  section("no answer to the end of the window: unknown", [] {
    ClaimHarness E;
    E.written(CommitStatus::Committed, 5);
    E.ended(TryResult::Lost);
    for (int I = 0; I != 60 && !E.answer("r1"); ++I) {
      for (const Fence &Again : E.last<Fence>())
        E.fenced(Again, FenceResult::NoAnswer);
      E.advanceTime(Millis(60));
    }
    E.expectAnswer(Outcome::Unknown, Reason::AnswerLost);
  });
}

HEATHERCROSS_STORY(RestartedWorkerFence,
                   "a worker that restarted has lost its records") {
  DispatcherHarness D(smallFleet(1, 1));
  WorkerReport Report;
  Report.Worker_ = InstanceId("p0-w0");
  Report.Boot_ = "boot1";
  D.deliver(Reported{Report});
  RequestSpec S = D.spec("r1");
  S.Key_ = IdempotencyKey("k");
  D.arrive(S);
  section("the claim and the send name its boot", [&] {
    CPPUNIT_ASSERT(D.all<WriteClaim>().at(0).Row_.Boots_.at(0) == "boot1");
    D.deliver(ClaimWritten{R1, CommitStatus::Committed, RowVersion(1)});
    CPPUNIT_ASSERT(D.all<Send>().at(0).Boot_ == "boot1");
  });
  section("what it fences after a restart proves nothing", [&] {
    D.endTry(D.all<Send>().at(0), TryResult::Lost);
    const Fence F = D.all<Fence>().at(0);
    D.deliver(
        FenceEnded{R1, F.Attempt_, F.Worker_, FenceResult::Fenced, "boot2"});
    D.advance(Seconds(3));
    CPPUNIT_ASSERT(D.answer("r1")->Outcome_ == Outcome::Unknown);
  });
}

HEATHERCROSS_STORY(ClaimSerialization,
                   "a claim's row is parsed as it was serialized") {
  StoredClaim Claim;
  Claim.Row_ = ClaimHarness::otherClaim(ClaimState::Failed);
  Claim.Row_.Boots_ = {"boot1", ""};
  Claim.Body_ = "whole";
  const Row Stored{"claim/t/k", RowVersion(7), AttemptId(),
                   serializeClaim(Claim)};
  const StoredClaim Read = parseClaim(Stored);
  CPPUNIT_ASSERT(Read.Row_.Attempt_ == Claim.Row_.Attempt_);
  CPPUNIT_ASSERT(Read.Row_.Workers_ == Claim.Row_.Workers_);
  CPPUNIT_ASSERT(Read.Row_.Boots_ == Claim.Row_.Boots_);
  CPPUNIT_ASSERT(Read.Row_.State_ == ClaimState::Failed);
  CPPUNIT_ASSERT(Read.Row_.Version_ == RowVersion(7));
  CPPUNIT_ASSERT(Read.Body_ == Claim.Body_);
}

HEATHERCROSS_STORY(RefusedClaim,
                   "a claim can be refused by all named workers") {
  section("it is placed again as a new attempt", [] {
    ClaimHarness D;
    D.written(CommitStatus::Committed, 5);
    for (int I = 0; I != 3; ++I)
      D.ended(TryResult::Refused, Refusal::Full);
    CPPUNIT_ASSERT(!D.none<WriteClaim>());
    const ClaimRow Next = D.last<WriteClaim>().at(0).Row_;
    CPPUNIT_ASSERT(Next.Attempt_ != D.ownClaim().Attempt_);
    CPPUNIT_ASSERT(Next.Version_ == RowVersion(5));
  });
  section("a claimant fenced by another answers what the row says", [] {
    ClaimHarness D;
    D.written(CommitStatus::Committed, 5);
    for (int I = 0; I != 3; ++I)
      D.ended(TryResult::Refused, Refusal::Fenced);
    CPPUNIT_ASSERT(D.last<WriteClaim>().at(0).Row_.State_ ==
                   ClaimState::NotRun);
    D.written(CommitStatus::Conflict);
    D.read(ClaimHarness::otherClaim(ClaimState::Done, 9));
    D.expectAnswer(Outcome::Done, Reason::None);
    CPPUNIT_ASSERT(D.answer("r1")->StoredAnswer_ == "stored");
  });
}
