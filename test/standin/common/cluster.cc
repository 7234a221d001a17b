// Runs the platform stand-in, worker stand-ins and entries of one test on
// loopback.
#include "standin/common/cluster.h"

#include "standin/common/http.h"
#include "support/free-port.h"

#include <QCryptographicHash>
#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QTcpSocket>
#include <QThread>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace heathercross::standin {
namespace {

using test::freePort;

constexpr int StartTimeoutMs = 10000;
constexpr int CallTimeoutMs = 3000;
constexpr int PollMs = 50;
constexpr int LoadExitTimeoutMs = 60000;

std::string binaryPath(const std::string &Name) {
  const char *Folder = std::getenv("HEATHERCROSS_BIN");
  return std::string(Folder ? Folder : ".") + '/' + Name;
}

std::string readFile(const std::string &Name) {
  std::ifstream In(Name);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

void writeSecret(const std::string &Name, const std::string &Text) {
  std::ofstream(Name) << Text;
  QFile::setPermissions(QString::fromStdString(Name),
                        QFile::ReadOwner | QFile::WriteOwner);
}

/// Sends one request and blocks until its answer arrives.
Reply exchange(quint16 Port, const char *Method, const std::string &Path,
               const QJsonObject &Body, const std::string &Token) {
  QTcpSocket Socket;
  Socket.connectToHost(QHostAddress(QHostAddress::LocalHost), Port);
  if (!Socket.waitForConnected(CallTimeoutMs))
    return {};
  const QByteArray Text = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  QByteArray Bytes = QByteArray(Method) + ' ' +
                     QByteArray::fromStdString(Path) +
                     " HTTP/1.1\r\nHost: test\r\n";
  if (!Token.empty())
    Bytes +=
        "Authorization: Bearer " + QByteArray::fromStdString(Token) + "\r\n";
  Bytes += "Content-Length: " + QByteArray::number(Text.size()) + "\r\n\r\n";
  Socket.write(Bytes + Text);
  QByteArray Buffer;
  HttpResponse Response;
  while (extractResponse(Buffer, Response) != ParseStatus::Complete) {
    if (!Socket.waitForReadyRead(CallTimeoutMs))
      return {};
    Buffer += Socket.readAll();
  }
  return {Response.Status_, QJsonDocument::fromJson(Response.Body_).object()};
}

std::vector<int> parsePorts(const std::string &Text) {
  std::vector<int> Ports;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with("port "))
      Ports.push_back(std::stoi(Line.substr(5)));
  return Ports;
}

void endProcess(const std::unique_ptr<QProcess> &Process) {
  if (!Process || Process->state() == QProcess::NotRunning)
    return;
  ::kill(static_cast<pid_t>(Process->processId()), SIGCONT);
  Process->kill();
  Process->waitForFinished(StartTimeoutMs);
}

} // namespace

Cluster::Cluster(const ClusterOptions &Options) : Options_(Options) {
  History_.open(path("test.history"));
  writeSecrets();
  for (const std::string &Zone : Options_.Zones_)
    for (int I = 1; I <= Options_.EntriesPerZone_; ++I) {
      EntryProcess &E = Entries_.emplace_back();
      E.Name_ = Zone + std::to_string(I);
      E.Zone_ = Zone;
      E.Port_ = freePort();
      E.PeerPort_ = freePort();
    }
}

Cluster::~Cluster() {
  for (const auto &[Name, Load] : Loads_)
    endProcess(Load);
  for (const EntryProcess &E : Entries_)
    endProcess(E.Process_);
  for (const auto &W : WorkerProcesses_)
    endProcess(W);
  endProcess(Platform_);
  if (std::getenv("HEATHERCROSS_KEEP")) {
    Folder_.setAutoRemove(false);
    std::cerr << "kept " << Folder_.path().toStdString() << '\n';
  }
}

std::string Cluster::path(const std::string &Name) const {
  return Folder_.filePath(QString::fromStdString(Name)).toStdString();
}

std::string Cluster::historyPath(const std::string &Name) const {
  return Options_.WriteHistories_ ? path(Name + ".history") : "";
}

std::unique_ptr<QProcess>
Cluster::launch(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &Name) {
  auto Process = std::make_unique<QProcess>();
  QStringList List;
  for (const std::string &A : Arguments)
    List.append(QString::fromStdString(A));
  Process->setStandardOutputFile(QString::fromStdString(path(Name + ".out")));
  Process->setStandardErrorFile(QString::fromStdString(path(Name + ".log")),
                                QIODevice::Append);
  Process->start(QString::fromStdString(binaryPath(Program)), List);
  Process->waitForStarted(StartTimeoutMs);
  return Process;
}

void Cluster::writeSecrets() {
  writeSecret(path("peer.key"), std::string(64, '7'));
  std::string Lines;
  for (const auto &[Name, Kind] :
       std::map<std::string, std::string>{{"ada", "operator"},
                                          {"ben", "operator"},
                                          {"cleo", "operator"},
                                          {"team", "team"}}) {
    const std::string Token = Name + "-0123456789abcdef0123456789abcdef";
    Tokens_[Name] = Token;
    Lines += QCryptographicHash::hash(QByteArray::fromStdString(Token),
                                      QCryptographicHash::Sha256)
                 .toHex()
                 .toStdString();
    Lines.append(1, ' ').append(Kind).append(1, ' ').append(Name);
    Lines += '\n';
  }
  writeSecret(path("tokens"), Lines);
}

std::string Cluster::entrySettings(const EntryProcess &E) const {
  std::string Peers;
  for (const EntryProcess &Other : Entries_)
    if (&Other != &E)
      Peers += (Peers.empty() ? "127.0.0.1:" : ", 127.0.0.1:") +
               std::to_string(Other.PeerPort_);
  std::ostringstream Out;
  Out << "[entry]\nid = " << E.Name_ << "\nzone = " << E.Zone_
      << "\nlisten = 127.0.0.1:" << E.Port_
      << "\nstop_grace_ms = 1000\ndrain_deadline_ms = 10000\n"
      << "[peer]\nlisten = 127.0.0.1:" << E.PeerPort_
      << "\nkey_file = " << path("peer.key") << "\nheartbeat_ms = 200\n"
      << (Peers.empty() ? "" : "peers = " + Peers + '\n')
      << "[platform]\naddress = 127.0.0.1:" << PlatformPort_
      << "\npoll_ms = 500\ntimeout_ms = 500\n[access]\ntokens_file = "
      << path("tokens")
      << "\n[committee]\nmembers = ada, ben, cleo\nchair = ben\n"
      << "[history]\nfile = " << historyPath(E.Name_)
      << "\n[cut]\nswitch_file = " << path(E.Name_ + ".cut") << '\n'
      << Options_.ExtraSettings_;
  return Out.str();
}

bool Cluster::startPlatform() {
  Platform_ = launch("standin-platform",
                     {"--lag_ms", std::to_string(Options_.InstanceListLagMs_),
                      "--seed", std::to_string(Options_.Seed_), "--history",
                      path("platform.history")},
                     "platform");
  return waitFor(
      [this] {
        const auto Ports = parsePorts(readFile(path("platform.out")));
        PlatformPort_ =
            Ports.empty() ? quint16{0} : static_cast<quint16>(Ports.front());
        return PlatformPort_ != 0;
      },
      StartTimeoutMs);
}

bool Cluster::startWorkers(const std::string &Zone) {
  const std::string Name = "workers-" + Zone;
  WorkerProcesses_.push_back(launch(
      "standin-worker",
      {"--platform", "127.0.0.1:" + std::to_string(PlatformPort_), "--count",
       std::to_string(Options_.WorkersPerZone_), "--zone", Zone, "--reboot_ms",
       std::to_string(Options_.RebootMs_), "--history", historyPath(Name)},
      Name));
  std::vector<int> Ports;
  const bool Ready = waitFor(
      [&] {
        Ports = parsePorts(readFile(path(Name + ".out")));
        return Ports.size() ==
               static_cast<std::size_t>(Options_.WorkersPerZone_);
      },
      StartTimeoutMs);
  for (std::size_t I = 0; I < Ports.size(); ++I)
    Workers_.push_back({"w-" + Zone + '-' + std::to_string(I), Zone,
                        static_cast<quint16>(Ports[I])});
  return Ready;
}

bool Cluster::start() {
  if (!startPlatform())
    return false;
  for (const std::string &Zone : Options_.Zones_)
    if (!startWorkers(Zone))
      return false;
  for (EntryProcess &E : Entries_)
    startEntry(E);
  return std::ranges::all_of(
      Entries_, [this](const EntryProcess &E) { return waitReady(E); });
}

void Cluster::startEntry(EntryProcess &E) {
  const std::string File = path(E.Name_ + ".ini");
  std::ofstream(File) << entrySettings(E);
  E.Process_ = launch("heathercrossd", {"--settings", File}, E.Name_);
  record("entry-start", std::to_string(E.Port_));
}

void Cluster::killEntry(EntryProcess &E) {
  record("entry-kill", std::to_string(E.Port_));
  E.Process_->kill();
  E.Process_->waitForFinished(StartTimeoutMs);
}

void Cluster::freezeEntry(EntryProcess &E) {
  record("entry-freeze", std::to_string(E.Port_));
  ::kill(static_cast<pid_t>(E.Process_->processId()), SIGSTOP);
}

void Cluster::thawEntry(EntryProcess &E) {
  record("entry-thaw", std::to_string(E.Port_));
  ::kill(static_cast<pid_t>(E.Process_->processId()), SIGCONT);
}

bool Cluster::stopEntry(EntryProcess &E, int TimeoutMs) {
  record("entry-stop", std::to_string(E.Port_));
  E.Process_->terminate();
  return E.Process_->waitForFinished(TimeoutMs);
}

bool Cluster::waitReady(const EntryProcess &E, int TimeoutMs) {
  return waitFor(
      [&] {
        return exchange(E.Port_, "GET", "/readyz", {}, {}).Status_ == 200;
      },
      TimeoutMs);
}

void Cluster::cutPeers(EntryProcess &E,
                       const std::vector<EntryProcess *> &Others) {
  std::ofstream Out(path(E.Name_ + ".cut"));
  for (const EntryProcess *Other : Others)
    Out << "127.0.0.1:" << Other->PeerPort_ << '\n';
}

Reply Cluster::callEntry(const EntryProcess &E, const char *Method,
                         const std::string &Path, const QJsonObject &Body,
                         const std::string &Caller) {
  return exchange(E.Port_, Method, Path, Body, Tokens_[Caller]);
}

Reply Cluster::platformFault(const QJsonObject &Fault) {
  return exchange(PlatformPort_, "POST", "/fault", Fault, {});
}

Reply Cluster::platformStats() {
  return exchange(PlatformPort_, "GET", "/stats", {}, {});
}

Reply Cluster::workerCall(const WorkerAddress &W, const std::string &Path,
                          const QJsonObject &Body) {
  return exchange(W.Port_, "POST", Path, Body, {});
}

Reply Cluster::workerFault(const WorkerAddress &W, const QJsonObject &Fault) {
  return workerCall(W, "/fault", Fault);
}

QJsonObject Cluster::expectedVersions(const QJsonArray &Changes,
                                      const QJsonObject &View) const {
  const QJsonObject Versions = View["versions"].toObject();
  QJsonObject Expected;
  for (const auto &Change : Changes)
    for (const QString &Kind : Change.toObject().keys()) {
      const QJsonObject Object = Change[Kind].toObject();
      const char *Name = Kind == "budget"  ? "pool"
                         : Kind == "quota" ? "team"
                                           : "name";
      const QString VersionKey =
          Kind + '/' + Object[QLatin1String(Name)].toString();
      if (Versions.contains(VersionKey))
        Expected[VersionKey] = Versions[VersionKey];
    }
  return Expected;
}

int Cluster::ticketNumber(const QJsonObject &View) {
  LastTicket_ = std::max(LastTicket_, View["head"].toInt()) + 1;
  return LastTicket_;
}

std::string Cluster::tryTicket(const QJsonArray &Changes, const EntryProcess &E,
                               int &Number) {
  const QJsonObject View = callEntry(E, "GET", "/v1/view", {}, "ada").Body_;
  if (Number == 0)
    Number = ticketNumber(View);
  const QJsonObject Body{
      {"number", Number},
      {"text", QJsonObject{{"changes", Changes},
                           {"against", expectedVersions(Changes, View)}}}};
  const std::string Votes = "/v1/tickets/" + std::to_string(Number) + "/votes";
  const Reply Submitted = callEntry(E, "POST", "/v1/tickets", Body, "ada");
  callEntry(E, "POST", Votes, {{"vote", "yes"}}, "ada");
  const Reply R = callEntry(E, "POST", Votes, {{"vote", "yes"}}, "ben");
  std::string State = R.Body_["state"].toString().toStdString();
  const bool NumberUsedUp = Submitted.Status_ == 409 || State == "conflicted";
  if (NumberUsedUp)
    Number = 0;
  return State;
}

bool Cluster::submitTicket(const QJsonArray &Changes, std::size_t Entry) {
  int Number = 0;
  return waitFor(
      [&] { return tryTicket(Changes, Entries_[Entry], Number) == "accepted"; },
      StartTimeoutMs);
}

QJsonArray Cluster::instances(const EntryProcess &E) {
  return callEntry(E, "GET", "/v1/instances", {}, "ada")
      .Body_["instances"]
      .toArray();
}

int Cluster::activeInstances(const EntryProcess &E, const std::string &Pool) {
  int Count = 0;
  const QJsonArray Instances = instances(E);
  for (const QJsonValue I : Instances)
    if (I["pool"].toString().toStdString() == Pool &&
        I["state"].toString() == "active")
      ++Count;
  return Count;
}

bool Cluster::createPool(const std::string &Pool, int Size, int MinAvailable) {
  const QString Name = QString::fromStdString(Pool);
  const QJsonArray Changes{
      QJsonObject{{"pool", QJsonObject{{"name", Name}, {"size", Size}}}},
      QJsonObject{{"budget", QJsonObject{{"pool", Name},
                                         {"min_available", MinAvailable}}}}};
  const auto IsFilled = [&] {
    return std::ranges::all_of(Entries_, [&](const EntryProcess &E) {
      return activeInstances(E, Pool) >= Size;
    });
  };
  return submitTicket(Changes) && waitFor(IsFilled, StartTimeoutMs);
}

std::string Cluster::targets() const {
  std::string Out;
  for (const EntryProcess &E : Entries_)
    Out +=
        (Out.empty() ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(E.Port_);
  return Out;
}

void Cluster::startLoad(const std::vector<std::string> &Flags,
                        const std::string &Name) {
  std::vector<std::string> All{"--targets",
                               targets(),
                               "--token",
                               Tokens_["team"],
                               "--history",
                               historyPath(Name),
                               "--name",
                               Name,
                               "--json",
                               "--seed",
                               std::to_string(Options_.Seed_)};
  All.insert(All.end(), Flags.begin(), Flags.end());
  Loads_[Name] = launch("standin-load", All, Name);
}

QJsonObject Cluster::waitForLoad(const std::string &Name) {
  Loads_[Name]->waitForFinished(LoadExitTimeoutMs);
  return QJsonDocument::fromJson(
             QByteArray::fromStdString(readFile(path(Name + ".out"))))
      .object();
}

void Cluster::record(const char *Kind, const std::string &Id) {
  HistoryLine Line("test", Kind, Id);
  History_.write(Line);
}

HistoryEvents Cluster::history() const {
  HistoryEvents All;
  int BadLines = 0;
  const QDir Folder(Folder_.path());
  for (const QString &Name : Folder.entryList({"*.history"})) {
    // The checker relies on the records of callers, workers and the platform
    // only: an entry's records of itself are no evidence.
    const bool IsEntryHistory =
        std::ranges::any_of(Entries_, [&](const EntryProcess &E) {
          return Name.toStdString() == E.Name_ + ".history";
        });
    if (IsEntryHistory)
      continue;
    auto Events = parseHistory(readFile(path(Name.toStdString())), BadLines);
    All.insert(All.end(), std::make_move_iterator(Events.begin()),
               std::make_move_iterator(Events.end()));
  }
  sortHistory(All);
  return All;
}

bool Cluster::waitFor(const std::function<bool()> &Condition, int TimeoutMs) {
  const std::int64_t End = nowMicros() + TimeoutMs * std::int64_t{1000};
  while (!Condition()) {
    if (nowMicros() > End)
      return false;
    sleepMs(PollMs);
  }
  return true;
}

void Cluster::sleepMs(int Ms) {
  QThread::msleep(static_cast<unsigned long>(Ms));
}

} // namespace heathercross::standin
