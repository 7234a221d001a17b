// The entry process: creates its services and connects them.
#include "entry/entry.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QJsonDocument>

#include <algorithm>
#include <array>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace heathercross::entry {

namespace {

constexpr int Ok = 200;
constexpr int Unavailable = 503;

/// Maximum connections to one worker or peer; further calls are queued.
constexpr long WorkerConnections = 4;
constexpr long PeerConnections = 16;
/// Time until the load balancer stops sending requests: it checks readiness
/// each second and reacts to two failed checks.
constexpr Millis BalancerDelay{2600};
constexpr int StopCheckIntervalMs = 50;
/// A changed settings file is taken after two looks at most.
constexpr int WatchIntervalMs = 500;
/// In a planned stop the process exits at the latest this long before SIGKILL.
constexpr Millis KillMargin{500};

http::ServerLimits serverLimits() {
  http::ServerLimits L;
  L.MaxBody_ = 1_MiB;
  L.MaxConnections_ = 2000;
  return L;
}

EntryId makeIncarnation(const EntrySettings &S, const process::Clock &C) {
  return EntryId(S.Name_.str() + "/" +
                 std::to_string(C.wall().time_since_epoch().count()));
}

} // namespace

Entry::Entry(EntrySettings S, std::string SettingsFile)
    : Settings_(std::move(S)), SettingsFile_(std::move(SettingsFile)) {
  auto &Clock = Kernel_.add<process::Clock>("clock");
  auto &Log = Kernel_.add<process::EventLog>("event-log", STDOUT_FILENO);
  auto &Metrics = Kernel_.add<process::Metrics>("metrics");
  auto &StoreHttp = Kernel_.add<http::Client>("store-http");
  auto &WorkerHttp =
      Kernel_.add<http::Client>("worker-http", WorkerConnections);
  auto &PeerHttp = Kernel_.add<http::Client>("peer-http", PeerConnections);
  auto &Store = Kernel_.add<platform_api::Store>(
      "store", StoreHttp,
      platform_api::StoreConfig{Settings_.Store_.str(), {}, false});
  auto &Workers = Kernel_.add<platform_api::Workers>("workers", WorkerHttp);
  auto &Machines = Kernel_.add<platform_api::Machines>(
      "machines", StoreHttp, Settings_.Machines_.str());
  auto &AdviceService = Kernel_.add<platform_api::Advice>("advice", StoreHttp);
  auto &Advice = Kernel_.add<AdviceCalls>("advice-calls", AdviceService, Clock);
  Context_ = std::make_unique<Context>(
      Context{Settings_, makeIncarnation(Settings_, Clock), Clock, Log, Metrics,
              Store, Workers, Machines, Advice, PeerHttp});
  ClusterState::Handlers Handlers;
  Handlers.OnConfiguration_ = [this] {
    Kernel_.find<Duties>("duties").onConfiguration();
  };
  Handlers.OnWorkers_ = [this] { Kernel_.find<Duties>("duties").onWorkers(); };
  Handlers.OnDuties_ = [this] {
    Kernel_.find<Duties>("duties").onDuties();
    Kernel_.find<Front>("front").onDuties();
  };
  auto &State =
      Kernel_.add<ClusterState>("knowledge", *Context_, std::move(Handlers));
  auto &HeldDuties = Kernel_.add<Duties>("duties", *Context_, State);
  Kernel_.add<Front>("front", *Context_, State, HeldDuties);
  listen();
  State.start();
  connect(&WatchTimer_, &QTimer::timeout, this, [this] { watchSettings(); });
  WatchTimer_.start(WatchIntervalMs);
  Log.write("start", {{"entry", Context_->Incarnation_.str().c_str()},
                      {"zone", Settings_.Zone_.str().c_str()},
                      {"cpu_share", Settings_.CpuShare_},
                      {"front", Settings_.Front_.str().c_str()},
                      {"store", Settings_.Store_.str().c_str()}});
}

Entry::~Entry() = default;

void Entry::listen() {
  const auto Add = [this](const char *Name, const Endpoint &Address,
                          http::Server::Handler Handler) {
    Kernel_.add<http::Server>(Name, serverLimits(), std::move(Handler))
        .listen(QHostAddress(QString::fromStdString(Address.Host_)),
                Address.Port_);
  };
  auto &F = Kernel_.find<Front>("front");
  Add("front-server", Settings_.Front_,
      [&F](http::Request &&R, http::Responder &&To) {
        F.serve(std::move(R), std::move(To));
      });
  Add("ready-server", Settings_.Ready_,
      [this](http::Request &&R, http::Responder &&To) {
        serveReady(std::move(R), std::move(To));
      });
  Add("peer-server", Settings_.Peers_,
      [this](http::Request &&R, http::Responder &&To) {
        servePeers(std::move(R), std::move(To));
      });
}

bool Entry::ready() const {
  const auto &State = Kernel_.find<ClusterState>("knowledge");
  return !Stopping_ && State.configuration().has_value() && !State.isolated();
}

void Entry::serveReady(http::Request &&, http::Responder &&To) {
  http::Response R;
  R.Status_ = ready() ? Ok : Unavailable;
  R.Body_ = "{}";
  To.respond(R);
}

std::string Entry::metricsText() {
  auto &M = Kernel_.find<process::Metrics>("metrics");
  const auto &S = Kernel_.find<platform_api::Store>("store").counters();
  M.set("heathercross_store_reads", "Reads sent to the store.",
        static_cast<double>(S.Reads_));
  M.set("heathercross_store_writes", "Transactions sent to the store.",
        static_cast<double>(S.Writes_));
  for (const auto &[Outcome, Count] : S.Outcomes_) {
    std::string Name = platform_api::outcomeName(Outcome);
    std::ranges::replace(Name, '-', '_');
    M.set("heathercross_store_" + Name, "Calls to the store that ended so.",
          static_cast<double>(Count));
  }
  M.set("heathercross_log_lines_dropped", "Log lines that were left out.",
        static_cast<double>(
            Kernel_.find<process::EventLog>("event-log").dropped()));
  M.set("heathercross_calls_pending", "Calls of callers without an answer.",
        static_cast<double>(Kernel_.find<Front>("front").pending()));
  const auto &C = Kernel_.find<ClusterState>("knowledge").configuration();
  M.set("heathercross_configuration_version", "The configuration in force.",
        C ? static_cast<double>(C->Version_) : 0);
  M.set("heathercross_interfering_pairs",
        "Pairs of images that are known to slow each other down.",
        static_cast<double>(Kernel_.find<Duties>("duties").interferingPairs()));
  return M.text();
}

void Entry::servePeers(http::Request &&R, http::Responder &&To) {
  http::Response Out;
  if (R.Path_ == "/metrics") {
    Out.Type_ = "text/plain; version=0.0.4";
    Out.Body_ = QByteArray::fromStdString(metricsText());
    To.respond(Out);
    return;
  }
  if (R.Path_ == "/dump") {
    QJsonObject All = Kernel_.find<Duties>("duties").dump();
    All["entry"] = Context_->Incarnation_.str().c_str();
    All["ready"] = ready();
    All["stopping"] = Stopping_;
    Out.Body_ = QJsonDocument(All).toJson(QJsonDocument::Compact);
    To.respond(Out);
    return;
  }
  Kernel_.find<Front>("front").servePeer(std::move(R), std::move(To));
}

void Entry::stop() {
  if (std::exchange(Stopping_, true))
    return;
  StopAt_ = Context_->Clock_.now();
  Context_->Log_.write(
      "stop-began", {{"pending", static_cast<qint64>(
                                     Kernel_.find<Front>("front").pending())}});
  Kernel_.find<Duties>("duties").stop([this] { HandedOver_ = true; });
  auto *Check = new QTimer(this);
  connect(Check, &QTimer::timeout, this, [this] { checkStop(); });
  Check->start(StopCheckIntervalMs);
}

void Entry::checkStop() {
  const Micros Elapsed = Context_->Clock_.now() - StopAt_;
  // The load balancer sends no more requests by now; those that still arrive
  // on open connections are rejected.
  if (Elapsed > BalancerDelay)
    Kernel_.find<Front>("front").close();
  const auto Pending = Kernel_.find<Front>("front").pending();
  const bool OpenRequests = std::ranges::any_of(
      std::array{"front-server", "peer-server"}, [this](const char *Name) {
        return Kernel_.find<http::Server>(Name).hasOpenRequests();
      });
  const bool Drained =
      HandedOver_ && Pending == 0 && !OpenRequests && Elapsed > BalancerDelay;
  if (!Drained && Elapsed < Settings_.StopGrace_ - KillMargin)
    return;
  Context_->Log_.write(
      "stop", {{"pending", static_cast<qint64>(Pending)},
               {"took_ms", static_cast<qint64>(toMillis(Elapsed).count())}});
  Context_->Log_.flush();
  QCoreApplication::exit(0);
}

void Entry::reload() {
  try {
    const std::string Text = readSettingsFile(SettingsFile_);
    Watch_.read(Text);
    applySettings(Text, "signal");
  } catch (const settings::SettingsError &E) {
    Context_->Log_.write("reload", {{"outcome", "kept"}, {"error", E.what()}});
  }
}

void Entry::watchSettings() {
  try {
    std::string Text = readSettingsFile(SettingsFile_);
    if (Watch_.look(Text))
      applySettings(Text, "file");
  } catch (const settings::SettingsError &) {
    // The file may be about to be replaced; what is in force stays so.
  }
}

void Entry::applySettings(const std::string &Text, const char *Cause) {
  QJsonObject F{{"cause", Cause}};
  try {
    const auto Change =
        applyChange(Settings_, parseEntrySettings(Text, SettingsFile_));
    // After a start, the first look finds what is in force already.
    if (Change == SettingsChange::None && Cause == std::string_view("file"))
      return;
    Context_->Store_.setAddress(Settings_.Store_.str());
    Context_->Machines_.setAddress(Settings_.Machines_.str());
    F["outcome"] = "applied";
    F["needs_restart"] = Change == SettingsChange::NeedsRestart;
  } catch (const settings::SettingsError &E) {
    F["outcome"] = "kept";
    F["error"] = E.what();
  }
  Context_->Log_.write("reload", F);
}

} // namespace heathercross::entry
