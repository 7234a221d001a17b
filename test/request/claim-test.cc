// Tests of the claims that keep a request with a key at most once.
#include "request/claim-row.h"
#include "request/fixture.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::request;
using namespace heathercross::request::test;
using heathercross::test::section;

namespace {
const RequestId R1("r1");

/// A desk at which one keyed request has arrived and its claim is being
/// written.
class ClaimDesk : public Desk {
public:
  explicit ClaimDesk(int Workers = 4) : Desk(smallFleet(1, Workers)) {
    Last_ = arrive(keyed("r1"));
  }
  Spec keyed(const std::string &Name) const {
    Spec S = spec(Name);
    S.Key_ = IdempotencyKey("k");
    S.Digest_ = "body";
    return S;
  }
  void written(CommitStatus Status, std::uint64_t Version = 0) {
    Last_ = give(ClaimWritten{R1, Status, RowVersion(Version)});
  }
  void read(std::optional<ClaimRow> Row, bool Failed = false) {
    Last_ = give(ClaimRead{R1, std::move(Row), Failed});
  }
  void ended(TryResult Result, Refusal Why = Refusal::None) {
    Last_ = end(all<Send>().back(), Result, Why);
  }
  void fenced(const Fence &F, FenceResult Result) {
    Last_ = give(FenceEnded{R1, F.Attempt_, F.Worker_, Result});
  }
  void wait(Micros Time) { Last_ = passed(Time); }

  /// What the last event led to.
  template <class T> std::vector<T> last() const { return only<T>(Last_); }
  template <class T> bool none() const { return last<T>().empty(); }
  ClaimRow own() const { return all<WriteClaim>().front().Row_; }

  static ClaimRow other(ClaimState State, std::uint64_t Version = 7) {
    return {AttemptId("other"),
            "body",
            {InstanceId("x"), InstanceId("y")},
            State,
            EntryId("e2"),
            "stored",
            RowVersion(Version)};
  }
  /// Another entry's claim stands in the way and its grace has passed.
  void meetsOther() {
    written(CommitStatus::Conflict);
    read(other(ClaimState::Claimed));
    wait(Millis(200));
    read(other(ClaimState::Claimed));
  }
  void says(Outcome O, Reason R) const {
    const auto A = answer("r1");
    CPPUNIT_ASSERT(A.has_value());
    CPPUNIT_ASSERT(A->Outcome_ == O && A->Reason_ == R);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<Answer>().size());
  }

private:
  Effects Last_;
};
} // namespace

HEATHERCROSS_STORY(FreshKey, "claim, send, record, answer, in this order") {
  ClaimDesk D;
  section("the claim is inserted first and names up to three workers", [&] {
    CPPUNIT_ASSERT(D.own().Version_ == RowVersion());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, D.own().Workers_.size());
    CPPUNIT_ASSERT(D.all<Send>().empty());
  });
  section("a confirmed claim is sent to the first named worker", [&] {
    D.written(CommitStatus::Committed, 5);
    CPPUNIT_ASSERT(D.last<Send>().at(0).Worker_ == D.own().Workers_[0]);
    CPPUNIT_ASSERT(D.last<Send>().at(0).Fresh_);
  });
  section("the outcome is recorded on the claim's version", [&] {
    D.ended(TryResult::Answered);
    const ClaimRow Row = D.last<WriteClaim>().at(0).Row_;
    CPPUNIT_ASSERT(Row.State_ == ClaimState::Done);
    CPPUNIT_ASSERT(Row.Version_ == RowVersion(5));
    CPPUNIT_ASSERT(D.all<Answer>().empty());
  });
  section("and answered when the record is confirmed", [&] {
    D.written(CommitStatus::Committed, 6);
    D.says(Outcome::Done, Reason::None);
  });
}

HEATHERCROSS_STORY(UncertainClaim, "an uncertain claim is read back") {
  section("ours is sent", [] {
    ClaimDesk D;
    D.written(CommitStatus::Uncertain);
    CPPUNIT_ASSERT(!D.none<ReadClaim>() && D.none<Send>());
    ClaimRow Row = D.own();
    Row.Version_ = RowVersion(3);
    D.read(Row);
    CPPUNIT_ASSERT(!D.none<Send>());
  });
  section("one that can't be confirmed is not run, now and later", [] {
    ClaimDesk D;
    D.written(CommitStatus::Uncertain);
    for (int I = 0; I != 40 && !D.answer("r1"); ++I) {
      D.read(std::nullopt, true);
      D.wait(Millis(60));
    }
    D.says(Outcome::NotRun, Reason::ClaimUnconfirmed);
    D.written(CommitStatus::Committed, 9);
    D.wait(Seconds(5));
    CPPUNIT_ASSERT(D.all<Send>().empty());
  });
}

HEATHERCROSS_STORY(RepeatedKey, "a repeat gets what the row says") {
  section("the stored answer, also of work that failed", [] {
    for (const ClaimState S : {ClaimState::Done, ClaimState::Failed}) {
      ClaimDesk E;
      E.written(CommitStatus::Conflict);
      E.read(ClaimDesk::other(S));
      E.says(S == ClaimState::Done ? Outcome::Done : Outcome::Failed,
             Reason::None);
      CPPUNIT_ASSERT(E.answer("r1")->Stored_ == "stored");
    }
  });
  section("a refusal when the body is another", [] {
    ClaimDesk E;
    E.written(CommitStatus::Conflict);
    ClaimRow Row = ClaimDesk::other(ClaimState::Done);
    Row.Digest_ = "another";
    E.read(Row);
    E.says(Outcome::NotRun, Reason::KeyReused);
  });
  section("its own run when the first was recorded as not run", [] {
    ClaimDesk E;
    E.written(CommitStatus::Conflict);
    E.read(ClaimDesk::other(ClaimState::NotRun));
    CPPUNIT_ASSERT(E.last<WriteClaim>().at(0).Row_.Version_ == RowVersion(7));
    E.written(CommitStatus::Committed, 8);
    CPPUNIT_ASSERT(!E.none<Send>());
  });
  section("at the same entry it waits for the first", [] {
    ClaimDesk E;
    E.written(CommitStatus::Committed, 5);
    E.arrive(E.keyed("r2"));
    Spec Other = E.keyed("r3");
    Other.Digest_ = "another";
    E.arrive(Other);
    E.ended(TryResult::Answered);
    E.written(CommitStatus::Committed, 6);
    CPPUNIT_ASSERT(E.answer("r2")->Outcome_ == Outcome::Done);
    CPPUNIT_ASSERT(!E.answer("r2")->Stored_.empty());
    CPPUNIT_ASSERT(E.answer("r3")->Reason_ == Reason::KeyReused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, E.all<Send>().size());
  });
}

HEATHERCROSS_STORY(AbandonedClaim, "a claim of another attempt is settled") {
  section("it is left alone for a moment, then fenced everywhere", [] {
    ClaimDesk D;
    D.meetsOther();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, D.last<Fence>().size());
    section("fenced on all: taken over on its version, then sent", [&] {
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
    ClaimDesk D;
    D.meetsOther();
    D.fenced(D.last<Fence>()[1], FenceResult::Done);
    const FetchAnswer F = D.last<FetchAnswer>().at(0);
    D.give(TryEnded{R1, F.Attempt_, F.Worker_, TryResult::Answered});
    CPPUNIT_ASSERT(D.all<WriteClaim>().back().Row_.Attempt_.str() == "other");
    D.written(CommitStatus::Committed, 8);
    D.says(Outcome::Done, Reason::None);
    CPPUNIT_ASSERT(D.answer("r1")->Attempt_.str() == "other");
  });
  section("running, or no answer: asked until the window ends", [] {
    for (const FenceResult R : {FenceResult::Running, FenceResult::NoAnswer}) {
      ClaimDesk D;
      D.meetsOther();
      for (int I = 0; I != 60 && !D.answer("r1"); ++I) {
        for (const Fence &F : D.last<Fence>())
          D.fenced(F, R);
        D.wait(Millis(60));
      }
      D.says(Outcome::Unknown, Reason::ClaimPending);
      CPPUNIT_ASSERT(D.all<Send>().empty());
    }
  });
}

HEATHERCROSS_STORY(LostTry, "a lost try is fenced before anything else") {
  ClaimDesk D;
  D.written(CommitStatus::Committed, 5);
  D.ended(TryResult::Lost);
  const Fence F = D.last<Fence>().at(0);
  CPPUNIT_ASSERT(D.none<Send>());
  section("fenced: the next named worker gets it", [&] {
    D.fenced(F, FenceResult::Fenced);
    CPPUNIT_ASSERT(D.last<Send>().at(0).Worker_ == D.own().Workers_[1]);
  });
  section("done: the kept answer is fetched and handed on", [&] {
    D.ended(TryResult::Lost);
    D.fenced(D.last<Fence>().at(0), FenceResult::Done);
    const FetchAnswer G = D.last<FetchAnswer>().at(0);
    D.give(TryEnded{R1, G.Attempt_, G.Worker_, TryResult::Answered});
    D.written(CommitStatus::Committed, 6);
    D.says(Outcome::Done, Reason::None);
  });
  section("no answer to the end: unknown", [] {
    ClaimDesk E;
    E.written(CommitStatus::Committed, 5);
    E.ended(TryResult::Lost);
    for (int I = 0; I != 60 && !E.answer("r1"); ++I) {
      for (const Fence &Again : E.last<Fence>())
        E.fenced(Again, FenceResult::NoAnswer);
      E.wait(Millis(60));
    }
    E.says(Outcome::Unknown, Reason::AnswerLost);
  });
}

HEATHERCROSS_STORY(RestartedWorker, "a worker that restarted has forgotten") {
  Desk D(smallFleet(1, 1));
  WorkerReport Report;
  Report.Worker_ = InstanceId("p0-w0");
  Report.Boot_ = "boot1";
  D.give(Reported{Report});
  Spec S = D.spec("r1");
  S.Key_ = IdempotencyKey("k");
  D.arrive(S);
  section("the claim and the send name its boot", [&] {
    CPPUNIT_ASSERT(D.all<WriteClaim>().at(0).Row_.Boots_.at(0) == "boot1");
    D.give(ClaimWritten{R1, CommitStatus::Committed, RowVersion(1)});
    CPPUNIT_ASSERT(D.all<Send>().at(0).Boot_ == "boot1");
  });
  section("what it fences after a restart proves nothing", [&] {
    D.end(D.all<Send>().at(0), TryResult::Lost);
    const Fence F = D.all<Fence>().at(0);
    D.give(FenceEnded{R1, F.Attempt_, F.Worker_, FenceResult::Fenced, "boot2"});
    D.passed(Seconds(3));
    CPPUNIT_ASSERT(D.answer("r1")->Outcome_ == Outcome::Unknown);
  });
}

HEATHERCROSS_STORY(ClaimText, "a claim's row is read as it was written") {
  StoredClaim Claim;
  Claim.Row_ = ClaimDesk::other(ClaimState::Failed);
  Claim.Row_.Boots_ = {"boot1", ""};
  Claim.Body_ = "whole";
  const Row Stored{"claim/t/k", RowVersion(7), AttemptId(), claimText(Claim)};
  const StoredClaim Read = parseClaim(Stored);
  CPPUNIT_ASSERT(Read.Row_.Attempt_ == Claim.Row_.Attempt_);
  CPPUNIT_ASSERT(Read.Row_.Workers_ == Claim.Row_.Workers_);
  CPPUNIT_ASSERT(Read.Row_.Boots_ == Claim.Row_.Boots_);
  CPPUNIT_ASSERT(Read.Row_.State_ == ClaimState::Failed);
  CPPUNIT_ASSERT(Read.Row_.Version_ == RowVersion(7));
  CPPUNIT_ASSERT(Read.Body_ == Claim.Body_);
}

HEATHERCROSS_STORY(RefusedClaim, "refused by all named workers") {
  section("it is placed again under a new attempt", [] {
    ClaimDesk D;
    D.written(CommitStatus::Committed, 5);
    for (int I = 0; I != 3; ++I)
      D.ended(TryResult::Refused, Refusal::Full);
    CPPUNIT_ASSERT(!D.none<WriteClaim>());
    const ClaimRow Next = D.last<WriteClaim>().at(0).Row_;
    CPPUNIT_ASSERT(Next.Attempt_ != D.own().Attempt_);
    CPPUNIT_ASSERT(Next.Version_ == RowVersion(5));
  });
  section("a claimant that was fenced by another answers what the row says",
          [] {
            ClaimDesk D;
            D.written(CommitStatus::Committed, 5);
            for (int I = 0; I != 3; ++I)
              D.ended(TryResult::Refused, Refusal::Fenced);
            CPPUNIT_ASSERT(D.last<WriteClaim>().at(0).Row_.State_ ==
                           ClaimState::NotRun);
            D.written(CommitStatus::Conflict);
            D.read(ClaimDesk::other(ClaimState::Done, 9));
            D.says(Outcome::Done, Reason::None);
            CPPUNIT_ASSERT(D.answer("r1")->Stored_ == "stored");
          });
}
