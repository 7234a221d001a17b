// Advice on thirty workers that takes longer than an entry waits for it.
#include "policy.h"
#include "world.h"

namespace heathercross::review {

namespace {

constexpr int Workers = 30;
constexpr int FinishMs = 14'000;
constexpr int IdleMs = 3000;
constexpr int SlowEachMs = 150;
constexpr const char *Job = "/audit/00000000000a0003";

} // namespace

Verdict slowAdvice(const QString &RecordFile) {
  World W(RecordFile, {});
  Policy P(W, Workers, World::trouble() ? SlowEachMs : 1);
  W.setAdvice(P.address());
  for (int I = 0; I < Workers; ++I)
    P.add(W.addWorker(QString("i-%1").arg(I), "reconcile").id());
  W.configure(3, {{"r-audit", "/audit/", "reconcile", 2, true}});
  for (std::size_t I = 0; I < 2; ++I)
    if (!W.startEntry(I))
      return Verdict::NotRun;
  World::runFor(4000);
  if (W.submit(1, Job, 1, "300").Status_ != 200)
    return Verdict::NotRun;
  World::runFor(FinishMs + IdleMs);
  if (W.shows(1, Job, "complete"))
    return Verdict::Held;
  W.record("LOST: an accepted job doesn't start though all workers are idle");
  return Verdict::Broken;
}

} // namespace heathercross::review
