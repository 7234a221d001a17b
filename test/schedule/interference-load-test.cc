// Replays of serving tasks and fillers that share workers, with and without
// knowledge of interference.
#include "schedule/model-pool.h"
#include "support/story.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

constexpr Millis Goal{40};
const std::string Scan = "scan";

/// Whether steps name their images.
enum class Images : std::uint8_t { Named, Absent };

/// A pool whose fillers are throttled and disturb serving tasks.
class SharedPool : public ModelPool {
public:
  explicit SharedPool(Images I) : Images_(I) {}

  /// The rise of the tail of "web" beside fillers of "scan", as a share of the
  /// goal: of one that isn't throttled, or of several that are.
  double Effect_ = 1.5;
  /// The rise of the tail of a serving task by the load of its users.
  std::function<double(const InstanceId &, Instant)> Load_ =
      [](const InstanceId &, Instant) { return 0.0; };
  /// Task-seconds that serving tasks spent above their goal.
  double AboveGoal_ = 0;
  /// Task-seconds of work that fillers have done.
  double FillerWork_ = 0;
  std::uint32_t KnownEvents_ = 0;
  /// Each start in order: the task and its worker.
  std::vector<std::pair<TaskKey, InstanceId>> Placements_;

  void serve(const std::string &Image, std::uint32_t Count) {
    StepSpec S = step(Count, 9000, Millis(1000));
    S.Needs_.MemoryMb_ = 16'000;
    S.LongRunning_ = true;
    S.MaxPerWorker_ = 1;
    S.MaxUnavailable_ = 1;
    S.LatencyGoal_ = Goal;
    submitImage(Image, Image, S);
  }
  void fill(const std::string &Id, const std::string &Image,
            std::uint32_t Count) {
    StepSpec S = step(Count, 2000, Millis(2000));
    S.Needs_.MemoryMb_ = 8000;
    S.BestEffort_ = true;
    submitImage(Id, Image, S);
  }

  /// Starts a task on a worker that leaves only this much memory free.
  void occupy(const InstanceId &Worker, std::int64_t FreeMb) {
    const std::string Id = "fill-" + Worker.str();
    StepSpec S = step(1, 0, Millis(100'000));
    S.Needs_.MemoryMb_ =
        Scheduler_.workers().at(Worker).free().MemoryMb_ - FreeMb;
    S.Label_ = "only-" + Worker.str();
    ImageOf_[JobId(Id)] = "";
    submit(Id, job({S}));
  }

  /// The number of runs on all workers.
  std::size_t runs() const {
    std::size_t Count = 0;
    for (const auto &[Id, W] : Workers_)
      Count += W.Running_.size();
    return Count;
  }
  std::uint32_t running(const InstanceId &Worker,
                        const std::string &Image) const {
    return static_cast<std::uint32_t>(std::ranges::count_if(
        Workers_.at(Worker).Running_, [&](const auto &Entry) {
          return ImageOf_.at(Entry.first.Job_) == Image;
        }));
  }

protected:
  void tick() override {
    for (auto &[Id, W] : Workers_) {
      slowThrottled(W);
      advance(W);
      measure(W);
    }
    carryOutLateCalls();
    for (auto &[Id, W] : Workers_)
      renew(W);
    const Orders O = Scheduler_.step(Now_, wall());
    for (const StopOrder &S : O.Stops_)
      deliver(S);
    for (const StartOrder &S : O.Starts_) {
      Placements_.emplace_back(S.Task_, S.Worker_);
      deliver(S);
    }
    for (const ThrottleOrder &T : O.Throttles_) {
      Percent_[T.Task_] = T.Percent_;
      Scheduler_.throttled(T, true);
    }
    for (const Decision &D : Scheduler_.takeDecisions())
      KnownEvents_ += D.Kind_ == std::string("interference-known") ? 1 : 0;
    store();
  }

  WorkerReport reportOf(const ModelWorker &W) const override {
    WorkerReport R = ModelPool::reportOf(W);
    for (RunningReport &Running : R.Running_)
      if (const auto It = Tails_.find(Running.Task_); It != Tails_.end())
        Running.Load_ = static_cast<std::int64_t>(
            mean(It->second) * static_cast<double>(Goal.count()));
    return R;
  }

private:
  void submitImage(const std::string &Id, const std::string &Image,
                   StepSpec S) {
    if (Images_ == Images::Named)
      S.Image_ = Image;
    ImageOf_[JobId(Id)] = Image;
    submit(Id, job({S}));
  }

  const StepSpec &stepOf(const TaskKey &Key) const {
    return Specs_.at(Key.Job_).Steps_[Key.Step_];
  }
  double throttle(const TaskKey &Key) const {
    const auto It = Percent_.find(Key);
    return It == Percent_.end() ? 1 : static_cast<double>(It->second) / 100;
  }
  static double mean(const std::deque<double> &Figures) {
    double Sum = 0;
    for (const double F : Figures)
      Sum += F;
    return Figures.empty() ? 0 : Sum / static_cast<double>(Figures.size());
  }

  /// Delays the ends of fillers by the part of their work that they may not do.
  void slowThrottled(ModelWorker &W) {
    for (auto &[Key, R] : W.Running_) {
      if (!stepOf(Key).BestEffort_)
        continue;
      const double Share = throttle(Key);
      const Micros Done(static_cast<std::int64_t>(
          static_cast<double>(Micros(Tick).count()) * Share));
      R.Ends_ += Tick - Done;
      R.Started_ += Tick - Done;
      FillerWork_ += std::chrono::duration<double>(Done).count();
    }
  }

  /// Updates the tails of the serving tasks, each over the last half second.
  void measure(ModelWorker &W) {
    double Scanning = 0;
    for (const auto &[Key, R] : W.Running_)
      if (ImageOf_.at(Key.Job_) == Scan)
        Scanning = std::min(1.0, Scanning + throttle(Key));
    constexpr std::size_t WindowTicks = 25;
    for (const auto &[Key, R] : W.Running_) {
      if (!stepOf(Key).LongRunning_)
        continue;
      const bool Disturbed = ImageOf_.at(Key.Job_) == "web";
      std::deque<double> &Tail = Tails_[Key];
      Tail.push_back(std::uniform_real_distribution<double>(0.2, 0.5)(Random_) +
                     Load_(W.Info_.Id_, Now_) +
                     (Disturbed ? Effect_ * Scanning : 0));
      if (Tail.size() > WindowTicks)
        Tail.pop_front();
      AboveGoal_ +=
          mean(Tail) > 1 ? std::chrono::duration<double>(Tick).count() : 0;
    }
  }

  Images Images_;
  std::map<JobId, std::string> ImageOf_;
  std::map<TaskKey, std::uint32_t> Percent_;
  std::map<TaskKey, std::deque<double>> Tails_;
  std::mt19937_64 Random_{1};
};

/// Eight workers, three serving tasks of each of two images, which don't fit on
/// one worker together, and three images of fillers that arrive all the time.
void prepare(SharedPool &P) {
  for (int W = 1; W <= 8; ++W) {
    const std::string Id = "w" + std::to_string(W);
    ModelWorker &Added = P.addWorker(Id, "r1", 16'000);
    Added.Info_.Labels_.push_back("only-" + Id);
    P.Scheduler_.setWorker(Added.Info_);
  }
  P.run(Millis(200));
  P.serve("web", 3);
  P.serve("index", 3);
  P.run(Millis(600));
}

/// Submits fillers of all images at random times, the same in each replay.
void runFillers(SharedPool &P, Seconds For) {
  static constexpr Millis Interval{100};
  std::mt19937_64 Arrivals(7);
  const auto Jobs = For / Interval;
  int Number = 0;
  for (std::int64_t I = 0; I < Jobs; ++I) {
    for (const char *Image : {"scan", "sort", "pack"})
      if (std::uniform_real_distribution<double>(0, 1)(Arrivals) < 0.15)
        P.fill(Image + std::to_string(++Number), Image,
               std::uniform_int_distribution<std::uint32_t>(1, 3)(Arrivals));
    P.run(Interval);
  }
}

} // namespace

// The load: two serving images and three filler images on eight workers; one
// filler raises the tail of one serving image to twice its goal. Guards against
// serving tasks that exceed their goal again and again while other workers have
// room, and against filler work that is lost for them.
HEATHERCROSS_STORY(InterferenceReplay,
                   "a disturbing filler runs elsewhere, and no work is lost") {
  SharedPool Without(Images::Absent);
  prepare(Without);
  runFillers(Without, Seconds(90));
  SharedPool With(Images::Named);
  prepare(With);
  runFillers(With, Seconds(90));
  section("serving tasks are above their goal for half as long at most", [&] {
    CPPUNIT_ASSERT(Without.AboveGoal_ > 5);
    CPPUNIT_ASSERT(With.AboveGoal_ < Without.AboveGoal_ / 2);
  });
  section("fillers do no less",
          [&] { CPPUNIT_ASSERT(With.FillerWork_ >= Without.FillerWork_); });
  section("the scheduler's guarantees hold", [&] {
    CPPUNIT_ASSERT_EQUAL(PoolFaults(), With.Faults_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, With.ModelPool::running("web"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, With.ModelPool::running("index"));
  });
}

// The load: the same, but the filler ceases to disturb. Guards against workers
// that are avoided for good.
HEATHERCROSS_STORY(InterferenceCeases,
                   "a filler that ceases to disturb runs everywhere again") {
  SharedPool P(Images::Named);
  prepare(P);
  runFillers(P, Seconds(20));
  CPPUNIT_ASSERT(P.Scheduler_.interference().known().contains({"web", Scan}));
  P.Effect_ = 0;
  const double Before = P.AboveGoal_;
  P.Placements_.clear();
  runFillers(P, Seconds(60));
  CPPUNIT_ASSERT(!P.Scheduler_.interference().anyKnown());
  CPPUNIT_ASSERT(P.AboveGoal_ - Before < 1);
  CPPUNIT_ASSERT(std::ranges::any_of(P.Placements_, [&](const auto &Start) {
    return Start.first.Job_.str().starts_with(Scan) &&
           P.running(Start.second, "web") > 0;
  }));
}

// The load: no filler disturbs, but the load of the serving tasks raises their
// tails above the goal: for 4.5 s in 12 at the same time everywhere, or on each
// worker at its own time. Fillers are throttled meanwhile. Guards against
// fillers that are blamed for it.
HEATHERCROSS_STORY(InterferenceServingLoad,
                   "the load of serving tasks isn't taken for interference") {
  const auto Burst = [](Instant Now, Millis Shift) {
    const Micros At = (Now.time_since_epoch() + Shift) % Micros(Seconds(12));
    return At < Millis(4500) ? 1.0 : 0.0;
  };
  section("the same load everywhere", [&] {
    SharedPool P(Images::Named);
    P.Effect_ = 0;
    P.Load_ = [&](const InstanceId &, Instant Now) {
      return Burst(Now, Millis(0));
    };
    prepare(P);
    runFillers(P, Seconds(90));
    CPPUNIT_ASSERT_EQUAL(0U, P.KnownEvents_);
  });
  section("each worker on its own", [&] {
    SharedPool P(Images::Named);
    P.Effect_ = 0;
    P.Load_ = [&](const InstanceId &Id, Instant Now) {
      return Burst(Now, Millis(1700 * (Id.str().back() - '0')));
    };
    prepare(P);
    runFillers(P, Seconds(90));
    CPPUNIT_ASSERT_EQUAL(0U, P.KnownEvents_);
  });
  section("a disturbing filler is found beside a smaller rise", [&] {
    SharedPool P(Images::Named);
    P.Load_ = [&](const InstanceId &, Instant Now) {
      return 0.3 * Burst(Now, Millis(0));
    };
    prepare(P);
    runFillers(P, Seconds(90));
    CPPUNIT_ASSERT(P.KnownEvents_ > 0);
  });
}

// The load: the same without images, and with images that don't interfere.
// Guards against placements that differ from those before, and against cost for
// jobs that name no image.
HEATHERCROSS_STORY(InterferenceNoEffect,
                   "without images or interference placements are as before") {
  SharedPool Absent(Images::Absent);
  SharedPool Named(Images::Named);
  for (SharedPool *P : {&Absent, &Named}) {
    P->Effect_ = 0;
    prepare(*P);
    runFillers(*P, Seconds(30));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                       Absent.Scheduler_.interference().images());
  CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                       Named.Scheduler_.interference().images());
  CPPUNIT_ASSERT_EQUAL(0U, Named.KnownEvents_);
  CPPUNIT_ASSERT(Absent.Placements_ == Named.Placements_);
}

// The load: room for one filler, beside a serving task; a disturbing filler has
// waited longer than another one. Guards against room that goes to a filler
// which would be throttled to 0, and against one that never starts.
HEATHERCROSS_STORY(InterferenceStall,
                   "a filler that would stall leaves the room to others") {
  SharedPool P(Images::Named);
  prepare(P);
  runFillers(P, Seconds(15));
  CPPUNIT_ASSERT(P.runUntil(Seconds(15), [&] { return P.runs() == 6; }));
  CPPUNIT_ASSERT(P.Scheduler_.interference().known().contains({"web", Scan}));
  // Occupies all memory except for one filler on a worker with "web".
  const auto Beside = std::ranges::find_if(P.Workers_, [&](const auto &Entry) {
    return P.running(Entry.first, "web") > 0;
  });
  for (const auto &[Id, W] : P.Workers_)
    P.occupy(Id, Id == Beside->first ? 8000 : 0);
  P.run(Millis(100));
  P.fill("a-scan", Scan, 1);
  P.fill("b-sort", "sort", 1);
  P.run(Millis(200));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, P.ModelPool::running("a-scan"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.ModelPool::running("b-sort"));
  section("it starts when no other task waits for the room", [&] {
    P.run(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.ModelPool::running("a-scan"));
    CPPUNIT_ASSERT(P.Scheduler_.takeInterferenceStarts().Beside_ > 0);
  });
}
