// The settings file changes without a signal: the placement service has moved.
#include "policy.h"
#include "world.h"

#include <csignal>

namespace heathercross::review {

namespace {

constexpr int Workers = 4;
constexpr int FinishMs = 14'000;
constexpr int IdleMs = 3000;
constexpr const char *Before = "/audit/00000000000a0001";
constexpr const char *After = "/audit/00000000000a0002";

} // namespace

Verdict movedHint(const QString &RecordFile) {
  World W(RecordFile, {});
  auto First = std::make_unique<Policy>(W, Workers);
  Policy Second(W, Workers);
  W.setAdvice(First->address());
  for (int I = 0; I < Workers; ++I) {
    const QString Id = W.addWorker(QString("i-%1").arg(I), "reconcile").id();
    First->add(Id);
    Second.add(Id);
  }
  W.configure(3, {{"r-audit", "/audit/", "reconcile", 2, true}});
  for (std::size_t I = 0; I < 2; ++I)
    if (!W.startEntry(I))
      return Verdict::NotRun;
  World::runFor(4000);
  if (W.submit(1, Before, 1, "300").Status_ != 200)
    return Verdict::NotRun;
  World::runFor(2000);
  if (!W.shows(1, Before, "complete"))
    return Verdict::NotRun;
  if (World::trouble()) {
    W.record("the placement service moves, the settings files change");
    W.setAdvice(Second.address());
    for (std::size_t I = 0; I < 2; ++I)
      W.writeSettings(I);
    First.reset();
  }
  World::runFor(4000);
  if (W.submit(1, After, 1, "300").Status_ != 200)
    return Verdict::NotRun;
  World::runFor(FinishMs + IdleMs);
  if (W.shows(1, After, "complete"))
    return Verdict::Held;
  W.record("LOST: an accepted job doesn't start though all workers are idle");
  for (std::size_t I = 0; I < 2; ++I)
    W.signal(I, SIGHUP);
  World::runFor(3000);
  W.record(W.shows(1, After, "complete") ? "it completes after a SIGHUP"
                                         : "nor after a SIGHUP");
  return Verdict::Broken;
}

} // namespace heathercross::review
