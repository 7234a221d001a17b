// A configuration sends a queue to another service.
#include "world.h"

namespace heathercross::review {

namespace {

constexpr int ConfigMs = 2000;
/// Time beyond the bound of a configuration.
constexpr int AfterMs = 1000;
constexpr int CancelMs = 3000;
constexpr int StopMs = 400;
constexpr const char *Asked = "/delivery/00000000000d0001";
constexpr const char *Repeated = "/delivery/00000000000d0002";
constexpr const char *Cancelled = "/delivery/00000000000d0003";

} // namespace

Verdict movedRoute(const QString &RecordFile) {
  World W(RecordFile, {});
  for (int I = 0; I < 3; ++I) {
    W.addWorker(QString("i-d%1").arg(I), "dispatch");
    W.addWorker(QString("i-c%1").arg(I), "common");
  }
  W.configure(3, {{"r-delivery", "/delivery/", "dispatch"},
                  {"r-portal", "/portal/", "common"}});
  for (std::size_t I = 0; I < 2; ++I)
    if (!W.startEntry(I))
      return Verdict::NotRun;
  World::runFor(4000);
  for (const char *Path : {Asked, Repeated, Cancelled})
    if (W.submit(0, Path, 1, "20000").Status_ != 200)
      return Verdict::NotRun;
  World::runFor(1000);
  const RouteSpec Portal{"r-portal", "/portal/", "common"};
  const RouteSpec Kept{"r-delivery", "/delivery/", "dispatch"};
  const RouteSpec Added{"r-booking", "/delivery/", "common"};
  // One version removes the route, the next one adds a route to another
  // service.
  if (World::trouble())
    W.configure(5, {Portal});
  else
    W.configure(5, {Portal, Kept});
  World::runFor(ConfigMs + AfterMs);
  W.configure(8, {Portal, World::trouble() ? Added : Kept});
  World::runFor(ConfigMs + AfterMs);
  const Answer State = W.call(1, "GET", Asked);
  const Answer Again = W.submit(1, Repeated, 1, "20000");
  const Answer Cancel = W.call(1, "DELETE", Cancelled);
  World::runFor(CancelMs + StopMs + 500);
  bool Runs = false;
  for (const auto &Each : W.workers())
    for (const QString &Task : Each->running())
      Runs = Runs || Task.startsWith(QString(Cancelled).section('/', -1));
  const bool Lost = State.Status_ == 410;
  const bool Unasked =
      (Cancel.Status_ / 100 == 2 || Cancel.Status_ == 410) && Runs;
  if (Lost)
    W.record("LOST: an accepted job is answered 410");
  if (Unasked)
    W.record("UNASKED: a cancelled job's task runs on");
  for (const QString &Task : W.runs().doubled())
    W.record("TWICE: two runs at the same time: " + Task);
  W.record(QString("repeated submission: %1").arg(Again.Status_));
  return Lost || Unasked || !W.runs().doubled().empty() ? Verdict::Broken
                                                        : Verdict::Held;
}

} // namespace heathercross::review
