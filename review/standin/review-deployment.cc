// Entry processes, started with the command of the deploy file, and clients.
#include "review-deployment.h"

#include "standin/common/http-client.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QFile>
#include <QTcpServer>
#include <QThread>
#include <QTimer>

#include <csignal>
#include <sys/prctl.h>

namespace heathercross::review {

namespace {

constexpr int DeadlineMs = 3000;
/// Timers may fire 5% early; a client waits for its whole deadline.
constexpr int ClientTimeoutMs = 3200;
constexpr int RetryPauseMs = 300;
constexpr int StartMs = 5000;
constexpr int StartTries = 3;
constexpr const char *Loopback = "127.0.0.1";

quint16 freePort() {
  QTcpServer Probe;
  Probe.listen(QHostAddress::LocalHost, 0);
  return Probe.serverPort();
}

} // namespace

bool runFor(int Ms, const std::function<bool()> &Until) {
  QElapsedTimer Timer;
  Timer.start();
  while (Timer.elapsed() < Ms) {
    if (Until && Until())
      return true;
    QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    QThread::usleep(500);
  }
  return Until && Until();
}

Deployment::Deployment(Record &R, Platform P, int Count)
    : Record_(R), Platform_(std::move(P)),
      Entries_(static_cast<std::size_t>(Count)) {
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    Entries_[I].Name_ = QString("entry-%1").arg(I);
  // With REVIEW_KEEP_LOGS=1 the logs of the entries stay.
  const bool Keep = qEnvironmentVariableIsSet("REVIEW_KEEP_LOGS");
  Folder_.setAutoRemove(!Keep);
  if (Keep)
    Record_.line("logs in " + Folder_.path());
}

Deployment::~Deployment() {
  for (Entry &E : Entries_)
    if (E.Process_) {
      E.Process_->kill();
      E.Process_->waitForFinished(StartMs);
    }
}

QString Deployment::settings(const Entry &E) const {
  QFile Template("deploy/entry.ini.template");
  Template.open(QIODevice::ReadOnly);
  QString Text = QString::fromUtf8(Template.readAll());
  const auto Address = [](quint16 Port) {
    return QString("%1:%2").arg(Loopback).arg(Port);
  };
  const std::map<QString, QString> Fields{
      {"node_name", E.Name_},
      {"zone", "zone-a"},
      {"limits.cpu_quota", "0.25"},
      {"listen.front", Address(E.Front_)},
      {"listen.ready", Address(E.Ready_)},
      {"ip", Loopback},
      {"port_range.0", QString::number(E.Peers_)},
      {"platform.addr", Platform_.Store_},
      {"cloud_api.addr", Platform_.Machines_},
      {"cloud_api.duty_per_s", "64.0"},
      {"hint", Platform_.Advice_},
      {"bounds.hold_max_ms", "10000"},
      {"bounds.lease_ms", "3000"},
      {"bounds.fencing", "true"},
      {"bounds.status_s", "120"},
      {"bounds.grace_s", "6"},
      {"bounds.move_s", "1.5"},
      {"bounds.upkeep_s", "2"}};
  for (const auto &[Name, Value] : Fields)
    Text.replace("{{" + Name + "}}", Value);
  return Text;
}

bool Deployment::startProcess(Entry &E) {
  const QString Settings = Folder_.filePath(E.Name_ + ".ini");
  QFile File(Settings);
  if (!File.open(QIODevice::WriteOnly | QIODevice::Truncate))
    return false;
  File.write(settings(E).toUtf8());
  File.close();
  E.Process_ = std::make_unique<QProcess>();
  const QString Log = Folder_.filePath(E.Name_ + ".log");
  E.Process_->setStandardOutputFile(Log, QIODevice::Append);
  E.Process_->setStandardErrorFile(Log, QIODevice::Append);
  // The process ends with the script, however that ends.
  E.Process_->setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  E.Process_->start("target/heathercrossd", {"--deployment", Settings});
  return E.Process_->waitForStarted(StartMs);
}

bool Deployment::start() {
  // Another process may take a free port before the entry listens on it.
  for (int Try = 0; Try < StartTries; ++Try)
    if (startAll())
      return true;
  return false;
}

bool Deployment::startAll() {
  for (Entry &E : Entries_) {
    if (E.Process_) {
      E.Process_->kill();
      E.Process_->waitForFinished(StartMs);
    }
    E.Front_ = freePort();
    E.Ready_ = freePort();
    E.Peers_ = freePort();
  }
  for (Entry &E : Entries_)
    if (!startProcess(E))
      return false;
  std::size_t Ready = 0;
  for (const Entry &E : Entries_) {
    bool Up = false;
    Ready +=
        runFor(StartMs,
               [&] {
                 standin::call({Loopback, E.Ready_}, "GET", "/-/readyz", {}, {},
                               500, [&Up](const standin::HttpResponse &R) {
                                 Up = Up || R.Status_ == 200;
                               });
                 runFor(600, [&] { return Up; });
                 return Up;
               })
            ? 1
            : 0;
  }
  return Ready == Entries_.size();
}

void Deployment::signal(std::size_t I, int Number) {
  Record_.line(QString("signal %1 to %2").arg(Number).arg(Entries_[I].Name_));
  ::kill(static_cast<pid_t>(Entries_[I].Process_->processId()), Number);
}

bool Deployment::restart(std::size_t I) {
  Entries_[I].Process_->waitForFinished(StartMs);
  Record_.line("start again " + Entries_[I].Name_);
  return startProcess(Entries_[I]);
}

std::size_t Deployment::indexOf(const QString &Holder) const {
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    if (Holder.startsWith(Entries_[I].Name_ + "/"))
      return I;
  return Entries_.size();
}

void Deployment::call(std::size_t I, const QByteArray &Method,
                      const QString &Path, const QByteArray &Body,
                      const Answered &Done) {
  const Entry &E = Entries_[I % Entries_.size()];
  const QString What =
      QString("%1 %2 at %3").arg(QString::fromUtf8(Method), Path, E.Name_);
  Record_.line("client sends " + What + " " +
               QString::fromUtf8(Body.left(160)));
  standin::call({Loopback, E.Front_}, Method, Path.toUtf8(), Body,
                {{"Content-Type", "application/json"},
                 {"Heathercross-Deadline-Ms", QByteArray::number(DeadlineMs)}},
                ClientTimeoutMs,
                [this, What, Done](const standin::HttpResponse &R) {
                  Record_.line(QString("client gets %1 for %2 %3")
                                   .arg(R.Status_)
                                   .arg(What, QString::fromUtf8(R.Body_)));
                  Done(R.Status_, R.Body_);
                });
}

void Deployment::callWithRetries(std::size_t I, const QByteArray &Method,
                                 const QString &Path, const QByteArray &Body,
                                 int Tries, const Answered &Done) {
  call(I, Method, Path, Body,
       [this, I, Method, Path, Body, Tries, Done](int Status,
                                                  const QByteArray &Answer) {
         const bool Final = (Status >= 200 && Status < 300) || Status == 404 ||
                            Status == 410 || Status == 400;
         if (Final || Tries <= 1)
           return Done(Status, Answer);
         QTimer::singleShot(
             RetryPauseMs, this, [this, I, Method, Path, Body, Tries, Done] {
               callWithRetries(I + 1, Method, Path, Body, Tries - 1, Done);
             });
       });
}

} // namespace heathercross::review
