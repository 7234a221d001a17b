// End-to-end tests of workers that start again under their ids while their
// pool's duty changes its holder.
#include "proof-deployment/deployment.h"
#include "standin/common/task-workers.h"
#include "standin/common/worker-life.h"
#include "support/story.h"

#include <chrono>
#include <csignal>

using namespace heathercross;
using heathercross::standin::LeaseMode;
using heathercross::standin::TaskWorkers;
using heathercross::standin::WorkerLife;
using heathercross::test::Deployment;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

/// A task of a worker that is cut off is at work elsewhere within this time.
constexpr std::chrono::milliseconds MaxAway =
    WorkerLife::LongestLease + std::chrono::seconds(5);

/// Two entry instances, and a worker that starts again while it is idle. A
/// second worker isn't registered yet.
class RestartScene {
public:
  RestartScene() {
    registerWorker(Restarted);
    Holder_ = Deployment_.holder();
    waitFor([&] { return workerLogged(Holder_, "worker-first-report"); });
  }

  /// Starts the idle worker again after the answer to a renewal, and lets the
  /// holder find out with a call that is counted on the former clock.
  void restartUnnoticed() {
    const std::uint64_t Renewals = Workers_.calls().Renewals_;
    waitFor([&] { return Workers_.calls().Renewals_ > Renewals; });
    // The answer is on its way, and the next renewal isn't due yet.
    runFor(100);
    Workers_.restart(Restarted);
    CPPUNIT_ASSERT_EQUAL(200, submit().Status_);
    waitFor([&] { return workerLogged(Holder_, "worker-restarted"); });
    CPPUNIT_ASSERT(Workers_.cutLease(Restarted));
    registerWorker(Restarted);
    waitFor([&] { return Workers_.runs(Restarted) == 1; });
  }

  /// Sends the holder a signal that ends it; returns once the other entry has
  /// adopted the run.
  void takeOver(int Signal) {
    Deployment_.sendSignal(Holder_, Signal);
    waitFor([&] { return workerLogged(1 - Holder_, "run-adopted"); });
  }

  /// Cuts the worker off; returns how long it takes until the task is at work
  /// on the other one.
  std::chrono::milliseconds cutOff() {
    Workers_.cutOff(Restarted);
    const auto CutAt = std::chrono::steady_clock::now();
    registerWorker(Other);
    waitFor([&] { return Workers_.runs(Other) == 1; });
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - CutAt);
  }

  static constexpr std::size_t Restarted = 0;
  static constexpr std::size_t Other = 1;

  TaskWorkers Workers_{2, LeaseMode::Enforced};
  Deployment Deployment_{2};

private:
  void registerWorker(std::size_t Index) {
    const auto R = Workers_.registrations()[Index];
    Deployment_.writeWorker(R.Id_, R.Row_);
  }

  bool workerLogged(std::size_t Entry, const char *Event) {
    const std::string Id = Workers_.registrations()[Restarted].Id_;
    return Deployment_.logged(Entry, Event, Id);
  }

  Deployment::Answer submit() {
    return Deployment_.call(Holder_, "POST", "00000000000000e1",
                            R"({"spec":"60000","phases":[{"count":1,)"
                            R"("cpu":1000,"mem_mb":10,"est_ms":60000}]})");
  }

  std::size_t Holder_ = 0;
};

/// Ends the holder with a signal soon after its worker has started again, and
/// cuts the worker off once its task has been adopted.
void playTakeover(int Signal) {
  RestartScene S;
  section("a call counted on the former clock gets the longest lease",
          [&] { S.restartUnnoticed(); });
  section("the holder's successor adopts the run", [&] { S.takeOver(Signal); });
  section("the worker is cut off, and the task starts on another one", [&] {
    const auto Away = S.cutOff();
    section("after its run there has ended",
            [&] { CPPUNIT_ASSERT_EQUAL(1, S.Workers_.mostRunsOfTask()); });
    section("soon after that", [&] { CPPUNIT_ASSERT(Away < MaxAway); });
  });
}

} // namespace

// Guards against a task that runs twice: the worker had granted its longest
// lease, and a new holder gave the run up with the lease that holders ask for.
HEATHERCROSS_STORY(
    RestartTakeover,
    "a task of a worker that started again isn't started elsewhere too early") {
  startQt();
  section("after a planned stop of the holder", [] { playTakeover(SIGTERM); });
  section("after the holder was killed", [] { playTakeover(SIGKILL); });
}
