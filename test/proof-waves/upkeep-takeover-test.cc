// End-to-end tests of maintenance waves whose holder changes.
#include "proof-deployment/deployment.h"
#include "standin/common/machine-service.h"
#include "standin/common/task-workers.h"
#include "support/story.h"

#include <optional>

using namespace heathercross;
using heathercross::standin::MachineService;
using heathercross::standin::TaskWorkers;
using heathercross::test::Deployment;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

using std::chrono::milliseconds;

constexpr int MachineCount = 3;

/// Two entry instances, and a wave that takes one machine at a time.
class WaveScene {
public:
  WaveScene()
      : Workers_(MachineCount), Machines_(MachineCount),
        Deployment_(2, {.MachinesPort_ = Machines_.port()}) {
    for (const auto &R : Workers_.registrations())
      Deployment_.writeWorker(R.Id_, R.Row_);
  }

  /// Requests the wave, and sends a signal to the entry that orders the first
  /// upkeep when the order arrives. Returns the index of that entry.
  std::size_t loseHolder(MachineService::Delays FirstUpkeep, int Signal) {
    std::optional<std::size_t> Holder;
    Machines_.delayNextUpkeep(FirstUpkeep, [&](const std::string &Name) {
      Holder = Deployment::indexOf(Name);
      Deployment_.sendSignal(*Holder, Signal);
    });
    Deployment_.requestWave(1, MachineService::names(MachineCount), 1);
    waitFor([&] { return Holder.has_value(); });
    return *Holder;
  }

  void waitForUpkeeps(std::size_t Count) {
    waitFor([&] { return Machines_.upkeeps() >= Count; });
  }

  TaskWorkers Workers_;
  MachineService Machines_;
  Deployment Deployment_;
};

} // namespace

// Guards against a successor that doesn't count an upkeep which its
// predecessor had ordered: it sent another machine away beyond the limit.
HEATHERCROSS_STORY(WaveTakeover,
                   "a wave keeps its limit when its holder changes") {
  startQt();
  section("an upkeep is carried out after its holder was lost", [] {
    WaveScene S;
    S.loseHolder({milliseconds(5500), std::nullopt}, SIGKILL);
    // Without its worker the first machine is the last to be ordered again.
    const auto First = S.Workers_.registrations().front();
    S.Deployment_.removeWorker(First.Id_);
    S.waitForUpkeeps(MachineCount - 1);
    S.Deployment_.writeWorker(First.Id_, First.Row_);
    S.waitForUpkeeps(MachineCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.Machines_.mostAway());
  });
  section("the holder is lost with the answer, and starts again", [] {
    WaveScene S;
    const std::size_t Holder =
        S.loseHolder({milliseconds(0), std::nullopt}, SIGKILL);
    S.Deployment_.startAgain(Holder);
    S.waitForUpkeeps(MachineCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.Machines_.mostAway());
  });
  section("the holder is stopped while its order is under way", [] {
    WaveScene S;
    S.loseHolder({milliseconds(0), milliseconds(300)}, SIGTERM);
    S.waitForUpkeeps(MachineCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.Machines_.mostAway());
  });
}
