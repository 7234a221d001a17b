// Tests of a pool's scheduler against workers that start again under their ids,
// in virtual time.
#include "support/story.h"
#include "worker-restarts/restarting-pool.h"

#include <rapidcheck.h>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;

namespace {

/// What is done to a pool or to one of its workers.
enum class Fault : std::uint8_t {
  Nothing,
  Restart,
  CutOff,
  CutOffAfterStart,
  DelayRenewals,
  DelayAnswers,
  LoseAnswers,
  EndDelays,
  Submit,
  PlannedStop,
  Death,
};

/// A fault, and how long the pool runs before the next one.
struct Event {
  Fault Kind_ = Fault::Nothing;
  int Worker_ = 0;
  /// Whether a worker that is cut off loses its registration.
  bool Unregistered_ = false;
  /// What a new clock shows; with BehindFormer_, how much less than the former
  /// one.
  Millis Clock_{1};
  bool BehindFormer_ = false;
  /// How long the fault lasts or delays something, at most.
  Millis Duration_{0};
  Millis Pause_{0};

  friend std::ostream &operator<<(std::ostream &Out, const Event &E) {
    return Out << "{fault " << static_cast<int>(E.Kind_) << ", worker "
               << E.Worker_ << (E.Unregistered_ ? ", unregistered" : "")
               << ", clock " << E.Clock_.count()
               << (E.BehindFormer_ ? " behind" : "") << ", duration "
               << E.Duration_.count() << ", pause " << E.Pause_.count() << "}";
  }
};

/// A number of milliseconds from Least to less than Most.
rc::Gen<Millis> duration(int Least, int Most) {
  return rc::gen::map(rc::gen::inRange(Least, Most),
                      [](int N) { return Millis(N); });
}

/// Any fault at any worker.
rc::Gen<Event> events() {
  const auto Kind =
      rc::gen::weightedElement<Fault>({{1, Fault::Nothing},
                                       {4, Fault::Restart},
                                       {2, Fault::CutOff},
                                       {4, Fault::CutOffAfterStart},
                                       {1, Fault::DelayRenewals},
                                       {1, Fault::DelayAnswers},
                                       {1, Fault::LoseAnswers},
                                       {1, Fault::EndDelays},
                                       {8, Fault::Submit},
                                       {2, Fault::PlannedStop},
                                       {1, Fault::Death}});
  const auto Clock =
      rc::gen::weightedOneOf<Millis>({{2, duration(1, 100)},
                                      {2, duration(1, 1500)},
                                      {1, duration(1, 100'000)}});
  const auto Pause = rc::gen::weightedOneOf<Millis>({{4, duration(20, 400)},
                                                     {2, duration(20, 2000)},
                                                     {1, duration(20, 8000)}});
  // Short series are as hard as long ones, so the size of a try is fixed.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Event>(
          rc::gen::set(&Event::Kind_, Kind),
          // Faults of one worker follow each other more often than by chance.
          rc::gen::set(&Event::Worker_, rc::gen::element(0, 0, 0, 1, 2)),
          rc::gen::set(&Event::Unregistered_),
          rc::gen::set(&Event::Clock_, Clock),
          rc::gen::set(&Event::BehindFormer_),
          rc::gen::set(&Event::Duration_, duration(20, 20'000)),
          rc::gen::set(&Event::Pause_, Pause)));
}

/// Faults of these kinds, all at one worker.
rc::Gen<std::vector<Event>> eventsAtOneWorker(std::vector<Fault> Kinds) {
  const std::size_t Count = Kinds.size();
  return rc::gen::map(rc::gen::container<std::vector<Event>>(Count, events()),
                      [Kinds = std::move(Kinds)](std::vector<Event> Series) {
                        for (std::size_t I = 0; I < Kinds.size(); ++I) {
                          Series[I].Kind_ = Kinds[I];
                          Series[I].Worker_ = Series[0].Worker_;
                        }
                        return Series;
                      });
}

/// One worker starts again twice within 1.5 s, the second time with a clock
/// that is little behind, and is cut off while it has work.
rc::Gen<std::vector<Event>> unseenLives() {
  return rc::gen::map(
      eventsAtOneWorker({Fault::Restart, Fault::Restart,
                         Fault::CutOffAfterStart, Fault::Submit}),
      [](std::vector<Event> Series) {
        Series[0].Pause_ = Series[0].Duration_ / 14;
        Series[1].BehindFormer_ = true;
        Series[1].Clock_ = Series[1].Duration_ / 14;
        Series[1].Pause_ = Series[1].Duration_ / 100;
        Series[2].Pause_ = Millis(0);
        Series[2].Duration_ = Seconds(8) + Series[2].Duration_ / 2;
        Series[3].Duration_ = Seconds(8) + Series[3].Duration_ / 2;
        return Series;
      });
}

/// A worker that has started again gets work from a holder that stops, and is
/// cut off from its successor.
rc::Gen<std::vector<Event>> takeoverOfYoungWorker() {
  return eventsAtOneWorker(
      {Fault::Restart, Fault::Submit, Fault::PlannedStop, Fault::CutOff});
}

/// One fault, or several that belong together.
rc::Gen<std::vector<Event>> series() {
  return rc::gen::weightedOneOf<std::vector<Event>>(
      {{10, rc::gen::container<std::vector<Event>>(1, events())},
       {2, unseenLives()},
       {1, takeoverOfYoungWorker()}});
}

constexpr int WorkerCount = 3;
constexpr std::size_t SeriesCount = 120;

std::string workerName(int Index) { return "w" + std::to_string(Index); }

/// The clock of a life of a worker; those of one worker are slow.
LifeClock clockOf(int Worker, Millis Start) {
  return {std::max(Start, Millis(1)), Instant(), Worker == 0 ? 2 : 0};
}

/// A job that is best run on one of the workers.
JobSpec jobAt(int Worker, Millis Duration) {
  StepSpec S = step(2, 1500, Millis(500) + Duration);
  S.DataRack_ = RackId(workerName(Worker));
  return job({S});
}

/// Brings a fault about; Jobs counts those that were submitted.
void apply(RestartingPool &P, const Event &E, int &Jobs) {
  ModelWorker &W = P.Workers_.at(InstanceId(workerName(E.Worker_)));
  const Millis Former = P.conditions(W).Clock_.at(P.Now_);
  const Millis Short = E.Duration_ / 32;
  CutOff Cut{E.Duration_, std::nullopt, Short};
  if (E.Unregistered_)
    Cut.LapseAfter_ = Millis(1500) + Short;
  switch (E.Kind_) {
  case Fault::Nothing:
    return;
  case Fault::Restart:
    return P.restart(
        W, clockOf(E.Worker_, E.BehindFormer_ ? Former - E.Clock_ : E.Clock_));
  case Fault::CutOff:
    return P.cutOff(W, Cut);
  case Fault::CutOffAfterStart:
    return P.cutOffAfterStart(W, Short / 4, Cut);
  case Fault::DelayRenewals:
    W.RenewalDelay_ = E.Duration_ / 4;
    return;
  case Fault::DelayAnswers:
    P.conditions(W).AnswerDelay_ = Short;
    return;
  case Fault::LoseAnswers:
    W.LosesAnswers_ = true;
    return;
  case Fault::EndDelays:
    W.RenewalDelay_ = Millis(0);
    W.LosesAnswers_ = false;
    P.conditions(W).AnswerDelay_ = Millis(0);
    return;
  case Fault::Submit:
    return P.submit("j" + std::to_string(Jobs++),
                    jobAt(E.Worker_, E.Duration_));
  case Fault::PlannedStop:
    return P.loseHolder(Short / 2, Micros(0));
  case Fault::Death:
    return P.loseHolder(Seconds(2) + Short, MaxRenewalAge);
  }
}

} // namespace

// Guards against two runs of one task: a worker grants longer leases than its
// holder asked for, as these were counted on the clock of a former life.
HEATHERCROSS_STORY(
    RestartsUnderOneId,
    "no series of restarts under one id makes a pool run a task twice") {
  HEATHERCROSS_PROPERTY("whoever notices the restarts", [] {
    const auto Script = *rc::gen::container<std::vector<std::vector<Event>>>(
        SeriesCount, series());
    RestartingPool P;
    constexpr Millis MaxSkew{9000};
    for (int I = 0; I < WorkerCount; ++I)
      P.add(workerName(I), clockOf(I, Seconds(1000)), (I - 1) * MaxSkew);
    P.run(Seconds(1));
    int Jobs = 0;
    for (const std::vector<Event> &Series : Script)
      for (const Event &E : Series) {
        apply(P, E, Jobs);
        P.run(E.Pause_);
      }
    P.endFaults();
    const auto Finished = [&] {
      for (int I = 0; I < Jobs; ++I)
        if (P.state("j" + std::to_string(I)) != JobState::Complete)
          return false;
      return true;
    };
    const bool AllFinished = P.runUntil(Seconds(180), Finished);
    RC_ASSERT(P.Faults_.RunTwice_ == 0U);
    RC_ASSERT(AllFinished);
  });
}
