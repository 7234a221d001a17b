// Tests of routes that move between pools: an id is accepted by one pool only,
// and is found wherever it was accepted.
#include "schedule/ingress.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

const IngressId Ingress = ingressOf("trade.example", "/delivery/");

/// A pool, what it has stored, and what its current holder knows.
struct ModelPoolOfJobs {
  explicit ModelPoolOfJobs(const PoolId &Id) : Holder_(Id) {}

  IngressStates Stored_;
  std::set<std::string> Jobs_;
  PoolIngresses Holder_;
};

/// The former pools that don't know an id, and for which claim they said so.
struct Asked {
  std::set<PoolId> Pools_;
  std::uint64_t For_ = 0;
};

/// What a front hears.
enum class Heard : std::uint8_t { Accepted, Unknown, Retry };

/// The pools of a deployment, the row of an ingress, and the configurations
/// that were written. Entries and holders may know any of them that isn't older
/// than the one they knew before.
class MovingRoute {
public:
  /// The pool to which each version sends the route; empty for none.
  std::vector<PoolId> Versions_{PoolId("p0")};
  std::map<PoolId, ModelPoolOfJobs> Pools_;
  IngressOwners Owners_;
  std::map<std::string, std::set<PoolId>> AcceptedBy_;

  MovingRoute() {
    for (const char *Name : {"p0", "p1", "p2"})
      Pools_.emplace(PoolId(Name), PoolId(Name));
  }

  /// A holder takes in a configuration, and claims what it routes to its pool.
  void configure(const PoolId &Pool, std::size_t Version) {
    PoolIngresses &H = Pools_.at(Pool).Holder_;
    H.configure(Version + 1, Versions_.at(Version) == Pool
                                 ? std::set<IngressId>{Ingress}
                                 : std::set<IngressId>());
    if (!H.nextClaim())
      return;
    if (const auto Claimed = H.claim(Owners_)) {
      Owners_ = *Claimed;
      H.claimed(Ingress, Owners_);
    }
  }
  /// Another entry takes the duty of a pool.
  void changeHolder(const PoolId &Pool) {
    ModelPoolOfJobs &P = Pools_.at(Pool);
    P.Holder_ = PoolIngresses(Pool);
    P.Holder_.restore(P.Stored_);
  }

  /// The first part of a submission: asks the routed pool, and the former ones
  /// if it says so. Returns what was promised, or nothing if the call ended.
  std::optional<Asked> askFormer(const PoolId &Routed, const std::string &Id) {
    ModelPoolOfJobs &P = Pools_.at(Routed);
    if (P.Jobs_.contains(Id) || !P.Holder_.isOpen(Ingress))
      return std::nullopt;
    const IngressState State = *P.Holder_.find(Ingress);
    Asked A{State.Former_, State.Claimed_};
    for (const PoolId &Former : State.Former_) {
      ModelPoolOfJobs &F = Pools_.at(Former);
      if (F.Jobs_.contains(Id))
        return std::nullopt;
      F.Holder_.seal(Ingress, State.Claimed_);
      F.Stored_ = F.Holder_.states();
    }
    return A;
  }
  /// The second part, any time later.
  void accept(const PoolId &Routed, const std::string &Id, const Asked &A) {
    ModelPoolOfJobs &P = Pools_.at(Routed);
    if (P.Jobs_.contains(Id) || !P.Holder_.isOpen(Ingress) ||
        !P.Holder_.allAsked(Ingress, A.Pools_, A.For_))
      return;
    P.Stored_ = P.Holder_.states();
    P.Jobs_.insert(Id);
    AcceptedBy_[Id].insert(Routed);
  }

  /// What a front that routes to a pool hears of an accepted job.
  Heard ask(const PoolId &Routed, const std::string &Id) {
    ModelPoolOfJobs &P = Pools_.at(Routed);
    if (P.Jobs_.contains(Id))
      return Heard::Accepted;
    if (!P.Holder_.isOpen(Ingress))
      return Heard::Retry;
    for (const PoolId &Former : P.Holder_.find(Ingress)->Former_) {
      ModelPoolOfJobs &F = Pools_.at(Former);
      if (F.Jobs_.contains(Id))
        return Heard::Accepted;
    }
    return Heard::Unknown;
  }
};

} // namespace

HEATHERCROSS_STORY(MovedIngress,
                   "a route that moves keeps the ids of its jobs") {
  MovingRoute R;
  const PoolId First("p0");
  const PoolId Second("p1");
  R.configure(First, 0);
  R.accept(First, "a", {});
  section("the second pool asks the first one", [&] {
    R.Versions_.push_back(Second);
    R.configure(Second, 1);
    CPPUNIT_ASSERT(R.ask(Second, "a") == Heard::Accepted);
    CPPUNIT_ASSERT(!R.askFormer(Second, "a"));
  });
  section("it accepts an id once the first one is sealed", [&] {
    R.accept(Second, "b", {});
    CPPUNIT_ASSERT(!R.Pools_.at(Second).Jobs_.contains("b"));
    const auto A = R.askFormer(Second, "b");
    CPPUNIT_ASSERT(A.has_value());
    R.accept(Second, "b", *A);
    CPPUNIT_ASSERT(R.Pools_.at(Second).Jobs_.contains("b"));
  });
  section("the first one accepts nothing more, nor does its next holder", [&] {
    R.accept(First, "c", {});
    R.changeHolder(First);
    R.configure(First, 0);
    R.accept(First, "c", {});
    CPPUNIT_ASSERT(!R.Pools_.at(First).Jobs_.contains("c"));
  });
  section("a route that comes back is open again, and finds both", [&] {
    R.Versions_.push_back(First);
    R.configure(First, 2);
    CPPUNIT_ASSERT(R.ask(First, "a") == Heard::Accepted);
    CPPUNIT_ASSERT(R.ask(First, "b") == Heard::Accepted);
    const auto A = R.askFormer(First, "c");
    CPPUNIT_ASSERT(A.has_value());
    R.accept(First, "c", *A);
    CPPUNIT_ASSERT(R.Pools_.at(First).Jobs_.contains("c"));
  });
}

HEATHERCROSS_STORY(StillIngress, "a route that never moved asks nobody") {
  MovingRoute R;
  R.configure(PoolId("p0"), 0);
  R.changeHolder(PoolId("p0"));
  R.configure(PoolId("p0"), 0);
  const auto A = R.askFormer(PoolId("p0"), "a");
  CPPUNIT_ASSERT(A && A->Pools_.empty());
}

namespace {

/// A submission whose answers from the former pools are there.
struct OpenSubmission {
  PoolId Routed_;
  std::string Id_;
  Asked Asked_;
};

void anyMoves() {
  MovingRoute R;
  const std::vector<PoolId> Names{PoolId("p0"), PoolId("p1"), PoolId("p2")};
  std::map<PoolId, std::size_t> Known;
  std::vector<OpenSubmission> Submissions;
  const int Events = *rc::gen::inRange(1, 120);
  for (int I = 0; I < Events; ++I) {
    const PoolId Pool =
        Names[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
    const std::string Id(1, static_cast<char>('a' + *rc::gen::inRange(0, 2)));
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
      R.Versions_.push_back(Pool);
      break;
    case 1:
    case 2: {
      // A holder's configuration may be old, but never gets older.
      std::size_t &V = Known[Pool];
      V = *rc::gen::inRange(V, R.Versions_.size());
      R.configure(Pool, V);
      break;
    }
    case 3:
      // The next holder may know an older one.
      R.changeHolder(Pool);
      Known[Pool] = *rc::gen::inRange<std::size_t>(0, R.Versions_.size());
      R.configure(Pool, Known[Pool]);
      break;
    case 4:
      if (const auto A = R.askFormer(Pool, Id))
        Submissions.push_back({Pool, Id, *A});
      break;
    default:
      if (!Submissions.empty()) {
        const auto At = Submissions.begin() +
                        *rc::gen::inRange<std::ptrdiff_t>(
                            0, static_cast<std::ptrdiff_t>(Submissions.size()));
        const OpenSubmission S = *At;
        Submissions.erase(At);
        R.accept(S.Routed_, S.Id_, S.Asked_);
      }
      break;
    }
    for (const auto &[Job, Pools] : R.AcceptedBy_) {
      RC_ASSERT(Pools.size() == 1U);
      // No pool that may answer for the route denies the job.
      for (const PoolId &P : Names)
        RC_ASSERT(R.ask(P, Job) != Heard::Unknown);
    }
  }
}

} // namespace

// The class of TWICE for moved routes: any pools, versions and holders that
// know older ones, and submissions that overlap with all of it.
HEATHERCROSS_STORY(AnyMoves, "no series of moves gives an id to two pools") {
  HEATHERCROSS_PROPERTY("and none loses one", anyMoves);
}
