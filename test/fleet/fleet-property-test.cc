// Property test of the fleet duty under random faults and with several holders
// that act at the same time.
#include "fleet/model-fleet.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <utility>

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;

namespace {

/// A fault or change that a scenario injects between two steps.
enum class EventKind : std::uint8_t {
  Nothing,
  WorkerFails,
  WorkerRecovers,
  RackFails,
  RackRecovers,
  RequestsArrive,
  RequestsEnd,
  TaskStarts,
  WorkFails,
  WorkerLeaves,
  PlatformFails,
  PlatformRecovers,
  WavePauses,
  WaveAborts,
  WaveRuns,
  DemandChanges,
  HolderReplaced,
  HolderPauses,
  HolderResumes,
  ActionsLost,
  ActionsDelayed,
  ActionsArrive,
};
constexpr int EventKindCount = 22;

struct Event {
  EventKind Kind_;
  unsigned Argument_;
};

void showValue(const Event &E, std::ostream &Out) {
  Out << int(E.Kind_) << ":" << E.Argument_;
}

rc::Gen<Event> anyEvent() {
  return rc::gen::map(rc::gen::pair(rc::gen::inRange(0, EventKindCount),
                                    rc::gen::inRange(0U, 60U)),
                      [](const std::pair<int, unsigned> &P) {
                        return Event{static_cast<EventKind>(P.first), P.second};
                      });
}

/// A fleet of three pools whose duties pass from holder to holder. Replaced
/// holders continue to act, as an entry does that hasn't noticed its lost
/// lease.
class FaultScenario {
public:
  FaultScenario() {
    Fleet_.addPool("bookings", 6, 4);
    Fleet_.addPool("portal", 6, 2, true);
    Fleet_.addPool("quotes", 10, 7);
    Fleet_.addWorkers(24);
    Fleet_.WorkersRejectUnsafeReboots_ = true;
    replaceHolder();
    newestHolder().step();
    Fleet_.setWave("w1", "quotes");
    Fleet_.setWave("w2", "bookings");
  }

  void apply(const Event &E) {
    inject(E);
    for (std::size_t I = 0; I < Holders_.size(); ++I) {
      if (I == PausedHolder_ || (I + 1 == Holders_.size() && StepsToSkip_ > 0))
        continue;
      Holders_[I]->step();
    }
    StepsToSkip_ -= StepsToSkip_ > 0 ? 1 : 0;
    Fleet_.advanceTime(Seconds(1));
  }

  /// Ends all faults and returns whether a new holder then reaches the agreed
  /// state.
  bool converges() {
    Fleet_.PlatformUp_ = true;
    Fleet_.Evidence_.clear();
    Fleet_.Demand_.clear();
    for (auto &[Name, W] : Fleet_.Workers_) {
      W.Unlisted_ = W.Leaving_;
      W.Up_ = !W.Leaving_ && (W.Up_ || !W.RebootEnds_);
      W.Busy_ = 0;
      W.Tasks_.clear();
    }
    Fleet_.setWave("w1", "quotes");
    Fleet_.setWave("w2", "bookings");
    replaceHolder();
    return runUntil(Fleet_, newestHolder(), Seconds(1'500),
                    [&] {
                      return isConverged("quotes", 10, "w1") &&
                             isConverged("bookings", 6, "w2");
                    })
        .has_value();
  }

  const ModelViolations &violations() const { return Fleet_.Violations_; }

private:
  ModelHolder<> &newestHolder() { return *Holders_.back(); }

  void replaceHolder() {
    Holders_.push_back(std::make_unique<ModelHolder<>>(
        Fleet_, std::vector<std::string>{"bookings", "portal", "quotes"}));
  }

  /// Whether the wave is finished and all members are active. A pool may have
  /// more members than its size as long as no other pool lacks any.
  bool isConverged(const std::string &Pool, std::size_t Size,
                   const std::string &Wave) {
    const auto Rows = Fleet_.members(Pool);
    const auto Finished =
        decodePermit(Fleet_.Table_.rows().at("permit/" + Pool)).Finished_;
    return Rows.size() >= Size && !Finished.empty() &&
           Finished.front() == WaveId(Wave) &&
           std::ranges::all_of(Rows, [](const InstanceRow &Row) {
             return Row.State_ == InstanceState::Active;
           });
  }

  ModelWorker &worker(unsigned Index) {
    const auto N = Index % Fleet_.Workers_.size();
    return std::next(Fleet_.Workers_.begin(), std::ptrdiff_t(N))->second;
  }

  void setRack(unsigned Index, bool Up) {
    const auto Rack = worker(Index).Listed_.Rack_;
    for (auto &[Name, W] : Fleet_.Workers_)
      if (W.Listed_.Rack_ == Rack && !W.RebootEnds_ && !W.Leaving_)
        W.Up_ = Up;
  }

  void failWork(unsigned Index) {
    auto &E = Fleet_.Evidence_[worker(Index).Listed_.Name_];
    E.Failed_ += 8;
    E.DistinctFailed_ += 8;
  }

  void addWork(ModelWorker &W, bool IsTask) {
    if (!W.Up_ || W.Draining_ || W.Leaving_)
      return;
    if (IsTask)
      W.Tasks_ = {{JobId("j"), Epoch(1)}};
    else
      W.Busy_ = 3;
  }

  void startLeaving(ModelWorker &W) {
    if (LeavingCount_++ < 2)
      W.Leaving_ = true;
  }

  void inject(const Event &E) {
    auto &W = worker(E.Argument_);
    const auto Wave = E.Argument_ % 2 ? "w1" : "w2";
    const auto Pool = E.Argument_ % 2 ? "quotes" : "bookings";
    switch (E.Kind_) {
    case EventKind::Nothing:
      return;
    case EventKind::WorkerFails:
      W.Up_ = false;
      return;
    case EventKind::WorkerRecovers:
      W.Up_ = W.Up_ || !W.RebootEnds_;
      return;
    case EventKind::RackFails:
      return setRack(E.Argument_, false);
    case EventKind::RackRecovers:
      return setRack(E.Argument_, true);
    case EventKind::RequestsArrive:
      return addWork(W, false);
    case EventKind::RequestsEnd:
      W.Busy_ = 0;
      return;
    case EventKind::TaskStarts:
      return addWork(W, true);
    case EventKind::WorkFails:
      return failWork(E.Argument_);
    case EventKind::WorkerLeaves:
      return startLeaving(W);
    case EventKind::PlatformFails:
      Fleet_.PlatformUp_ = false;
      return;
    case EventKind::PlatformRecovers:
      Fleet_.PlatformUp_ = true;
      return;
    case EventKind::WavePauses:
      return Fleet_.setWave(Wave, Pool, WaveMode::Paused);
    case EventKind::WaveAborts:
      return Fleet_.setWave(Wave, Pool, WaveMode::Aborted);
    case EventKind::WaveRuns:
      return Fleet_.setWave(Wave, Pool);
    case EventKind::DemandChanges:
      Fleet_.Demand_[PoolId(Pool)] = {E.Argument_ * 4, 0};
      return;
    case EventKind::HolderReplaced:
      return replaceHolder();
    case EventKind::HolderPauses:
      PausedHolder_ = E.Argument_ % Holders_.size();
      Holders_[PausedHolder_]->decide();
      return;
    case EventKind::HolderResumes:
      if (PausedHolder_ < Holders_.size())
        Holders_[PausedHolder_]->execute();
      PausedHolder_ = NoHolder;
      return;
    case EventKind::ActionsLost:
      newestHolder().decide();
      newestHolder().dropEverySecondAction();
      newestHolder().execute();
      return;
    case EventKind::ActionsDelayed:
      newestHolder().decide();
      StepsToSkip_ = 3;
      return newestHolder().delayActions();
    case EventKind::ActionsArrive:
      return newestHolder().executeDelayed();
    }
  }

  static constexpr std::size_t NoHolder = ~std::size_t{0};

  ModelFleet Fleet_;
  std::vector<std::unique_ptr<ModelHolder<>>> Holders_;
  std::size_t PausedHolder_ = NoHolder;
  /// How many steps the newest holder skips because it waits for a response.
  unsigned StepsToSkip_ = 0;
  unsigned LeavingCount_ = 0;
};

} // namespace

HEATHERCROSS_STORY(FaultProperty, "no storm makes a duty exceed a budget, "
                                  "interrupt work or starve a pool") {
  HEATHERCROSS_PROPERTY(
      "guarantees hold under injected faults, and the system converges", [] {
        const auto Events =
            *rc::gen::container<std::vector<Event>>(60, anyEvent());
        FaultScenario Scenario;
        for (const auto &E : Events)
          Scenario.apply(E);
        const auto Violations = Scenario.violations();
        RC_ASSERT(Violations.InterruptedWork_ == 0U);
        RC_ASSERT(Violations.UnsafeReboots_ == 0U);
        RC_ASSERT(Violations.RepeatedReboots_ == 0U);
        RC_ASSERT(Violations.UnsafeTransfers_ == 0U);
        RC_ASSERT(Violations.BudgetViolations_ == 0U);
        RC_ASSERT(Violations.StaleWrites_ == 0U);
        RC_ASSERT(Scenario.converges());
        RC_ASSERT(Scenario.violations() == Violations);
      });
}
