// Stand-ins of the workers and of the machines that they run on.
#include "review-workers.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace heathercross::review {

namespace {

using standin::HttpRequest;
using standin::HttpResponse;
using standin::Responder;

/// The figures of the settings example and of a small deployment's workers.
constexpr std::int64_t CpuMilli = 32'000;
constexpr std::int64_t MemoryMb = 65'536;
constexpr int HeartbeatMs = 1500;
constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr int MoveMs = 1500;
constexpr int UpkeepMs = 2000;
constexpr int CheckMs = 10;
constexpr std::int64_t FullPercent = 100;
constexpr std::size_t MaxListed = 500;

HttpResponse objectResponse(const QJsonObject &O, int Status = 200) {
  return standin::jsonResponse(QJsonDocument(O).toJson(QJsonDocument::Compact),
                               Status);
}

QJsonObject capacity() {
  return {{"cpu", static_cast<qint64>(CpuMilli)},
          {"mem_mb", static_cast<qint64>(MemoryMb)},
          {"gpus", 0}};
}

} // namespace

Worker::Worker(World &W, QString Id, QString Service, QString Machine,
               QStringList Labels, quint16 Port)
    : World_(W), Id_(std::move(Id)), Service_(std::move(Service)),
      Machine_(std::move(Machine)), Labels_(std::move(Labels)),
      BornWall_(QDateTime::currentMSecsSinceEpoch()),
      Server_([this](const HttpRequest &R, const Responder &To) {
        handle(R, To);
      }) {
  Server_.listen(Port);
  connect(&CheckTimer_, &QTimer::timeout, this, [this] { checkRuns(); });
  CheckTimer_.start(CheckMs);
  connect(&HeartbeatTimer_, &QTimer::timeout, this, [this] { registerNow(); });
  HeartbeatTimer_.start(HeartbeatMs);
}

Worker::~Worker() { end(); }

void Worker::registerNow() {
  if (Gone_)
    return;
  World_.Store_.put("servers", Id_,
                    {{"service", Service_},
                     {"addr", QString("127.0.0.1:%1").arg(Server_.port())},
                     {"zone", "zone-a"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"capacity", capacity()},
                     {"labels", QJsonArray::fromStringList(Labels_)},
                     {"machine", Machine_},
                     {"born", static_cast<qint64>(BornWall_)},
                     {"clock_ms", static_cast<qint64>(clockMs())},
                     {"seq", static_cast<qint64>(++Heartbeats_)}});
}

void Worker::end() {
  if (Gone_)
    return;
  crash();
  World_.Store_.remove("servers", Id_);
}

void Worker::crash() {
  if (std::exchange(Gone_, true))
    return;
  CheckTimer_.stop();
  HeartbeatTimer_.stop();
  for (const auto &[Task, R] : Running_) {
    World_.Runs_[R.Record_].EndedAt_ = nowMs();
    World_.Runs_[R.Record_].How_ = "ended with its worker";
    World_.Record_.line("run " + Task + " ends with worker " + Id_);
  }
  Running_.clear();
  Server_.close();
}

void Worker::handle(const HttpRequest &R, const Responder &To) {
  if (Gone_)
    return;
  const QByteArray Expected = R.header("heathercross-expect-instance");
  if (!Expected.isEmpty() && Expected != Id_.toUtf8())
    return To(plain(421, "instance"));
  const QJsonObject O = QJsonDocument::fromJson(R.Body_).object();
  const std::int64_t Fence = O["fence"].toInteger(0);
  if (Fence < Fence_)
    return To(plain(409, "fence"));
  Fence_ = Fence;
  if (R.Path_ == "/-/run-start") {
    if (World_.IsLate_ && World_.IsLate_(Id_, O)) {
      World_.Record_.line("start " + O["task"].toString() +
                          " is left unanswered by " + Id_);
      return;
    }
    return To(start(O));
  }
  if (R.Path_ == "/-/run-stop")
    return stop(O, To);
  if (R.Path_ == "/-/hold")
    return hold(O, To);
  To(plain(R.Path_ == "/-/pace" ? 200 : 404, nullptr));
}

HttpResponse Worker::plain(int Status, const char *Reason) const {
  QJsonObject O{{"clock_ms", static_cast<qint64>(clockMs())},
                {"born", static_cast<qint64>(BornWall_)}};
  if (Reason)
    O["reason"] = Reason;
  return objectResponse(O, Status);
}

void Worker::extendLease(const QJsonObject &O) {
  const std::int64_t Until = std::min<std::int64_t>(O["until_ms"].toInteger(0),
                                                    clockMs() + MaxLeaseMs);
  LeaseUntil_ = std::max(LeaseUntil_, Until);
}

HttpResponse Worker::start(const QJsonObject &O) {
  const QString Task = O["task"].toString();
  const std::int64_t Attempt = O["attempt"].toInteger();
  if (O["until_ms"].toInteger() <= clockMs())
    return plain(409, "late");
  extendLease(O);
  const auto It = Running_.find(Task);
  if (It != Running_.end() && It->second.Attempt_ == Attempt)
    return plain(200, nullptr);
  const auto Last = EndedAttempt_.find(Task);
  if (It != Running_.end() ||
      (Last != EndedAttempt_.end() && Attempt <= Last->second))
    return plain(409, "old");
  Running_[Task] = {Attempt, nowMs(), World_.PlanOf_(Task),
                    World_.Runs_.size()};
  World_.Runs_.push_back({Task, Attempt, Id_, nowMs(), -1, "", -1});
  World_.Record_.line("start " + Task + " run " + QString::number(Attempt) +
                      " on " + Id_);
  return plain(200, nullptr);
}

void Worker::carryOut(const QJsonObject &Order) {
  World_.Record_.line("the unanswered start " + Order["task"].toString() +
                      " arrives at " + Id_);
  const std::int64_t Fence = Order["fence"].toInteger(0);
  if (Fence < Fence_)
    return World_.Record_.line("it is refused: fence");
  Fence_ = Fence;
  start(Order);
}

void Worker::stop(const QJsonObject &O, const Responder &To) {
  const QString Task = O["task"].toString();
  const std::int64_t Attempt = O["attempt"].toInteger();
  EndedAttempt_[Task] = std::max(EndedAttempt_[Task], Attempt);
  const auto It = Running_.find(Task);
  if (It != Running_.end() && It->second.Attempt_ <= Attempt)
    finish(Task, "stopped");
  To(plain(200, nullptr));
}

void Worker::hold(const QJsonObject &O, const Responder &To) {
  extendLease(O);
  const std::int64_t Noted = O["ack_seq"].toInteger(0);
  std::erase_if(Ended_, [&](const Ended &E) {
    if (E.Number_ > Noted)
      return false;
    World_.Runs_[E.Record_].NotedAt_ = nowMs();
    return true;
  });
  const int WaitMs = O["wait_ms"].toInt(0);
  if (WaitMs == 0 || !Ended_.empty())
    return To(report());
  const int Id = ++LastWaiting_;
  Waiting_.emplace(Id, To);
  QTimer::singleShot(WaitMs, this, [this, Id] {
    const auto It = Waiting_.find(Id);
    if (It == Waiting_.end())
      return;
    const Responder Answer = It->second;
    Waiting_.erase(It);
    Answer(report());
  });
}

HttpResponse Worker::report() const {
  QJsonArray Runs;
  for (const auto &[Task, R] : Running_) {
    const std::int64_t Age = nowMs() - R.StartedAt_;
    const std::int64_t Percent =
        R.Plan_.RunMs_ == 0
            ? FullPercent
            : std::min(FullPercent - 1, FullPercent * Age / R.Plan_.RunMs_);
    Runs.append(QJsonArray{Task, static_cast<qint64>(R.Attempt_), "",
                           static_cast<qint64>(Percent), 1000});
  }
  QJsonArray Finished;
  for (const Ended &E : Ended_)
    if (static_cast<std::size_t>(Finished.size()) < MaxListed)
      Finished.append(QJsonArray{static_cast<qint64>(E.Number_), E.Task_,
                                 static_cast<qint64>(E.Attempt_), E.How_, ""});
  return objectResponse({{"clock_ms", static_cast<qint64>(clockMs())},
                         {"born", static_cast<qint64>(BornWall_)},
                         {"running", Runs},
                         {"finished", Finished}});
}

void Worker::checkRuns() {
  std::vector<std::pair<QString, QString>> Ends;
  for (const auto &[Task, R] : Running_) {
    if (clockMs() > LeaseUntil_)
      Ends.emplace_back(Task, "lapsed");
    else if (R.Plan_.RunMs_ > 0 && nowMs() - R.StartedAt_ >= R.Plan_.RunMs_)
      Ends.emplace_back(Task, R.Plan_.Fails_ ? "failed" : "done");
  }
  for (const auto &[Task, How] : Ends)
    finish(Task, How);
}

void Worker::finish(const QString &Task, const QString &How) {
  const Running R = Running_.at(Task);
  Running_.erase(Task);
  EndedAttempt_[Task] = std::max(EndedAttempt_[Task], R.Attempt_);
  World_.Runs_[R.Record_].EndedAt_ = nowMs();
  World_.Runs_[R.Record_].How_ = How;
  Ended_.push_back({++LastNumber_, Task, R.Attempt_, How, R.Record_});
  World_.Record_.line("end " + Task + " run " + QString::number(R.Attempt_) +
                      " on " + Id_ + ": " + How);
  wake();
}

void Worker::wake() {
  for (const auto &[Id, To] : std::exchange(Waiting_, {}))
    To(report());
}

Machines::Machines(World &W)
    : World_(W), Server_([this](const HttpRequest &R, const Responder &To) {
        handle(R, To);
      }) {
  Server_.listen(0);
}

QString Machines::address() const {
  return QString("127.0.0.1:%1").arg(Server_.port());
}

void Machines::add(const QString &Name, const QString &Pool,
                   const QStringList &Labels) {
  Machine &M = Machines_[Name];
  M.Pool_ = Pool;
  M.Labels_ = Labels;
  bringUp(Name);
}

void Machines::crash(const QString &Id) {
  for (auto &[Name, M] : Machines_)
    if (M.Worker_ && M.Worker_->id() == Id) {
      World_.Record_.line("worker " + Id + " crashes");
      M.Port_ = M.Worker_->port();
      M.Worker_->crash();
    }
}

Worker &Machines::startAgain(const QString &Id) {
  const auto It = std::ranges::find_if(Machines_, [&](const auto &E) {
    return E.second.Worker_ && E.second.Worker_->id() == Id;
  });
  Machine &M = It->second;
  World_.Record_.line("worker " + Id + " starts again");
  M.Worker_ = std::make_unique<Worker>(World_, Id, M.Pool_, It->first,
                                       M.Labels_, M.Port_);
  M.Worker_->registerNow();
  return *M.Worker_;
}

void Machines::bringUp(const QString &Name) {
  Machine &M = Machines_.at(Name);
  M.State_ = "up";
  M.Worker_ = std::make_unique<Worker>(
      World_, QString("i-%1-%2").arg(Name).arg(++M.Lives_), M.Pool_, Name,
      M.Labels_);
  M.Worker_->registerNow();
}

void Machines::takeDown(const QString &Name, const QString &State, int ForMs) {
  Machine &M = Machines_.at(Name);
  M.State_ = State;
  M.Worker_->end();
  M.Worker_.release()->deleteLater();
  QTimer::singleShot(ForMs, this, [this, Name] { bringUp(Name); });
}

HttpResponse Machines::list() const {
  QJsonArray All;
  for (const auto &[Name, M] : Machines_)
    All.append(QJsonObject{
        {"machine", Name},
        {"pool", M.Pool_},
        {"state", M.State_},
        {"zone", "zone-a"},
        {"labels", QJsonArray::fromStringList(M.Labels_)},
        {"capacity", capacity()},
        {"id", M.Worker_ ? QJsonValue(M.Worker_->id()) : QJsonValue()}});
  return objectResponse({{"machines", All}, {"next_token", QJsonValue::Null}});
}

void Machines::handle(const HttpRequest &R, const Responder &To) {
  if (R.Path_ == "/-/machines")
    return To(list());
  const bool IsUpkeep = R.Path_ == "/-/machine-upkeep";
  if (!IsUpkeep && R.Path_ != "/-/machine-move")
    return To(objectResponse({}, 404));
  const HttpResponse Response = order(R, IsUpkeep);
  if (IsUpkeep && OnUpkeepCall_)
    OnUpkeepCall_(QJsonDocument::fromJson(R.Body_)["machine"].toString());
  QTimer::singleShot(IsUpkeep ? UpkeepAnswerMs_ : 4, this,
                     [Response, To] { To(Response); });
}

HttpResponse Machines::order(const HttpRequest &R, bool IsUpkeep) {
  const QJsonObject O = QJsonDocument::fromJson(R.Body_).object();
  const QString Name = O["machine"].toString();
  const auto It = Machines_.find(Name);
  if (It == Machines_.end())
    return objectResponse({}, 400);
  Machine &M = It->second;
  const std::int64_t Token =
      R.header("heathercross-fencing-token").toLongLong();
  const QString Holder =
      QString::fromUtf8(R.header("heathercross-lease-holder"));
  if (Token < M.Token_)
    return objectResponse({{"reason", "fence"}}, 409);
  M.Token_ = Token;
  const qint64 Wave = O["wave"].toInteger(0);
  const bool Done =
      IsUpkeep ? M.Waves_.contains(Wave) : O["pool"].toString() == M.Pool_;
  if (Done)
    return objectResponse({});
  if (M.State_ != "up")
    return objectResponse({{"reason", "busy"}}, 409);
  if (!IsUpkeep) {
    World_.Record_.line("move " + Name + " to " + O["pool"].toString() +
                        " by " + Holder);
    M.Pool_ = O["pool"].toString();
    takeDown(Name, "moving", MoveMs);
    return objectResponse({});
  }
  M.Waves_.insert(Wave);
  const auto Down = static_cast<std::size_t>(std::ranges::count_if(
      Machines_, [](const auto &E) { return E.second.State_ == "upkeep"; }));
  Upkeeps_.push_back({Name, Holder, nowMs(), Down});
  World_.Record_.line(QString("upkeep of %1 begins by %2 token %3, %4 others "
                              "are down for theirs")
                          .arg(Name, Holder)
                          .arg(Token)
                          .arg(Down));
  takeDown(Name, "upkeep", UpkeepMs);
  return objectResponse({});
}

} // namespace heathercross::review
