// The surroundings of a case: store, workers, entry processes and clients.
#include "world.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonDocument>
#include <QRandomGenerator>
#include <QTcpServer>

#include <csignal>
#include <sys/prctl.h>

namespace heathercross::review {

namespace {

constexpr int QuotaPeriodMs = 100;
constexpr int CallTimeoutMs = 4000;
constexpr int ReadyTimeoutMs = 15'000;

/// A free port below those that the system gives to connections.
quint16 freePort() {
  constexpr quint16 First = 20'000;
  constexpr quint16 Last = 32'000;
  QTcpServer Probe;
  quint16 Port = 0;
  do
    Port =
        static_cast<quint16>(QRandomGenerator::system()->bounded(First, Last));
  while (!Probe.listen(QHostAddress::LocalHost, Port));
  return Port;
}

QByteArray addressOf(quint16 Port) {
  return "127.0.0.1:" + QByteArray::number(Port);
}

/// Sends one request on a connection of its own; status 0 means no response.
void request(quint16 Port, const QByteArray &Head, const QByteArray &Body,
             std::function<void(Answer)> OnDone) {
  auto *Socket = new QTcpSocket;
  auto Received = std::make_shared<QByteArray>();
  auto Done = std::make_shared<std::function<void(Answer)>>(std::move(OnDone));
  const auto Finish = [Socket, Received, Done] {
    if (!*Done)
      return;
    Answer A;
    const qsizetype HeadEnd = Received->indexOf("\r\n\r\n");
    if (HeadEnd >= 0) {
      A.Status_ = Received->mid(9, 3).toInt();
      A.Body_ = Received->mid(HeadEnd + 4);
    }
    const auto Handler = std::exchange(*Done, nullptr);
    Socket->abort();
    Socket->deleteLater();
    Handler(A);
  };
  QObject::connect(
      Socket, &QTcpSocket::connected, Socket, [Socket, Head, Body] {
        Socket->write(Head +
                      "Content-Length: " + QByteArray::number(Body.size()) +
                      "\r\nConnection: close\r\n\r\n" + Body);
      });
  QObject::connect(
      Socket, &QTcpSocket::readyRead, Socket, [Socket, Received, Finish] {
        *Received += Socket->readAll();
        const qsizetype HeadEnd = Received->indexOf("\r\n\r\n");
        const QByteArray Lower = Received->left(HeadEnd).toLower();
        const qsizetype At = Lower.indexOf("content-length:");
        if (HeadEnd < 0 || At < 0)
          return;
        const qsizetype Length =
            Lower.mid(At + 15).split('\r').front().trimmed().toInt();
        if (Received->size() >= HeadEnd + 4 + Length)
          Finish();
      });
  QObject::connect(Socket, &QTcpSocket::disconnected, Socket, Finish);
  QObject::connect(Socket, &QTcpSocket::errorOccurred, Socket, Finish);
  QTimer::singleShot(CallTimeoutMs, Socket, Finish);
  Socket->connectToHost(QHostAddress(QHostAddress::LocalHost), Port);
}

} // namespace

World::World(const QString &RecordFile, WorldOptions Options)
    : Options_(std::move(Options)), Record_(RecordFile),
      Entries_(Options_.CpuShares_.size()) {
  Clock_.start();
  Folder_.setAutoRemove(!qEnvironmentVariableIsSet("KEEP_LOGS"));
  Record_.open(QIODevice::WriteOnly | QIODevice::Truncate);
  for (Entry &E : Entries_)
    E = {freePort(), freePort(), freePort(), 0, nullptr};
}

World::~World() {
  for (std::size_t I = 0; I < Entries_.size(); ++I) {
    Entry &E = Entries_[I];
    if (!E.Process_ || E.Process_->state() == QProcess::NotRunning)
      continue;
    E.RunMs_ = 0;
    signal(I, SIGCONT);
    E.Process_->kill();
    E.Process_->waitForFinished(ReadyTimeoutMs);
  }
}

bool World::trouble() { return qgetenv("TROUBLE") != "0"; }

void World::record(const QString &Line) {
  Record_.write(
      QString("%1 %2\n")
          .arg(static_cast<double>(Clock_.elapsed()) / 1000, 8, 'f', 3)
          .arg(Line)
          .toUtf8());
  Record_.flush();
}

void World::configure(int Version, const std::vector<RouteSpec> &Routes) {
  QJsonArray List;
  std::set<QString> Names;
  for (const RouteSpec &R : Routes) {
    Names.insert(R.Service_);
    QJsonObject O{{"name", R.Name_},
                  {"host", "trade.example"},
                  {"prefix", R.Prefix_},
                  {"kind", "mutating"},
                  {"timeout_ms", 3000},
                  {"slo_ms", 600},
                  {"prio", 0},
                  {"service", R.Service_},
                  {"attempts", R.Attempts_},
                  {"slo_factor", 1.6}};
    if (R.Hint_)
      O["hint"] =
          QJsonObject{{"decide_ms", 20}, {"each_ms", 1}, {"valid_ms", 3000}};
    List.append(O);
  }
  for (const auto &W : Workers_)
    Names.insert(W->service());
  QJsonArray Services;
  for (const QString &N : Names)
    Services.append(QJsonObject{{"name", N},
                                {"health_path", "/healthz"},
                                {"max_conns", 64},
                                {"admission_check", false},
                                {"standby", false}});
  const QJsonObject Limits{{"max_header_bytes", 16384},
                           {"max_body_bytes", 262144}};
  Store_.put({"op", "", "config"},
             QJsonDocument(QJsonObject{{"version", Version},
                                       {"routes", List},
                                       {"services", Services},
                                       {"limits", Limits}})
                 .toJson(QJsonDocument::Compact));
  for (const RouteSpec &R : Routes)
    record(QString("config version=%1 prefix=%2 service=%3 attempts=%4")
               .arg(Version)
               .arg(R.Prefix_, R.Service_)
               .arg(R.Attempts_));
}

Worker &World::addWorker(const QString &Id, const QString &Service) {
  Workers_.push_back(
      std::make_unique<Worker>(Id, Service, [this](const QString &Line) {
        record(Line);
        Runs_.add(Line);
      }));
  Store_.put({"servers", "", Id.toStdString()},
             Workers_.back()->registration());
  return *Workers_.back();
}

void World::removeWorker(const QString &Id, int DrainMs) {
  const auto It =
      std::ranges::find(Workers_, Id, [](const auto &W) { return W->id(); });
  Store_.put({"servers", "", Id.toStdString()}, (*It)->registration(true));
  record("draining worker=" + Id);
  runFor(DrainMs);
  (*It)->leave();
  Store_.remove({"servers", "", Id.toStdString()});
  record("left worker=" + Id);
}

QByteArray World::settings(std::size_t I) const {
  QFile Template("deploy/entry.ini.template");
  Template.open(QIODevice::ReadOnly);
  QByteArray Text = Template.readAll();
  const Entry &E = Entries_[I];
  const std::vector<std::pair<QByteArray, QByteArray>> Values{
      {"{{node_name}}", "edge-z" + QByteArray::number(qsizetype(I)) + "-1"},
      {"{{zone}}", "z" + QByteArray::number(qsizetype(I))},
      {"{{limits.cpu_quota}}", QByteArray::number(Options_.CpuShares_[I])},
      {"{{listen.front}}", addressOf(E.Front_)},
      {"{{listen.ready}}", addressOf(E.Ready_)},
      {"{{ip}}:{{port_range.0}}", addressOf(E.Peers_)},
      {"{{platform.addr}}", addressOf(Store_.port())},
      {"{{cloud_api.addr}}", addressOf(Store_.port())},
      {"{{cloud_api.duty_per_s}}", "64.0"},
      {"{{hint}}", Options_.Advice_.toUtf8()},
      {"{{bounds.hold_max_ms}}", "10000"},
      {"{{bounds.lease_ms}}", "3000"},
      {"{{bounds.fencing}}", "true"},
      {"{{#bounds.strict_revoke}}{{bounds.revoke_ms}}{{/bounds.strict_revoke}}",
       ""},
      {"{{bounds.status_s}}", QByteArray::number(Options_.StatusKeptSeconds_)},
      {"{{bounds.grace_s}}", "6"},
      {"{{bounds.move_s}}", "1.5"},
      {"{{bounds.upkeep_s}}", "2"}};
  for (const auto &[Name, Value] : Values)
    Text.replace(Name, Value);
  return Text;
}

bool World::startEntry(std::size_t I) {
  Entry &E = Entries_[I];
  const QString Name = Folder_.filePath(QString("entry-%1").arg(I));
  writeSettings(I);
  E.Process_ = std::make_unique<QProcess>();
  E.Process_->setStandardOutputFile(Name + ".out", QIODevice::Append);
  E.Process_->setStandardErrorFile(Name + ".err", QIODevice::Append);
  E.Process_->setChildProcessModifier(
      [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  E.Process_->start("target/heathercrossd", {"--deployment", Name + ".ini"});
  record(QString("entry %1 started").arg(I));
  if (!E.Process_->waitForStarted(ReadyTimeoutMs))
    return false;
  bool Ready = false;
  bool Asking = false;
  return waitFor(
      [&] {
        if (!Asking && !Ready) {
          Asking = true;
          request(E.Ready_, "GET /-/readyz HTTP/1.1\r\nHost: e\r\n", {},
                  [&](const Answer &A) {
                    Asking = false;
                    Ready = A.Status_ == 200;
                  });
        }
        return Ready && !Asking;
      },
      ReadyTimeoutMs);
}

void World::writeSettings(std::size_t I) {
  QFile File(Folder_.filePath(QString("entry-%1.ini").arg(I)));
  File.open(QIODevice::WriteOnly | QIODevice::Truncate);
  File.write(settings(I));
}

void World::signal(std::size_t I, int Number) {
  const auto Pid = static_cast<pid_t>(Entries_[I].Process_->processId());
  if (Pid > 0)
    ::kill(Pid, Number);
}

void World::waitForEnd(std::size_t I) {
  Entry &E = Entries_[I];
  waitFor([&] { return E.Process_->state() == QProcess::NotRunning; },
          ReadyTimeoutMs);
  record(QString("entry %1 ended").arg(I));
}

void World::setQuota(std::size_t I, int RunMs) {
  const bool Running = std::exchange(Entries_[I].RunMs_, RunMs) > 0;
  if (!Running && RunMs > 0)
    stepQuota(I);
}

void World::stepQuota(std::size_t I) {
  signal(I, SIGCONT);
  const int RunMs = Entries_[I].RunMs_;
  if (RunMs == 0)
    return;
  QTimer::singleShot(RunMs, Qt::PreciseTimer, &Timers_, [this, I, RunMs] {
    if (Entries_[I].RunMs_ > 0)
      signal(I, SIGSTOP);
    QTimer::singleShot(QuotaPeriodMs - RunMs, Qt::PreciseTimer, &Timers_,
                       [this, I] { stepQuota(I); });
  });
}

QByteArray World::log(std::size_t I) const {
  QFile Out(Folder_.filePath(QString("entry-%1.out").arg(I)));
  Out.open(QIODevice::ReadOnly);
  return Out.readAll();
}

void World::send(std::size_t I, const char *Method, const QString &Path,
                 const QByteArray &Body, std::function<void(Answer)> OnDone) {
  const QByteArray Head = QByteArray(Method) + " " + Path.toUtf8() +
                          " HTTP/1.1\r\nHost: trade.example\r\n"
                          "Content-Type: application/json\r\n"
                          "Heathercross-Deadline-Ms: 3000\r\n";
  request(Entries_[I].Front_, Head, Body,
          [this, I, Method, Path, OnDone = std::move(OnDone)](const Answer &A) {
            record(QString("call entry=%1 %2 %3 -> %4 %5")
                       .arg(I)
                       .arg(Method, Path)
                       .arg(A.Status_)
                       .arg(QString::fromUtf8(A.Body_.left(60))));
            OnDone(A);
          });
}

Answer World::call(std::size_t I, const char *Method, const QString &Path,
                   const QByteArray &Body) {
  std::optional<Answer> Got;
  send(I, Method, Path, Body, [&](const Answer &A) { Got = A; });
  waitFor([&] { return Got.has_value(); }, 2 * CallTimeoutMs);
  return Got.value_or(Answer());
}

Answer World::submit(std::size_t I, const QString &Path, int Tasks,
                     const QString &Spec, int CpuMilli) {
  const QJsonObject Step{{"count", Tasks},
                         {"cpu", CpuMilli},
                         {"mem_mb", 10},
                         {"est_ms", Spec.section(' ', -1).toInt()}};
  return call(
      I, "POST", Path,
      QJsonDocument(QJsonObject{{"spec", Spec}, {"phases", QJsonArray{Step}}})
          .toJson(QJsonDocument::Compact));
}

bool World::shows(std::size_t I, const QString &Path, const char *State) {
  const Answer A = call(I, "GET", Path);
  return A.Status_ == 200 &&
         QJsonDocument::fromJson(A.Body_)["state"].toString() == State;
}

void World::runFor(int Ms) {
  waitFor([] { return false; }, Ms);
}

bool World::waitFor(const std::function<bool()> &Holds, int TimeoutMs) {
  QElapsedTimer Timer;
  Timer.start();
  constexpr int SliceMs = 5;
  while (!Holds()) {
    if (Timer.elapsed() >= TimeoutMs)
      return false;
    QEventLoop Loop;
    QTimer::singleShot(SliceMs, Qt::PreciseTimer, &Loop, &QEventLoop::quit);
    Loop.exec();
  }
  return true;
}

} // namespace heathercross::review
