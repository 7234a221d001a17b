// A small deployment: the platform's stand-ins and the project's own entry
// processes.
#include "deployment.h"

#include "json.h"

#include <QCoreApplication>
#include <QFile>
#include <QTimer>

#include <algorithm>
#include <csignal>
#include <optional>
#include <sys/prctl.h>
#include <utility>

namespace heathercross::review {

namespace {

/// heartbeat_ms of the settings.
constexpr int HeartbeatMs = 1500;
constexpr int StartTimeoutMs = 10'000;
/// grace_s, and the time to notice the end.
constexpr int StopTimeoutMs = 7000;
constexpr int SubmitTries = 8;
constexpr int RetryPauseMs = 300;
/// move_s and upkeep_s.
constexpr qint64 MoveMs = 1500;
constexpr qint64 UpkeepMs = 2000;
constexpr int ReturnCheckMs = 10;
/// "restarted after a short delay" (DEPLOY.md).
constexpr int RestartDelayMs = 500;

/// The ports of an entry are the same in each deployment. Each deployment has a
/// loopback address of its own, so that several can run at a time.
constexpr std::uint16_t FirstPort = 7100;
constexpr std::uint16_t PortsPerEntry = 3;

QString entryAddress() {
  constexpr qint64 Range = 250;
  const qint64 Id = QCoreApplication::applicationPid();
  return QString("127.%1.%2.1").arg(1 + Id / Range % Range).arg(1 + Id % Range);
}

QString at(const QString &Address, std::uint16_t Port) {
  return Address + ":" + QString::number(Port);
}

QString local(std::uint16_t Port) { return at("127.0.0.1", Port); }

} // namespace

Deployment::Deployment(DeploymentOptions Options)
    : Options_(std::move(Options)), Record_(Options_.Record_.toStdString()) {
  Clock_.start();
  Store_.ListMachines_ = [this] {
    returnMachines();
    QJsonArray All;
    for (const auto &M : Machines_)
      All.append(QJsonObject{
          {"machine", M->Id_},
          {"pool", M->Pool_},
          {"state", M->State_},
          {"zone", "z0"},
          {"labels", QJsonArray{M->Kind_, "r1-1"}},
          {"capacity", QJsonObject{{"cpu", 32000}, {"mem_mb", 65536}}},
          {"id", M->Worker_ ? M->Worker_->id() : QString()}});
    return All;
  };
  Store_.OnMachineOrder_ = [this](http::Request &&R, http::Responder &&To) {
    handleMachineOrder(std::move(R), std::move(To));
  };
  connect(&Heartbeat_, &QTimer::timeout, this, [this] { registerWorkers(); });
  Heartbeat_.start(HeartbeatMs);
  connect(&Returns_, &QTimer::timeout, this, [this] { returnMachines(); });
  Returns_.start(ReturnCheckMs);
}

Deployment::~Deployment() {
  for (Entry &E : Entries_) {
    E.Process_->kill();
    E.Process_->waitForFinished(StartTimeoutMs);
  }
}

void Deployment::record(const std::string &Line) {
  Record_ << Clock_.elapsed() << " ms: " << Line << std::endl;
}

Worker &Deployment::addWorker(const QString &Id, const QString &Pool,
                              Worker::Planner Plan) {
  Machines_.push_back(std::make_unique<Machine>());
  Machine &M = *Machines_.back();
  M.Id_ = "m-" + Id;
  M.Pool_ = Pool;
  M.Plan_ = std::move(Plan);
  bringUp(M, Id);
  return *M.Worker_;
}

void Deployment::bringUp(Machine &M, const QString &Worker) {
  M.State_ = "up";
  M.Worker_ = std::make_unique<review::Worker>(
      Worker, M.Pool_, M.Plan_,
      [this](const QString &W, const QString &What, const QString &Task,
             qint64 Attempt) {
        Events_.push_back({Clock_.elapsed(), W, What, Task, Attempt});
        record("worker " + W.toStdString() + ": " + What.toStdString() + " " +
               Task.toStdString() + " attempt " + std::to_string(Attempt));
      });
  registerWorkers();
}

void Deployment::returnMachines() {
  for (const auto &M : Machines_)
    if (M->State_ != "up" && Clock_.elapsed() >= M->UpAtMs_) {
      record(M->Id_.toStdString() + ": up in " + M->Pool_.toStdString());
      bringUp(*M, M->Id_.mid(2) + "-" + QString::number(++M->Lives_));
    }
}

void Deployment::handleMachineOrder(http::Request &&R, http::Responder &&To) {
  if (UpkeepDelayMs_ > 0 && R.Path_ == "/-/machine-upkeep") {
    DelayedMachine_ = objectOf(R.Body_)["machine"].toString();
    record("machine order: upkeep of " + DelayedMachine_.toStdString() +
           " gets no answer");
    Unanswered_.push_back(std::move(To));
    QTimer::singleShot(std::exchange(UpkeepDelayMs_, 0), this,
                       [this, Late = std::move(R)] {
                         record("the unanswered order is carried out now");
                         orderMachine(Late);
                       });
    return;
  }
  To.respond(orderMachine(R));
}

std::size_t Deployment::machinesDown() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Machines_, [](const auto &M) { return M->State_ == "upkeep"; }));
}

void Deployment::powerOff(std::size_t I) {
  record(Entries_.at(I).Name_.toStdString() + ": loses power");
  Entries_.at(I).Process_->kill();
}

Worker *Deployment::workerOf(const QString &Machine) {
  for (const auto &M : Machines_)
    if (M->Id_ == Machine)
      return M->Worker_.get();
  return nullptr;
}

http::Response Deployment::orderMachine(const http::Request &R) {
  returnMachines();
  const QJsonObject Body = objectOf(R.Body_);
  const QString Id = Body["machine"].toString();
  const bool IsMove = R.Path_ == "/-/machine-move";
  MachineOrder O{Clock_.elapsed(),
                 Id,
                 IsMove ? "move" : "upkeep",
                 QString::fromUtf8(R.header("Heathercross-Lease-Holder")),
                 R.header("Heathercross-Fencing-Token").toLongLong(),
                 200};
  const auto It = std::ranges::find_if(
      Machines_, [&](const auto &M) { return M->Id_ == Id; });
  const char *Reason = "";
  if (It == Machines_.end()) {
    O.Status_ = 400;
  } else if (Machine &M = **It; O.Token_ < M.Token_) {
    O.Status_ = 409;
    Reason = "fence";
  } else {
    M.Token_ = O.Token_;
    const QString To = IsMove ? Body["pool"].toString() : M.Pool_;
    const std::pair<qint64, QString> Upkeep{Body["wave"].toInteger(), Id};
    const bool Done = IsMove ? M.Pool_ == To && M.State_ != "upkeep"
                             : Upkept_.contains(Upkeep);
    if (!Done && M.State_ != "up") {
      O.Status_ = 409;
      Reason = "busy";
    } else if (!Done) {
      M.State_ = IsMove ? "moving" : "upkeep";
      if (!IsMove)
        Upkept_.insert(Upkeep);
      M.Pool_ = To;
      M.UpAtMs_ = Clock_.elapsed() + (IsMove ? MoveMs : UpkeepMs);
      Store_.remove("servers", M.Worker_->id());
      M.Worker_.reset();
    }
  }
  Orders_.push_back(O);
  record("machine order: " + O.Kind_.toStdString() + " " +
         R.Body_.toStdString() + " by " + O.Holder_.toStdString() + " token " +
         std::to_string(O.Token_) + " -> " + std::to_string(O.Status_) + " " +
         Reason);
  return jsonResponse(O.Status_, {{"reason", Reason}});
}

void Deployment::requestWave(int Number, const std::vector<QString> &Machines,
                             int MaxAtOnce, int WithinSeconds) {
  QJsonArray Names;
  for (const QString &M : Machines)
    Names.append(M);
  const QByteArray Text = bytesOf({{"wave", Number},
                                   {"machines", Names},
                                   {"within_s", WithinSeconds},
                                   {"max_count", MaxAtOnce}});
  record("operator: wave " + Text.toStdString());
  Store_.write("op", "wave/" + QString::number(Number), Text);
}

std::size_t Deployment::entryOf(const QString &Holder) const {
  const auto It = std::ranges::find_if(Entries_, [&](const Entry &E) {
    return Holder.section('/', 0, 0) == E.Name_;
  });
  if (It == Entries_.end())
    raise(CannotRun("find the entry " + Holder.toStdString()));
  return static_cast<std::size_t>(It - Entries_.begin());
}

void Deployment::cutFromStore(std::size_t I, bool Cut) {
  record(Entries_.at(I).Name_.toStdString() +
         (Cut ? ": cut from the store" : ": reaches the store again"));
  Entries_.at(I).Store_->cut(Cut);
}

void Deployment::stopEntry(std::size_t I) {
  record(Entries_.at(I).Name_.toStdString() + ": SIGTERM");
  Entries_.at(I).Process_->terminate();
}

void Deployment::registerWorkers() {
  for (const auto &M : Machines_)
    if (M->Worker_)
      Store_.write("servers", M->Worker_->id(), M->Worker_->registration());
}

void Deployment::configure(int Version, const std::vector<RouteSpec> &Routes,
                           const std::vector<QString> &Pools) {
  QJsonArray RouteList;
  for (const RouteSpec &R : Routes) {
    QJsonObject Route{{"name", "r-" + R.Name_},
                      {"host", "jobs.example"},
                      {"prefix", "/" + R.Name_ + "/"},
                      {"service", R.Pool_},
                      {"slo_ms", 600},
                      {"prio", 0},
                      {"attempts", R.Attempts_},
                      {"slo_factor", 1.6},
                      {"timeout_ms", 3000}};
    RouteList.append(Route);
  }
  QJsonArray Services;
  for (const QString &P : Pools)
    Services.append(QJsonObject{{"name", P}, {"standby", false}});
  const QByteArray Text =
      bytesOf({{"version", Version},
               {"routes", RouteList},
               {"services", Services},
               {"limits", QJsonObject{{"max_body_bytes", 262144}}}});
  record("operator: configuration " + Text.toStdString());
  Store_.write("op", "config", Text);
}

void Deployment::startEntry() {
  const QString Name = "entry-" + QString::number(Entries_.size());
  const auto First = static_cast<std::uint16_t>(
      FirstPort + PortsPerEntry * static_cast<int>(Entries_.size()));
  Entries_.push_back({Name, at(entryAddress(), First),
                      at(entryAddress(), First + 1),
                      at(entryAddress(), First + 2),
                      std::make_unique<Link>(Store_.port()), nullptr});
  launch(Entries_.back());
  awaitReady(Entries_.back());
}

void Deployment::launch(Entry &E) {
  const QString Zone = "z" + E.Name_.right(1);
  QFile Settings(Options_.Folder_ + "/" + E.Name_ + ".ini");
  if (!Settings.open(QIODevice::WriteOnly))
    raise(CannotRun("write the settings"));
  // As deploy/entry.ini.template, with the bounds of the site files.
  Settings.write(("[entry]\nname = " + E.Name_ + "\nzone = " + Zone +
                  "\ncpu_share = 0.25\n[listen]\nfront = " + E.Front_ +
                  "\nready = " + E.Ready_ + "\npeers = " + E.Peers_ +
                  "\n[store]\naddress = " + local(E.Store_->port()) +
                  "\n[machines]\naddress = " + local(Store_.port()) +
                  "\norders_per_s = 64.0\n[advice]\naddress =\n[bounds]\n"
                  "run_lease_max_ms = 10000\norder_lease_ms = 3000\n"
                  "order_fencing = true\nstatus_kept_s = 120\n"
                  "stop_grace_s = 6\nmove_s = 1.5\nupkeep_s = 2\n")
                     .toUtf8());
  Settings.close();
  E.Process_ = std::make_unique<QProcess>();
  E.Process_->setStandardOutputFile(Options_.Folder_ + "/" + E.Name_ + ".out",
                                    QIODevice::Append);
  E.Process_->setStandardErrorFile(Options_.Folder_ + "/" + E.Name_ + ".err",
                                   QIODevice::Append);
  // The entry ends with this program, however that ends.
  E.Process_->setChildProcessModifier(
      [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  E.Process_->start(Options_.Daemon_, {"--deployment", Settings.fileName()});
  if (!E.Process_->waitForStarted(StartTimeoutMs))
    raise(CannotRun("start " + Options_.Daemon_.toStdString()));
  record(E.Name_.toStdString() + ": started");
}

bool Deployment::isReady(std::size_t I) {
  http::Call C;
  C.Url_ = "http://" + Entries_.at(I).Ready_.toStdString() + "/-/readyz";
  const bool Ready = send(std::move(C)).Status_ == 200;
  record("platform: readyz at " + Entries_.at(I).Name_.toStdString() +
         (Ready ? " -> 200" : " -> not 200"));
  return Ready;
}

void Deployment::awaitReady(Entry &E) {
  require("an entry becomes ready", StartTimeoutMs, [&] {
    http::Call C;
    C.Url_ = "http://" + E.Ready_.toStdString() + "/-/readyz";
    return E.Process_->state() == QProcess::Running &&
           send(std::move(C)).Status_ == 200;
  });
}

void Deployment::restartEntry(std::size_t I) {
  Entry &E = Entries_.at(I);
  record(E.Name_.toStdString() + ": SIGTERM");
  E.Process_->terminate();
  require("an entry stops within its grace", StopTimeoutMs,
          [&] { return E.Process_->state() == QProcess::NotRunning; });
  record(E.Name_.toStdString() + ": ended");
  launch(E);
  awaitReady(E);
}

void Deployment::killEntry(std::size_t I) {
  Entry &E = Entries_.at(I);
  record(E.Name_.toStdString() + ": SIGKILL");
  E.Process_->kill();
  E.Process_->waitForFinished(StartTimeoutMs);
  runFor(RestartDelayMs);
  launch(E);
}

qint64 Deployment::processId(std::size_t I) const {
  return Entries_.at(I).Process_->processId();
}

bool Deployment::entryRuns(std::size_t I) const {
  return Entries_.at(I).Process_->state() == QProcess::Running;
}

QString Deployment::logOf(const Entry &E) const {
  QFile Log(Options_.Folder_ + "/" + E.Name_ + ".out");
  return Log.open(QIODevice::ReadOnly) ? QString::fromUtf8(Log.readAll())
                                       : QString();
}

std::size_t Deployment::holder(const QString &Pool) const {
  std::size_t Found = 0;
  qint64 Newest = -1;
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    for (const QString &Line : logOf(Entries_[I]).split('\n')) {
      const QJsonObject O = objectOf(Line.toUtf8());
      if (O["event"] == "duty-loaded" && O["pool"] == Pool &&
          O["t"].toInteger() > Newest) {
        Newest = O["t"].toInteger();
        Found = I;
      }
    }
  return Found;
}

http::Reply Deployment::send(http::Call C) {
  std::optional<http::Reply> Reply;
  Http_.send(std::move(C), [&](const http::Reply &R) { Reply = R; });
  while (!Reply)
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  return *Reply;
}

Deployment::Answer Deployment::call(std::size_t Entry, const char *Method,
                                    const QString &Route, const QString &Job,
                                    const QByteArray &Body, int DeadlineMs) {
  http::Call C;
  C.Method_ = Method;
  C.Url_ = ("http://" + Entries_.at(Entry).Front_ + "/" + Route + "/" + Job)
               .toStdString();
  C.Headers_ = {"Host: jobs.example", "Content-Type: application/json",
                "Heathercross-Deadline-Ms: " + std::to_string(DeadlineMs)};
  C.Body_ = Body;
  C.Timeout_ = Millis(DeadlineMs);
  C.NewConnection_ = true;
  const http::Reply R = send(std::move(C));
  const int Status = R.Delivery_ == http::Delivery::Answered ? R.Status_ : 0;
  record("client: " + std::string(Method) + " /" + Route.toStdString() + "/" +
         Job.toStdString() + " at entry-" + std::to_string(Entry) + " -> " +
         std::to_string(Status) + " " + R.Body_.toStdString());
  return {Status, R.Body_};
}

bool Deployment::submit(const QString &Route, const QString &Job,
                        const QByteArray &Body) {
  for (int Try = 0; Try < SubmitTries; ++Try) {
    const auto Entry = static_cast<std::size_t>(Try) % Entries_.size();
    if (call(Entry, "POST", Route, Job, Body).Status_ == 200)
      return true;
    runFor(RetryPauseMs);
  }
  return false;
}

int Deployment::count(const QString &What, const QString &Task) const {
  return static_cast<int>(std::ranges::count_if(Events_, [&](const auto &E) {
    return E.What_ == What && E.Task_ == Task;
  }));
}

bool Deployment::runs(const QString &Task) const {
  return std::ranges::any_of(Machines_, [&](const auto &M) {
    return M->Worker_ && M->Worker_->runs(Task);
  });
}

bool Deployment::waitFor(int Ms, const std::function<bool()> &Condition) {
  constexpr int SliceMs = 10;
  QElapsedTimer Elapsed;
  Elapsed.start();
  while (!Condition()) {
    if (Elapsed.elapsed() > Ms)
      return false;
    QCoreApplication::processEvents(QEventLoop::AllEvents, SliceMs);
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

void Deployment::runFor(int Ms) {
  waitFor(Ms, [] { return false; });
}

void Deployment::require(const char *Step, int Ms,
                         const std::function<bool()> &Condition) {
  if (!waitFor(Ms, Condition))
    raise(CannotRun(Step));
}

} // namespace heathercross::review
