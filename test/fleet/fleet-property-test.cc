// Properties of the fleet duty under random failures and racing holders.
#include "fleet/model-fleet.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <utility>

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;

namespace {

/// What can happen between two steps.
enum class Happening : std::uint8_t {
  Nothing,
  WorkerDies,
  WorkerReturns,
  RackDies,
  RackReturns,
  RequestsArrive,
  RequestsEnd,
  TaskStarts,
  WorkFails,
  WorkerLeaves,
  PlatformGoes,
  PlatformReturns,
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
constexpr int HappeningCount = 22;

struct Happens {
  Happening Kind_;
  unsigned Which_;
};

void showValue(const Happens &H, std::ostream &Out) {
  Out << int(H.Kind_) << ":" << H.Which_;
}

rc::Gen<Happens> anyHappening() {
  return rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, HappeningCount),
                    rc::gen::inRange(0U, 60U)),
      [](const std::pair<int, unsigned> &P) {
        return Happens{static_cast<Happening>(P.first), P.second};
      });
}

/// A fleet of three pools whose duties are held by one of several holders; the
/// replaced ones go on as if nothing had happened.
class Storm {
public:
  Storm() {
    Fleet_.addPool("bookings", 6, 4);
    Fleet_.addPool("portal", 6, 2, true);
    Fleet_.addPool("quotes", 10, 7);
    Fleet_.addWorkers(24);
    Fleet_.WorkersRefuse_ = true;
    replaceHolder();
    newest().step();
    Fleet_.setWave("w1", "quotes");
    Fleet_.setWave("w2", "bookings");
  }

  void apply(const Happens &H) {
    happen(H);
    for (std::size_t I = 0; I < Holders_.size(); ++I) {
      if (I == Paused_ || (I + 1 == Holders_.size() && Waits_ > 0))
        continue;
      Holders_[I]->step();
    }
    Waits_ -= Waits_ > 0 ? 1 : 0;
    Fleet_.pass(Seconds(1));
  }

  /// Ends all failures; a last holder must then reach what was agreed.
  bool settles() {
    Fleet_.PlatformUp_ = true;
    Fleet_.Evidence_.clear();
    Fleet_.Demand_.clear();
    for (auto &[Name, W] : Fleet_.Workers_) {
      W.Gone_ = W.Leaving_;
      W.Up_ = !W.Leaving_ && (W.Up_ || !W.BackAt_);
      W.Busy_ = 0;
      W.Tasks_.clear();
    }
    Fleet_.setWave("w1", "quotes");
    Fleet_.setWave("w2", "bookings");
    replaceHolder();
    return runUntil(Fleet_, newest(), Seconds(1'500),
                    [&] {
                      return settled("quotes", 10, "w1") &&
                             settled("bookings", 6, "w2");
                    })
        .has_value();
  }

  const ModelFaults &faults() const { return Fleet_.Faults_; }

private:
  ModelHolder<> &newest() { return *Holders_.back(); }

  void replaceHolder() {
    Holders_.push_back(std::make_unique<ModelHolder<>>(
        Fleet_, std::vector<std::string>{"bookings", "portal", "quotes"}));
  }

  /// Each member is at work. A pool may keep more than its size as long as no
  /// other pool lacks any.
  bool settled(const std::string &Pool, std::size_t Size,
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

  ModelWorker &worker(unsigned Which) {
    const auto N = Which % Fleet_.Workers_.size();
    return std::next(Fleet_.Workers_.begin(), std::ptrdiff_t(N))->second;
  }

  void setRack(unsigned Which, bool Up) {
    const auto Rack = worker(Which).Listed_.Rack_;
    for (auto &[Name, W] : Fleet_.Workers_)
      if (W.Listed_.Rack_ == Rack && !W.BackAt_ && !W.Leaving_)
        W.Up_ = Up;
  }

  void failWork(unsigned Which) {
    auto &E = Fleet_.Evidence_[worker(Which).Listed_.Name_];
    E.Failed_ += 8;
    E.DistinctFailed_ += 8;
  }

  void arrive(ModelWorker &W, bool Task) {
    if (!W.Up_ || W.Draining_ || W.Leaving_)
      return;
    if (Task)
      W.Tasks_ = {{JobId("j"), Epoch(1)}};
    else
      W.Busy_ = 3;
  }

  void leave(ModelWorker &W) {
    if (Left_++ < 2)
      W.Leaving_ = true;
  }

  void happen(const Happens &H) {
    auto &W = worker(H.Which_);
    const auto Wave = H.Which_ % 2 ? "w1" : "w2";
    const auto Pool = H.Which_ % 2 ? "quotes" : "bookings";
    switch (H.Kind_) {
    case Happening::Nothing:
      return;
    case Happening::WorkerDies:
      W.Up_ = false;
      return;
    case Happening::WorkerReturns:
      W.Up_ = W.Up_ || !W.BackAt_;
      return;
    case Happening::RackDies:
      return setRack(H.Which_, false);
    case Happening::RackReturns:
      return setRack(H.Which_, true);
    case Happening::RequestsArrive:
      return arrive(W, false);
    case Happening::RequestsEnd:
      W.Busy_ = 0;
      return;
    case Happening::TaskStarts:
      return arrive(W, true);
    case Happening::WorkFails:
      return failWork(H.Which_);
    case Happening::WorkerLeaves:
      return leave(W);
    case Happening::PlatformGoes:
      Fleet_.PlatformUp_ = false;
      return;
    case Happening::PlatformReturns:
      Fleet_.PlatformUp_ = true;
      return;
    case Happening::WavePauses:
      return Fleet_.setWave(Wave, Pool, WaveMode::Paused);
    case Happening::WaveAborts:
      return Fleet_.setWave(Wave, Pool, WaveMode::Aborted);
    case Happening::WaveRuns:
      return Fleet_.setWave(Wave, Pool);
    case Happening::DemandChanges:
      Fleet_.Demand_[PoolId(Pool)] = {H.Which_ * 4, 0};
      return;
    case Happening::HolderReplaced:
      return replaceHolder();
    case Happening::HolderPauses:
      Paused_ = H.Which_ % Holders_.size();
      Holders_[Paused_]->think();
      return;
    case Happening::HolderResumes:
      if (Paused_ < Holders_.size())
        Holders_[Paused_]->act();
      Paused_ = NoHolder;
      return;
    case Happening::ActionsLost:
      newest().think();
      newest().loseHalf();
      newest().act();
      return;
    case Happening::ActionsDelayed:
      newest().think();
      Waits_ = 3;
      return newest().delay();
    case Happening::ActionsArrive:
      return newest().arrive();
    }
  }

  static constexpr std::size_t NoHolder = ~std::size_t{0};

  ModelFleet Fleet_;
  std::vector<std::unique_ptr<ModelHolder<>>> Holders_;
  std::size_t Paused_ = NoHolder;
  /// How many steps the newest holder still waits for an answer.
  unsigned Waits_ = 0;
  unsigned Left_ = 0;
};

} // namespace

HEATHERCROSS_STORY(StormProperty,
                   "no storm makes a duty break budget, work or pool") {
  HEATHERCROSS_PROPERTY("promises hold in each storm, and it settles", [] {
    const auto Script =
        *rc::gen::container<std::vector<Happens>>(60, anyHappening());
    Storm S;
    for (const auto &H : Script)
      S.apply(H);
    const auto Faults = S.faults();
    RC_ASSERT(Faults.WorkCut_ == 0U);
    RC_ASSERT(Faults.RashReboots_ == 0U);
    RC_ASSERT(Faults.RebootedTwice_ == 0U);
    RC_ASSERT(Faults.RashMoves_ == 0U);
    RC_ASSERT(Faults.BudgetBroken_ == 0U);
    RC_ASSERT(Faults.StaleWrites_ == 0U);
    RC_ASSERT(S.settles());
    RC_ASSERT(S.faults() == Faults);
  });
}
