// A job whose spec begins with the character U+FEFF.
#include "world.h"

#include <QJsonDocument>

namespace heathercross::review {

namespace {

constexpr int LookMs = 10'000;
constexpr const char *Job = "/settle/00000000000d0001";

} // namespace

Verdict oddSpec(const QString &RecordFile) {
  World W(RecordFile, {});
  for (int I = 0; I < 2; ++I)
    W.addWorker(QString("i-%1").arg(I), "settlement");
  W.configure(3, {{"r-settle", "/settle/", "settlement"}});
  for (std::size_t I = 0; I < 2; ++I)
    if (!W.startEntry(I))
      return Verdict::NotRun;
  World::runFor(4000);
  const QString Spec =
      World::trouble() ? QString(QChar(QChar::ByteOrderMark)) + " 500" : "500";
  if (W.submit(0, Job, 1, Spec).Status_ != 200)
    return Verdict::NotRun;
  const QString Task = QString(Job).section('/', -1) + ".0.0.0";
  World::waitFor([&] { return W.runs().starts(Task) > 0; }, LookMs);
  if (W.runs().starts(Task) == 0)
    return Verdict::NotRun;
  const auto Hex = [](const QString &S) {
    return QString::fromLatin1(S.toUtf8().toHex());
  };
  QString Received;
  for (const auto &Each : W.workers())
    if (Each->specs().contains(Task))
      Received = Each->specs().at(Task);
  W.record("spec sent (UTF-8): " + Hex(Spec));
  W.record("spec received (UTF-8): " + Hex(Received));
  if (Received == Spec)
    return Verdict::Held;
  W.record("UNASKED: a worker was told to start the task with another spec");
  return Verdict::Broken;
}

} // namespace heathercross::review
