// Model workers that keep the rules of the platform's protocol.
#include "model-workers.h"

#include <QDateTime>
#include <QJsonDocument>

#include <algorithm>

namespace heathercross::review {

namespace {

using standin::HttpRequest;
using standin::HttpResponse;
using standin::Responder;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int Refused = 409;
constexpr int OtherInstance = 421;
constexpr std::int64_t LongestLeaseMs = 10'000;
constexpr std::int64_t FirstClockMs = 100'000;
constexpr int LeaseCheckMs = 20;
constexpr int StopMs = 100;
constexpr int Cores = 32;
constexpr int MemoryMb = 65'536;
constexpr int FullPercent = 100;

} // namespace

Worker::Worker(QString Id, QString Service, Recorder Record)
    : Id_(std::move(Id)), Service_(std::move(Service)),
      Record_(std::move(Record)), Began_(steady_clock::now()),
      Born_(QDateTime::currentMSecsSinceEpoch()),
      Server_(
          [this](const HttpRequest &R, const Responder &To) { serve(R, To); }) {
  Server_.listen(0);
  connect(&LeaseTimer_, &QTimer::timeout, this, [this] { checkLease(); });
  LeaseTimer_.start(LeaseCheckMs);
}

QByteArray Worker::registration(bool Draining) const {
  const QJsonObject Row{
      {"service", Service_},
      {"addr", QString("127.0.0.1:%1").arg(Server_.port())},
      {"zone", "z0"},
      {"version", "v1"},
      {"slots", 8},
      {"state", Draining ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"capacity",
       QJsonObject{{"cpu", Cores * 1000}, {"mem_mb", MemoryMb}, {"gpus", 0}}},
      {"labels", QJsonArray{"a", "r1-1"}},
      {"born", static_cast<qint64>(Born_)},
      {"clock_ms", static_cast<qint64>(clockMs())},
      {"seq", 1}};
  return QJsonDocument(Row).toJson(QJsonDocument::Compact);
}

std::vector<QString> Worker::running() const {
  std::vector<QString> Tasks;
  for (const auto &[Number, R] : Runs_)
    Tasks.push_back(R.Task_);
  return Tasks;
}

void Worker::leave() {
  Server_.close();
  Runs_.clear();
  Waiting_.clear();
}

std::int64_t Worker::clockMs() const {
  const auto Age = steady_clock::now() - Began_;
  return FirstClockMs + std::chrono::duration_cast<milliseconds>(Age).count();
}

HttpResponse Worker::answer(QJsonObject Body, int Status) const {
  Body["clock_ms"] = static_cast<qint64>(clockMs());
  return standin::jsonResponse(
      QJsonDocument(Body).toJson(QJsonDocument::Compact), Status);
}

void Worker::serve(const HttpRequest &R, const Responder &To) {
  const QByteArray Expected = R.header("heathercross-expect-instance");
  if (!Expected.isEmpty() && QString::fromUtf8(Expected) != Id_)
    return To(answer({}, OtherInstance));
  const QJsonObject O = QJsonDocument::fromJson(R.Body_).object();
  const std::int64_t Fence = O["fence"].toInteger();
  if (Fence < Fence_)
    return To(answer({{"reason", "fence"}}, Refused));
  Fence_ = Fence;
  checkLease();
  if (O.contains("until_ms"))
    LeaseUntil_ = std::max(LeaseUntil_,
                           std::min<std::int64_t>(O["until_ms"].toInteger(),
                                                  clockMs() + LongestLeaseMs));
  if (R.Path_ == "/-/run-start")
    return start(O, To);
  if (R.Path_ == "/-/run-stop")
    return stop(O, To);
  if (R.Path_ == "/-/hold")
    return hold(O, To);
  To(answer({}));
}

void Worker::start(const QJsonObject &O, const Responder &To) {
  const QString Task = O["task"].toString();
  const std::int64_t Attempt = O["attempt"].toInteger();
  for (const auto &[Number, R] : Runs_)
    if (R.Task_ == Task)
      return To(R.Attempt_ == Attempt ? answer({})
                                      : answer({{"reason", "old"}}, Refused));
  if (const auto It = Closed_.find(Task);
      It != Closed_.end() && Attempt <= It->second)
    return To(answer({{"reason", "old"}}, Refused));
  if (clockMs() >= LeaseUntil_)
    return To(answer({{"reason", "late"}}, Refused));
  const QString Spec = O["spec"].toString();
  Specs_[Task] = Spec;
  const bool Fails = Spec.startsWith("fail ");
  const milliseconds Duration(Spec.section(' ', -1).toInt());
  const std::uint64_t Number = ++LastRun_;
  Runs_[Number] = {Task, Attempt, steady_clock::now(), Duration};
  Record_(QString("start worker=%1 task=%2 attempt=%3")
              .arg(Id_, Task)
              .arg(Attempt));
  QTimer::singleShot(Duration, Qt::PreciseTimer, this, [this, Number, Fails] {
    end(Number, Fails ? "failed" : "done");
  });
  To(answer({}));
}

void Worker::stop(const QJsonObject &O, const Responder &To) {
  const QString Task = O["task"].toString();
  const std::int64_t Attempt = O["attempt"].toInteger();
  std::int64_t &Closed = Closed_[Task];
  Closed = std::max(Closed, Attempt);
  for (const auto &[Number, R] : Runs_)
    if (R.Task_ == Task && R.Attempt_ == Attempt)
      QTimer::singleShot(StopMs, this,
                         [this, Number = Number] { end(Number, "stopped"); });
  To(answer({}));
}

void Worker::hold(const QJsonObject &O, const Responder &To) {
  const std::int64_t Acknowledged = O["ack_seq"].toInteger();
  std::erase_if(Ends_, [&](const End &E) { return E.Number_ <= Acknowledged; });
  const std::int64_t WaitMs = O["wait_ms"].toInteger();
  if (WaitMs == 0 || !Ends_.empty())
    return To(report());
  const std::uint64_t Number = ++LastWaiter_;
  Waiting_.push_back({Number, To});
  QTimer::singleShot(static_cast<int>(WaitMs), this, [this, Number] {
    const auto It = std::ranges::find(Waiting_, Number, &Waiter::Number_);
    if (It == Waiting_.end())
      return;
    It->To_(report());
    Waiting_.erase(It);
  });
}

void Worker::end(std::uint64_t Number, const QString &How) {
  const auto It = Runs_.find(Number);
  if (It == Runs_.end())
    return;
  const Run R = It->second;
  Runs_.erase(It);
  std::int64_t &Closed = Closed_[R.Task_];
  Closed = std::max(Closed, R.Attempt_);
  Ends_.push_back({++LastEnd_, R.Task_, R.Attempt_, How});
  Record_(QString("end worker=%1 task=%2 attempt=%3 how=%4")
              .arg(Id_, R.Task_)
              .arg(R.Attempt_)
              .arg(How));
  for (const Waiter &W : std::exchange(Waiting_, {}))
    W.To_(report());
}

void Worker::checkLease() {
  if (Runs_.empty() || clockMs() < LeaseUntil_)
    return;
  std::vector<std::uint64_t> Lapsed;
  for (const auto &[Number, R] : Runs_)
    Lapsed.push_back(Number);
  for (const std::uint64_t Number : Lapsed)
    end(Number, "lapsed");
}

HttpResponse Worker::report() const {
  constexpr std::size_t MaxListed = 500;
  QJsonArray Running;
  for (const auto &[Number, R] : Runs_) {
    const auto Age = steady_clock::now() - R.Started_;
    const int Percent = static_cast<int>(
        FullPercent * Age / std::max(R.Duration_, milliseconds(1)));
    Running.append(QJsonArray{R.Task_, static_cast<qint64>(R.Attempt_), "",
                              std::min(Percent, FullPercent - 1), 1000});
  }
  QJsonArray Finished;
  for (const End &E : Ends_)
    if (static_cast<std::size_t>(Finished.size()) < MaxListed)
      Finished.append(QJsonArray{static_cast<qint64>(E.Number_), E.Task_,
                                 static_cast<qint64>(E.Attempt_), E.How_, ""});
  return answer({{"born", static_cast<qint64>(Born_)},
                 {"running", Running},
                 {"finished", Finished}});
}

} // namespace heathercross::review
