// A worker of the platform.
#include "worker.h"

#include "json.h"

#include <QDateTime>
#include <QJsonArray>

#include <algorithm>

namespace heathercross::review {

namespace {

constexpr int TickMs = 10;
/// hold_max_ms, and a stop that takes less than stop_ms.
constexpr qint64 MaxLeaseMs = 10'000;
constexpr qint64 StopMs = 100;
/// Start-up of a task that lasts.
constexpr qint64 StartupMs = 300;
constexpr qint64 MaxWaitMs = 2000;
constexpr qint64 FullPercent = 100;

} // namespace

Worker::Worker(QString Id, QString Pool, Planner Plan, Observer Observe)
    : Id_(std::move(Id)), Pool_(std::move(Pool)), Plan_(std::move(Plan)),
      Observe_(std::move(Observe)), Born_(QDateTime::currentMSecsSinceEpoch()),
      Server_({}, [this](http::Request &&R, http::Responder &&To) {
        handle(std::move(R), std::move(To));
      }) {
  Clock_.start();
  Server_.listen(QHostAddress(QHostAddress::LocalHost), 0);
  connect(&Timer_, &QTimer::timeout, this, [this] { tick(); });
  Timer_.start(TickMs);
}

QByteArray Worker::registration() {
  return bytesOf({{"service", Pool_},
                  {"addr", "127.0.0.1:" + QString::number(Server_.port())},
                  {"zone", "z0"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"cold_left_ms", 0},
                  {"born", Born_},
                  {"seq", ++Sequence_},
                  {"capacity", QJsonObject{{"cpu", 32000}, {"mem_mb", 65536}}},
                  {"labels", QJsonArray{Kind_, "r1-1"}}});
}

void Worker::carryOutLate() {
  if (!LateStart_ || (*LateStart_)["fence"].toInteger() < Fence_)
    return;
  Fence_ = (*LateStart_)["fence"].toInteger();
  start(*LateStart_);
  LateStart_.reset();
}

void Worker::startAgain(const QString &Kind) {
  Silent_ = false;
  Unanswered_.clear();
  Holding_.clear();
  Kind_ = Kind;
  Born_ = QDateTime::currentMSecsSinceEpoch();
  Sequence_ = Fence_ = LeaseEndMs_ = LastEnd_ = 0;
  Runs_.clear();
  Ends_.clear();
  LastAttempts_.clear();
  Clock_.restart();
}

http::Response Worker::refuse(const char *Reason) const {
  return jsonResponse(409,
                      {{"clock_ms", Clock_.elapsed()}, {"reason", Reason}});
}

void Worker::handle(http::Request &&R, http::Responder &&To) {
  if (Silent_) {
    Unanswered_.push_back(std::move(To));
    return;
  }
  const QByteArray Expected = R.header("Heathercross-Expect-Instance");
  if (!Expected.isEmpty() && Expected != Id_.toUtf8()) {
    To.respond(jsonResponse(421, {{"clock_ms", Clock_.elapsed()}}));
    return;
  }
  const QJsonObject Body = objectOf(R.Body_);
  const qint64 Fence = Body["fence"].toInteger();
  if (Fence < Fence_) {
    To.respond(refuse("fence"));
    return;
  }
  Fence_ = Fence;
  if (R.Path_ == "/-/run-start" && !Delayed_.isEmpty() &&
      Body["task"] == Delayed_) {
    Delayed_.clear();
    LateStart_ = Body;
    Observe_(Id_, "unanswered start", Body["task"].toString(),
             Body["attempt"].toInteger());
    Unanswered_.push_back(std::move(To));
    return;
  }
  if (R.Path_ == "/-/run-start")
    To.respond(start(Body));
  else if (R.Path_ == "/-/run-stop")
    To.respond(stop(Body));
  else if (R.Path_ == "/-/hold")
    hold(Body, std::move(To));
  else
    To.respond(jsonResponse(200, {{"clock_ms", Clock_.elapsed()}}));
}

void Worker::extendLease(const QJsonObject &Body) {
  const qint64 Until =
      std::min(Body["until_ms"].toInteger(), Clock_.elapsed() + MaxLeaseMs);
  LeaseEndMs_ = std::max(LeaseEndMs_, Until);
}

http::Response Worker::start(const QJsonObject &Body) {
  const QString Task = Body["task"].toString();
  const qint64 Attempt = Body["attempt"].toInteger();
  const auto Present = Runs_.find(Task);
  if (Body["until_ms"].toInteger() <= Clock_.elapsed())
    return refuse("late");
  extendLease(Body);
  if (Present != Runs_.end() && Present->second.Attempt_ == Attempt)
    return jsonResponse(200, {{"clock_ms", Clock_.elapsed()}});
  if (const auto Last = LastAttempts_.find(Task);
      Present != Runs_.end() ||
      (Last != LastAttempts_.end() && Attempt <= Last->second))
    return refuse("old");
  Runs_[Task] = {Attempt, Clock_.elapsed(), Plan_(Task), 0};
  Observe_(Id_, "start", Task, Attempt);
  return jsonResponse(200, {{"clock_ms", Clock_.elapsed()}});
}

http::Response Worker::stop(const QJsonObject &Body) {
  const auto It = Runs_.find(Body["task"].toString());
  const qint64 Attempt = Body["attempt"].toInteger();
  qint64 &Last = LastAttempts_[Body["task"].toString()];
  Last = std::max(Last, Attempt);
  if (It != Runs_.end() && It->second.Attempt_ == Attempt &&
      It->second.StopAtMs_ == 0)
    It->second.StopAtMs_ = Clock_.elapsed() + StopMs;
  return jsonResponse(200, {{"clock_ms", Clock_.elapsed()}});
}

void Worker::hold(const QJsonObject &Body, http::Responder &&To) {
  const qint64 Stored = Body["ack_seq"].toInteger();
  std::erase_if(Ends_, [&](const End &E) { return E.Number_ <= Stored; });
  extendLease(Body);
  const qint64 Wait = std::min(Body["wait_ms"].toInteger(), MaxWaitMs);
  if (Wait > 0 && Ends_.empty())
    Holding_.push_back({Clock_.elapsed() + Wait, std::move(To)});
  else
    To.respond(jsonResponse(200, report()));
}

QJsonObject Worker::report() const {
  QJsonArray Running;
  for (const auto &[Task, R] : Runs_) {
    const qint64 Age = Clock_.elapsed() - R.StartedMs_;
    const qint64 Percent = R.Plan_.DurationMs_ > 0
                               ? Age * FullPercent / R.Plan_.DurationMs_
                               : (Age >= StartupMs ? FullPercent : 0);
    Running.append(QJsonArray{Task, R.Attempt_, "", Percent, 100});
  }
  QJsonArray Finished;
  for (const End &E : Ends_)
    Finished.append(QJsonArray{E.Number_, E.Task_, E.Attempt_, E.How_, ""});
  return {{"clock_ms", Clock_.elapsed()},
          {"born", Born_},
          {"running", Running},
          {"finished", Finished}};
}

void Worker::endRun(const QString &Task, const QString &How) {
  const qint64 Attempt = Runs_.at(Task).Attempt_;
  qint64 &Last = LastAttempts_[Task];
  Last = std::max(Last, Attempt);
  Runs_.erase(Task);
  Ends_.push_back({++LastEnd_, Task, Attempt, How});
  Observe_(Id_, How, Task, Attempt);
}

void Worker::tick() {
  const qint64 Now = Clock_.elapsed();
  std::vector<std::pair<QString, QString>> Ended;
  for (const auto &[Task, R] : Runs_) {
    if (Now > LeaseEndMs_)
      Ended.emplace_back(Task, "lapsed");
    else if (R.StopAtMs_ > 0 && Now >= R.StopAtMs_)
      Ended.emplace_back(Task, "stopped");
    else if (R.Plan_.DurationMs_ > 0 &&
             Now >= R.StartedMs_ + R.Plan_.DurationMs_)
      Ended.emplace_back(Task, R.Plan_.End_);
  }
  for (const auto &[Task, How] : Ended)
    endRun(Task, How);
  std::erase_if(Holding_, [&](Holding &H) {
    if (Ended.empty() && Now < H.DeadlineMs_)
      return false;
    H.To_.respond(jsonResponse(200, report()));
    return true;
  });
}

} // namespace heathercross::review
