// Creates and connects the services of one entry instance.
#include "daemon/daemon.h"

#include "access/access.h"
#include "access/secret-file.h"
#include "daemon/api.h"
#include "daemon/control-service.h"
#include "daemon/cut-switch.h"
#include "daemon/error-response.h"
#include "daemon/fleet-api.h"
#include "daemon/fleet-feed.h"
#include "daemon/history.h"
#include "daemon/job-runner.h"
#include "daemon/job-service.h"
#include "daemon/load-sampler.h"
#include "daemon/peer-service.h"
#include "daemon/request-service.h"
#include "daemon/ticket-service.h"
#include "daemon/view-service.h"
#include "daemon/worker-client.h"
#include "http/http-client.h"
#include "http/http-server.h"
#include "process/clock.h"
#include "process/metrics.h"
#include "store/table-client.h"
#include "view/codec.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTimer>

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <iterator>
#include <random>

namespace heathercross::daemon {

namespace {

constexpr int DrainCheckMs = 50;

/// Returns the start time, which distinguishes the incarnations of an entry.
std::uint64_t newIncarnation() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Micros>(Now).count());
}

std::uint64_t seedOf(const settings::Settings &S) {
  return S.Entry_.Seed_ ? S.Entry_.Seed_ : std::random_device()();
}

request::Config requestConfig(const settings::Settings &S,
                              std::uint64_t Incarnation) {
  request::Config C;
  C.Entry_ = S.Entry_.Id_;
  C.Zone_ = S.Entry_.Zone_;
  C.Seed_ = Incarnation;
  C.Policy_ = static_cast<request::PickerPolicy>(S.Request_.Picker_);
  C.Overflow_ = S.Request_.Overflow_;
  C.QueueLimit_ = S.Request_.QueueLimit_;
  C.RetryShare_ = S.Request_.RetryPercent_ / 100.0;
  return C;
}

http::ServerLimits serverLimits(const settings::Settings &S) {
  http::ServerLimits L;
  L.MaxBody_ = S.Request_.MaxBody_;
  L.MaxConnections_ = S.Request_.MaxConnections_;
  L.ArrivalTimeout_ = S.Request_.HeaderTimeout_;
  return L;
}

platform_api::StoreConfig storeConfig(const settings::Settings &S) {
  return {
      S.Platform_.Address_.str(),
      {"X-Zone: " + S.Entry_.Zone_.str(), "X-Process: " + S.Entry_.Id_.str()},
      true};
}

FeedConfig feedConfig(const settings::Settings &S) {
  FeedConfig C;
  C.Entry_ = S.Entry_.Id_;
  C.Zone_ = S.Entry_.Zone_;
  C.PollInterval_ = S.Platform_.Poll_;
  C.Seed_ = seedOf(S);
  return C;
}

view::Committee committee(const settings::Settings &S) {
  return {{S.Committee_.Members_.begin(), S.Committee_.Members_.end()},
          S.Committee_.Chair_};
}

PeerConfig peerConfig(const settings::Settings &S, std::uint64_t Incarnation) {
  PeerConfig C;
  C.Self_ = {S.Entry_.Id_, S.Entry_.Zone_, S.Peer_.Listen_.str(), Incarnation};
  std::ranges::transform(S.Peer_.Peers_, std::back_inserter(C.Seeds_),
                         &Endpoint::str);
  C.Seed_ = seedOf(S);
  C.Membership_.Interval_ = S.Peer_.Heartbeat_;
  C.Membership_.ZoneFanOut_ = S.Peer_.Fanout_;
  return C;
}

/// Parses a ticket number in a path. Throws FormatError.
TicketNumber ticketNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Value == 0)
    raise(FormatError("ticket number", "must be a positive number"));
  return TicketNumber(Value);
}

ControlConfig controlConfig(const settings::Settings &S,
                            std::uint64_t Incarnation) {
  ControlConfig C;
  C.Entry_ = S.Entry_.Id_;
  C.Incarnation_ = Incarnation;
  C.LeaseDuration_ = S.Control_.Lease_;
  C.StepInterval_ = S.Control_.Step_;
  C.WaveStep_ = S.Control_.Wave_;
  C.Moves_ = S.Control_.Moves_;
  return C;
}

} // namespace

Daemon::Daemon(const settings::Settings &S) : Settings_(S) {
  const std::uint64_t Incarnation = newIncarnation();
  const std::string Name = S.Entry_.Id_.str();
  auto &C = Kernel_.add<process::Clock>("clock");
  auto &H = Kernel_.add<History>("history", S.History_.File_, Name);
  auto &M = Kernel_.add<process::Metrics>("metrics");
  auto &A = Kernel_.add<access::Authenticator>(
      "access", access::loadTokens(S.Access_.TokensFile_));
  auto &Http = Kernel_.add<http::Client>("http-client");
  auto &Store = Kernel_.add<platform_api::Store>("store", Http, storeConfig(S));
  auto &Platform =
      Kernel_.add<store::TableClient>("platform", Store, S.Platform_.Timeout_);
  auto &Workers = Kernel_.add<WorkerClient>("workers", Http);
  auto &Views = Kernel_.add<ViewService>(
      "view", ViewConfig{S.Platform_.Poll_, seedOf(S)}, C, H, Platform);
  Kernel_.add<FleetFeed>("fleet", feedConfig(S), C, H, Platform, Workers,
                         Views);
  Kernel_.add<TicketService>("tickets",
                             Name + "-" + std::to_string(Incarnation),
                             committee(S), H, Platform, Views);
  RequestLimits Limits;
  Limits.DefaultWindow_ = S.Request_.DefaultWindow_;
  Kernel_.add<RequestService>("requests",
                              RequestDependencies{C, H, M, Platform, Workers},
                              requestConfig(S, Incarnation), Limits,
                              Name + "-" + std::to_string(Incarnation));
  auto &Feed = Kernel_.find<FleetFeed>("fleet");
  Kernel_.add<ControlService>("control", controlConfig(S, Incarnation), C, H, M,
                              Platform, Workers, Feed);
  auto &Peers = Kernel_.add<PeerService>(
      "peers", peerConfig(S, Incarnation),
      peer::PeerKey(access::readSecretFile(S.Peer_.KeyFile_)), C, M, Views,
      Feed);
  Kernel_.add<FleetApi>("fleet-api", C, Platform, Views, Feed);
  const std::string RunId = Name + "-" + std::to_string(Incarnation);
  auto &Index = Kernel_.add<JobIndex>("job-index", Platform);
  Kernel_.add<JobService>("jobs", RunId, H, Platform, Feed, Index);
  Kernel_.add<JobRunner>("job-runner", RunId, C, H, M, Platform, Workers, Feed,
                         Kernel_.find<ControlService>("control"), Index);
  Kernel_.add<CutSwitch>("cut", S.Cut_.SwitchFile_,
                         [this](const std::set<std::string> &BlockedAddresses) {
                           applyNetworkPartition(BlockedAddresses);
                         });
  Kernel_.add<LoadSampler>("load", Kernel_.find<RequestService>("requests"),
                           Feed, Peers,
                           Kernel_.find<ControlService>("control"));
  Kernel_.add<Api>("api", A, M);
  connectServices();
  addRoutes();
  addTicketRoutes();
  addJobRoutes();
  auto &Routes = Kernel_.find<Api>("api");
  auto &Server = Kernel_.add<http::Server>(
      "http-server", serverLimits(S),
      [&Routes](http::Request &&R, http::Responder &&Responder) {
        Routes.serve(std::move(R), std::move(Responder));
      });
  Server.listen(QHostAddress(QString::fromStdString(S.Entry_.Listen_.Host_)),
                S.Entry_.Listen_.Port_);
  Peers.listen(QHostAddress(QString::fromStdString(S.Peer_.Listen_.Host_)),
               S.Peer_.Listen_.Port_);
  H.write("start", Name, {{"zone", S.Entry_.Zone_.str().c_str()}});
  LOG(INFO) << "event=start entry=" << Name << " zone=" << S.Entry_.Zone_.str()
            << " listen=" << S.Entry_.Listen_.str();
}

Daemon::~Daemon() = default;

void Daemon::connectServices() {
  auto &Feed = Kernel_.find<FleetFeed>("fleet");
  auto &Requests = Kernel_.find<RequestService>("requests");
  Feed.onFleet(
      [&Requests](request::Fleet F) { Requests.setFleet(std::move(F)); });
  Feed.onReport([&Requests](const request::WorkerReport &R) {
    Requests.handleReport(R);
  });
  Requests.onReport(
      [&Feed](const request::WorkerReport &R) { Feed.recordReport(R); });
  auto &Views = Kernel_.find<ViewService>("view");
  Views.onChange([&Feed] { Feed.schedulePublish(); });
  auto &Peers = Kernel_.find<PeerService>("peers");
  auto &Control = Kernel_.find<ControlService>("control");
  Peers.onEntries([&] {
    Feed.setZoneEntries(Peers.zoneEntries());
    Control.setEntries(Peers.dutyEntries());
  });
  Views.start();
  Feed.start();
  Control.start();
  auto &Runner = Kernel_.find<JobRunner>("job-runner");
  Runner.start();
  Kernel_.find<LoadSampler>("load").start();
  Kernel_.find<JobService>("jobs").onAccepted([&Runner] { Runner.pollSoon(); });
}

void Daemon::applyNetworkPartition(
    const std::set<std::string> &BlockedAddresses) {
  Kernel_.find<store::TableClient>("platform")
      .setCut(BlockedAddresses.contains(Settings_.Platform_.Address_.str()));
  Kernel_.find<WorkerClient>("workers").setBlockedAddresses(
      {BlockedAddresses.begin(), BlockedAddresses.end()});
  Kernel_.find<PeerService>("peers").setBlockedAddresses(BlockedAddresses);
}

bool Daemon::ready() const {
  return !Stopping_ && Kernel_.find<FleetFeed>("fleet").ready();
}

void Daemon::requireView() const {
  // Until then, a caller could see an older head than at another entry.
  if (!Kernel_.find<FleetFeed>("fleet").ready())
    raise(NotReady());
}

http::Response Daemon::dump() const {
  QJsonObject All;
  for (const auto &[Name, Text] : Kernel_.dump())
    All[QString::fromStdString(Name)] =
        QJsonDocument::fromJson(QByteArray::fromStdString(Text)).object();
  All["entry"] = QString::fromStdString(Settings_.Entry_.Id_.str());
  All["zone"] = QString::fromStdString(Settings_.Entry_.Zone_.str());
  All["stopping"] = Stopping_;
  return jsonResponse(200, All);
}

void Daemon::addRoutes() {
  auto &A = Kernel_.find<Api>("api");
  auto &Requests = Kernel_.find<RequestService>("requests");
  auto &M = Kernel_.find<process::Metrics>("metrics");
  A.addOpen("GET", "/livez", [](ApiCall C) {
    C.Responder_.respond(jsonResponse(200, {{"live", true}}));
  });
  A.addOpen("GET", "/readyz", [this](ApiCall C) {
    const bool Ready = ready();
    C.Responder_.respond(
        jsonResponse(Ready ? 200 : Unavailable, {{"ready", Ready}}));
  });
  A.add("GET", "/metrics", access::Right::Metrics, [this, &M](ApiCall C) {
    sampleMetrics();
    http::Response R;
    R.Type_ = "text/plain; version=0.0.4";
    R.Body_ = QByteArray::fromStdString(M.text());
    C.Responder_.respond(R);
  });
  A.add("GET", "/dump", access::Right::Dump,
        [this](ApiCall C) { C.Responder_.respond(dump()); });
  A.add("POST", "/v1/requests/*", access::Right::Call, [&Requests](ApiCall C) {
    Requests.accept(std::move(C.Request_), C.Responder_,
                    TeamId(C.Caller_.Name_), PoolId(C.PathParts_[0]));
  });
  auto &Fleet = Kernel_.find<FleetApi>("fleet-api");
  A.add("GET", "/v1/view", access::Right::ReadView, [this, &Fleet](ApiCall C) {
    requireView();
    C.Responder_.respond(jsonResponse(200, Fleet.view()));
  });
  A.add("GET", "/v1/pools", access::Right::ReadView, [this, &Fleet](ApiCall C) {
    requireView();
    C.Responder_.respond(jsonResponse(200, Fleet.pools()));
  });
  A.add("GET", "/v1/instances", access::Right::ReadView,
        [this, &Fleet](ApiCall C) {
          requireView();
          C.Responder_.respond(jsonResponse(200, Fleet.instances()));
        });
  A.add("GET", "/v1/waves", access::Right::ReadView,
        [&Fleet](const ApiCall &C) { Fleet.waves(C.Responder_); });
}

void Daemon::addTicketRoutes() {
  auto &A = Kernel_.find<Api>("api");
  auto &Tickets = Kernel_.find<TicketService>("tickets");
  A.add("POST", "/v1/tickets", access::Right::ManageTickets,
        [&Tickets](const ApiCall &C) {
          Tickets.submit(C.Request_, C.Responder_, OperatorId(C.Caller_.Name_));
        });
  A.add("POST", "/v1/tickets/*/votes", access::Right::ManageTickets,
        [&Tickets](const ApiCall &C) {
          Tickets.vote(ticketNumber(C.PathParts_[0]), C.Request_, C.Responder_,
                       OperatorId(C.Caller_.Name_));
        });
  A.add("GET", "/v1/tickets/*", access::Right::ReadView,
        [&Tickets](const ApiCall &C) {
          Tickets.show(ticketNumber(C.PathParts_[0]), C.Responder_);
        });
  A.add("GET", "/v1/tickets", access::Right::ReadView,
        [&Tickets](const ApiCall &C) { Tickets.list(C.Responder_); });
}

void Daemon::addJobRoutes() {
  auto &A = Kernel_.find<Api>("api");
  auto &Jobs = Kernel_.find<JobService>("jobs");
  A.add("POST", "/v1/jobs", access::Right::Call, [&Jobs](const ApiCall &C) {
    Jobs.submit(C.Request_, C.Responder_, TeamId(C.Caller_.Name_));
  });
  A.add("POST", "/v1/jobs/cancel", access::Right::Call,
        [&Jobs](const ApiCall &C) {
          Jobs.cancel(C.Request_, C.Responder_, TeamId(C.Caller_.Name_));
        });
  A.add("GET", "/v1/jobs", access::Right::Call, [&Jobs](const ApiCall &C) {
    const std::string State = C.Request_.parameter("state").toStdString();
    Jobs.list(State, C.Responder_, TeamId(C.Caller_.Name_));
  });
  A.add("GET", "/v1/jobs/*", access::Right::Call, [&Jobs](const ApiCall &C) {
    Jobs.show(JobId(C.PathParts_[0]), C.Responder_, TeamId(C.Caller_.Name_));
  });
  A.add("GET", "/v1/jobs/*/result", access::Right::Call,
        [&Jobs](const ApiCall &C) {
          Jobs.result(JobId(C.PathParts_[0]), C.Responder_,
                      TeamId(C.Caller_.Name_));
        });
}

void Daemon::sampleMetrics() {
  auto &M = Kernel_.find<process::Metrics>("metrics");
  const auto &Requests = Kernel_.find<RequestService>("requests");
  const auto &Feed = Kernel_.find<FleetFeed>("fleet");
  const auto &Platform = Kernel_.find<store::TableClient>("platform");
  M.set("heathercross_requests_open", "Requests without an answer.",
        static_cast<double>(Requests.pending()));
  M.set("heathercross_requests_queued", "Requests that wait for a worker.",
        static_cast<double>(Requests.dispatcher().queued()));
  M.set("heathercross_view_head", "The ticket that is in force here.",
        static_cast<double>(Feed.view().Head_.value()));
  M.set("heathercross_platform_reads", "Reads sent to the platform.",
        static_cast<double>(Platform.counters().Reads_));
  M.set("heathercross_platform_writes", "Writes sent to the platform.",
        static_cast<double>(Platform.counters().Writes_));
  M.set("heathercross_platform_failures",
        "Calls to the platform without an answer.",
        static_cast<double>(Platform.counters().Failures_));
}

// Planned stop.

void Daemon::stop() {
  auto &Requests = Kernel_.find<RequestService>("requests");
  if (Stopping_)
    return exitNow("second-signal", Requests.pending());
  Stopping_ = true;
  LOG(INFO) << "event=stop-began open=" << Requests.pending();
  Kernel_.find<History>("history").write("stop-began",
                                         Settings_.Entry_.Id_.str());
  Kernel_.find<ControlService>("control").stop();
  Kernel_.find<PeerService>("peers").beginStop();
  // Requests are served until the load balancer had time to see that this
  // entry is not ready.
  QTimer::singleShot(Settings_.Entry_.StopGrace_, this,
                     [this] { startDrain(); });
  QTimer::singleShot(Settings_.Entry_.DrainDeadline_, this, [this] {
    exitNow("drain-deadline",
            Kernel_.find<RequestService>("requests").pending());
  });
}

void Daemon::startDrain() {
  auto &Requests = Kernel_.find<RequestService>("requests");
  Requests.beginStop();
  Kernel_.find<http::Server>("http-server").stopAccepting();
  auto *Check = new QTimer(this);
  connect(Check, &QTimer::timeout, this, [this, &Requests] {
    if (Requests.pending() == 0)
      exitNow("drained", 0);
  });
  Check->start(DrainCheckMs);
}

void Daemon::exitNow(const char *Cause, std::size_t Unanswered) {
  LOG(INFO) << "event=exit how=" << Cause << " cut=" << Unanswered;
  Kernel_.find<History>("history").write(
      "exit", Settings_.Entry_.Id_.str(),
      {{"how", Cause}, {"cut", static_cast<qint64>(Unanswered)}});
  QCoreApplication::exit(Unanswered == 0 ? 0 : 1);
}

} // namespace heathercross::daemon
