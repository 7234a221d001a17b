// Tests of what is learned of images that slow each other down, and of its
// effect on the choice of a worker.
#include "schedule/interference.h"
#include "schedule/model-worker.h"
#include "schedule/task-placement.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <random>
#include <string>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

constexpr Millis Interval{250};

/// Serving tasks on several workers, each with its own neighbours.
class ObservedWorkers {
public:
  Interference Known_;
  Instant Now_{Seconds(100)};
  std::mt19937_64 Random_;
  /// Returns the tail as a share of the goal, by what works beside a task.
  std::function<double(const ImageActivity &)> Tail_;
  /// Returns what works beside a task now.
  std::function<ImageActivity()> Others_;
  int Workers_ = 8;

  void run(Micros For) {
    for (const Instant End = Now_ + For; Now_ < End; Now_ += Interval) {
      for (int I = 0; I < Workers_; ++I) {
        const ImageActivity Others = Others_();
        Known_.observe("web", Tail_(Others), Others, Now_);
      }
      Known_.expire(Now_);
    }
  }

  double uniform(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(Random_);
  }
  bool chance(double Probability) { return uniform(0, 1) < Probability; }
  bool knows(const std::string &Neighbour) const {
    return Known_.known().contains({"web", Neighbour});
  }
};

/// Half of the time one filler of each image works beside a task.
ImageActivity someFillers(ObservedWorkers &W) {
  ImageActivity Others;
  for (const char *Image : {"scan", "sort", "pack"})
    if (W.chance(0.5))
      Others[Image] = W.uniform(0.25, 1);
  return Others;
}

/// Figures that don't depend on the neighbours.
void runScatter() {
  ObservedWorkers W;
  W.Random_.seed(*rc::gen::arbitrary<std::uint64_t>());
  W.Workers_ = *rc::gen::inRange(1, 12);
  const int Shape = *rc::gen::inRange(0, 4);
  const double Rare = W.uniform(0.02, 0.5);
  const double High = W.uniform(1, 4);
  const double Presence = W.uniform(0.05, 0.95);
  const double Period = W.uniform(1, 20);
  W.Tail_ = [&](const ImageActivity &) -> double {
    switch (Shape) {
    case 0:
      return W.uniform(0, High);
    case 1:
      return W.chance(Rare) ? High : 0.3;
    case 2:
      return 0.3 *
             std::exp(std::normal_distribution<double>(0, 0.7)(W.Random_));
    default: {
      // The load of the serving tasks rises and falls.
      const double At =
          std::chrono::duration<double>(W.Now_.time_since_epoch()).count();
      return 0.3 + High * (1 + std::sin(2 * std::numbers::pi * At / Period)) +
             W.uniform(0, 0.2);
    }
    }
  };
  W.Others_ = [&] {
    ImageActivity Others;
    for (const char *Image : {"a", "b", "c", "d", "e"})
      if (W.chance(Presence))
        Others[Image] = W.uniform(0, 1);
    return Others;
  };
  W.run(Seconds(60));
  RC_ASSERT(W.Known_.takeChanges().empty());
}

/// A worker with this much free capacity, for the choice of a place.
Worker workerWith(const std::string &Id, const std::string &Rack,
                  std::int64_t CpuMilli) {
  return {heathercross::schedule::test::workerInfo(Id, Rack, CpuMilli), {}};
}

/// The choice without interference: the least of avoided, other rack, packing
/// and remaining capacity.
Worker *bestFit(const std::vector<Candidate> &Candidates,
                const PlacementRequest &R) {
  Worker *Best = nullptr;
  std::tuple<bool, bool, std::int64_t, std::int64_t> BestKey;
  for (const Candidate &C : Candidates) {
    if (!R.Reserved_.fits(C.Worker_->free()))
      continue;
    Resources Left = C.Worker_->free();
    Left -= R.Reserved_;
    const std::tuple Key(C.Worker_->info().Id_ == R.Avoid_,
                         !R.Rack_.empty() && C.Worker_->info().Rack_ != R.Rack_,
                         R.LongRunning_
                             ? -static_cast<std::int64_t>(C.LongRunning_)
                             : std::int64_t{0},
                         Left.CpuMilli_);
    if (Best && Key >= BestKey)
      continue;
    Best = C.Worker_;
    BestKey = Key;
  }
  return Best;
}

/// Chooses among random workers, some of which the task interferes on.
void runRandomChoice() {
  const auto Count = *rc::gen::inRange<std::size_t>(1, 8);
  const bool Interferes = *rc::gen::arbitrary<bool>();
  std::vector<Worker> Workers;
  Workers.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Workers.push_back(workerWith("w" + std::to_string(I),
                                 *rc::gen::element<std::string>("r1", "r2"),
                                 *rc::gen::inRange<std::int64_t>(1, 9) * 1000));
  std::vector<Candidate> Places;
  Places.reserve(Workers.size());
  for (Worker &W : Workers)
    Places.push_back(
        {&W,
         0,
         *rc::gen::inRange<std::uint32_t>(0, 3),
         {Interferes ? *rc::gen::inRange<std::uint32_t>(0, 3) : 0, false}});
  PlacementRequest R;
  R.Reserved_ = {4000, 1000, 0};
  R.LongRunning_ = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>())
    R.Rack_ = RackId("r1");
  R.Avoid_ = InstanceId("w0");
  const Worker *Chosen = choose(Places, R);
  const Worker *Fitting = bestFit(Places, R);
  // Interference excludes no worker.
  RC_ASSERT((Chosen == nullptr) == (Fitting == nullptr));
  if (!Interferes)
    RC_ASSERT(Chosen == Fitting);
  if (Chosen && Chosen->info().Id_ == R.Avoid_)
    RC_ASSERT(Fitting == Chosen);
}

} // namespace

// The load: serving tasks on 8 workers, fillers of three images that come and
// go, of which one raises the tail far above its goal. Guards against fillers
// that go on disturbing, and against blaming those that don't.
HEATHERCROSS_STORY(InterferenceLearned,
                   "the image that disturbs is told from those that don't") {
  ObservedWorkers W;
  double Effect = 1.2;
  W.Others_ = [&] { return someFillers(W); };
  W.Tail_ = [&](const ImageActivity &Others) {
    const auto Scan = Others.find("scan");
    return W.uniform(0.3, 0.5) +
           (Scan == Others.end() ? 0 : Effect * Scan->second);
  };
  W.run(Seconds(10));
  section("it is known, and only it", [&] {
    CPPUNIT_ASSERT(W.knows("scan"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W.Known_.known().size());
    const auto Changes = W.Known_.takeChanges();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Changes.size());
    CPPUNIT_ASSERT(Changes.front().Known_);
  });
  section("its cost counts for both images, and not for others", [&] {
    CPPUNIT_ASSERT(W.Known_.cost("scan", {{"web", 1}}).Percent_ > 40);
    CPPUNIT_ASSERT(W.Known_.cost("web", {{"scan", 2}}).Percent_ > 40);
    CPPUNIT_ASSERT_EQUAL(0U, W.Known_.cost("sort", {{"web", 1}}).Percent_);
    CPPUNIT_ASSERT_EQUAL(0U, W.Known_.cost("scan", {{"sort", 1}}).Percent_);
    CPPUNIT_ASSERT_EQUAL(0U, W.Known_.cost("other", {{"web", 1}}).Percent_);
  });
  section("when it ceases to disturb, it is allowed again", [&] {
    Effect = 0;
    W.run(Seconds(20));
    CPPUNIT_ASSERT(!W.knows("scan"));
    CPPUNIT_ASSERT(!W.Known_.anyKnown());
    CPPUNIT_ASSERT_EQUAL(0U, W.Known_.cost("scan", {{"web", 1}}).Percent_);
  });
}

// The load: the disturbing image was separated, so that nothing is observed
// beside it. Guards against knowledge that outlasts the interference.
HEATHERCROSS_STORY(InterferenceFades,
                   "knowledge fades within tens of seconds") {
  ObservedWorkers W;
  W.Others_ = [&] { return someFillers(W); };
  W.Tail_ = [&](const ImageActivity &Others) {
    return W.uniform(0.3, 0.5) + (Others.contains("scan") ? 1.5 : 0);
  };
  W.run(Seconds(10));
  CPPUNIT_ASSERT(W.knows("scan"));
  W.Others_ = [] { return ImageActivity{{"sort", 1}}; };
  W.run(Seconds(8));
  CPPUNIT_ASSERT(W.knows("scan"));
  W.run(Seconds(32));
  CPPUNIT_ASSERT(!W.knows("scan"));
}

// The load: an image that often works next to the disturbing one, and at times
// alone. Guards against separating it as well.
HEATHERCROSS_STORY(InterferenceCompanion,
                   "a companion of the disturbing image isn't blamed") {
  ObservedWorkers W;
  W.Others_ = [&] {
    ImageActivity Others;
    if (W.chance(0.4))
      Others = {{"scan", 1}, {"sort", 1}};
    else if (W.chance(0.2))
      Others = {{"sort", 1}};
    else if (W.chance(0.2))
      Others = {{"scan", 1}};
    return Others;
  };
  W.Tail_ = [&](const ImageActivity &Others) {
    return W.uniform(0.3, 0.5) + (Others.contains("scan") ? 1.5 : 0);
  };
  W.run(Seconds(30));
  CPPUNIT_ASSERT(W.knows("scan"));
  CPPUNIT_ASSERT(!W.knows("sort"));
}

// The load: serving tasks whose tails scatter, stall at times, or follow the
// load of their users, beside fillers that have no effect. Guards against
// interference that is seen in chance.
HEATHERCROSS_STORY(InterferenceScatter,
                   "scatter without interference is never taken for it") {
  HEATHERCROSS_PROPERTY("whatever the figures are", [] { runScatter(); });
}

// The load: thousands of images. Guards against memory that grows with them.
HEATHERCROSS_STORY(InterferenceMemory, "memory is bounded") {
  Interference I;
  Instant Now(Seconds(10));
  const auto Name = [](const char *Prefix, int Number) {
    return Prefix + std::to_string(Number);
  };
  for (int S = 0; S < 300; ++S)
    for (int N = 0; N < 200; ++N) {
      Now += Millis(1);
      I.observe(Name("s", S), N % 2 == 0 ? 2 : 0.3,
                {{Name("n", S * 200 + N), 1}, {"always", 0.5}}, Now);
    }
  CPPUNIT_ASSERT_EQUAL(Interference::MaxImages, I.images());
  CPPUNIT_ASSERT(I.pairs() <=
                 Interference::MaxImages * Interference::MaxNeighbours);
  section("what is still seen is kept", [&] {
    for (int N = 0; N < 1000; ++N) {
      Now += Millis(20);
      const bool Scan = N % 2 == 0;
      ImageActivity Others{{Name("x", N), 1}};
      if (Scan)
        Others["scan"] = 1;
      I.observe("web", Scan ? 2 : 0.3, Others, Now);
    }
    CPPUNIT_ASSERT(I.known().contains({"web", "scan"}));
  });
  section("a dropped image leaves nothing known", [&] {
    for (int S = 0; S < 300; ++S) {
      Now += Millis(1);
      I.observe(Name("t", S), 0.3, {}, Now);
    }
    I.expire(Now);
    CPPUNIT_ASSERT(!I.known().contains({"web", "scan"}));
    CPPUNIT_ASSERT_EQUAL(0U, I.cost("scan", {{"web", 1}}).Percent_);
  });
}

// The load: throttles change while a latency figure is taken. Guards against
// figures that are attributed to a neighbour that had stopped before.
HEATHERCROSS_STORY(InterferenceActivity,
                   "activity is the mean of the time that a figure covers") {
  ActivityHistory H;
  const Instant Begin(Seconds(10));
  for (int Ms = 0; Ms <= 500; Ms += 100)
    H.record(Ms < 250 ? ImageActivity{{"scan", 1}} : ImageActivity{},
             Begin + Millis(Ms));
  CPPUNIT_ASSERT(H.observationDue(Begin + Millis(500)));
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, H.mean(Begin + Millis(500)).at("scan"),
                               0.01);
  H.observed(Begin + Millis(500));
  CPPUNIT_ASSERT(!H.observationDue(Begin + Millis(600)));
  section("after a gap the window must be covered again", [&] {
    H.record({}, Begin + Seconds(4));
    CPPUNIT_ASSERT(!H.observationDue(Begin + Seconds(4)));
    CPPUNIT_ASSERT(H.mean(Begin + Seconds(4)).empty());
  });
}

// The load: tasks of any kind, with and without known interference. Guards
// against a task that isn't placed because of it, and against other places than
// before where nothing is known.
HEATHERCROSS_STORY(InterferenceChoice,
                   "interference orders workers and excludes none") {
  HEATHERCROSS_PROPERTY("whatever the workers are", [] { runRandomChoice(); });
  section("less interference goes first, an avoided worker last", [] {
    Worker Full = workerWith("w1", "r1", 4000);
    Worker Middle = workerWith("w2", "r1", 8000);
    Worker Free = workerWith("w3", "r1", 16'000);
    PlacementRequest R;
    R.Reserved_ = {1000, 1000, 0};
    std::vector<Candidate> Places{{&Full, 0, 0, {90, true}},
                                  {&Middle, 0, 0, {30, false}},
                                  {&Free, 0, 0, {}}};
    CPPUNIT_ASSERT(choose(Places, R) == &Free);
    R.Avoid_ = InstanceId("w3");
    CPPUNIT_ASSERT(choose(Places, R) == &Middle);
    Places.erase(Places.begin() + 1, Places.end());
    CPPUNIT_ASSERT(choose(Places, R) == &Full);
  });
}
