// Tracks the instance rows of the fleet and the status of the zone's workers.
#include "daemon/fleet-feed.h"

#include "fleet/rows.h"
#include "view/codec.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <glog/logging.h>

#include <algorithm>
#include <ranges>

namespace heathercross::daemon {

namespace {

constexpr int PollSoonMs = 30;
constexpr Millis MaxBackoff{8000};
constexpr Millis ListInterval{2000};
/// Slots assumed for a worker that has not reported its own.
constexpr unsigned DefaultSlots = 8;

/// The weight of an entry for a worker in rendezvous hashing.
std::uint64_t rendezvousWeight(const std::string &Entry,
                               const std::string &Worker) {
  return std::hash<std::string>()(Entry + "\n" + Worker);
}

std::vector<fleet::BatchTask> parseTasks(const QJsonObject &Status) {
  std::vector<fleet::BatchTask> Tasks;
  for (const QJsonValue V : Status["tasks"].toArray()) {
    const QJsonObject O = V.toObject();
    Tasks.push_back({JobId(O["job"].toString().toStdString()),
                     Epoch(static_cast<std::uint64_t>(O["epoch"].toDouble()))});
  }
  return Tasks;
}

} // namespace

FleetFeed::FleetFeed(FeedConfig Config, process::Clock &C, History &H,
                     store::TableClient &Platform, WorkerClient &Workers,
                     ViewService &View)
    : Config_(std::move(Config)), Clock_(C), History_(H), Platform_(Platform),
      Workers_(Workers), View_(View), ZoneEntries_{Config_.Entry_},
      Random_(static_cast<unsigned>(Config_.Seed_)) {
  PollTimer_.setSingleShot(true);
  connect(&PollTimer_, &QTimer::timeout, this, [this] { poll(); });
  connect(&WorkerTimer_, &QTimer::timeout, this, [this] { pollWorkers(); });
}

void FleetFeed::start() {
  PollTimer_.start(0);
  WorkerTimer_.start(Config_.WorkerPollInterval_ / 4);
}

void FleetFeed::pollSoon() {
  if (!Polling_ && PollTimer_.remainingTime() > PollSoonMs)
    PollTimer_.start(PollSoonMs);
}

void FleetFeed::onFleet(std::function<void(request::Fleet)> Callback) {
  FleetListeners_.push_back(std::move(Callback));
}

void FleetFeed::onReport(
    std::function<void(const request::WorkerReport &)> Callback) {
  ReportListeners_.push_back(std::move(Callback));
}

void FleetFeed::poll() {
  Polling_ = true;
  refreshInstanceList();
  readInstancesNow([this](bool Answered) {
    Polling_ = false;
    PollFailures_ = Answered ? 0 : PollFailures_ + 1;
    // The delay is 0.5 to 1.5 times the interval, which doubles with each
    // failure up to a limit.
    const unsigned Doublings = std::min(PollFailures_, 3U);
    const Millis Base = std::min(
        Config_.PollInterval_ * (std::int64_t{1} << Doublings), MaxBackoff);
    const auto Half = static_cast<unsigned>(Base.count() / 2);
    PollTimer_.start(static_cast<int>(Half + Random_() % (2UL * Half)));
  });
}

void FleetFeed::refreshInstanceList() {
  const Instant Now = Clock_.now();
  if (!ListedAt_.time_since_epoch().count() ||
      Now - ListedAt_ >= ListInterval) {
    ListedAt_ = Now;
    Platform_.listInstances([this](const store::ListResult &R) {
      for (const ListedInstance &L : R.Instances_) {
        ListedSizes_[L.Name_] = {Millis(0), L.Cores_, L.MemoryMb_};
        if (L.Leaving_)
          markLeaving(L.Name_, "list");
      }
    });
  }
}

job::JobSize FleetFeed::sizeOf(const InstanceId &Name) const {
  const auto It = ListedSizes_.find(Name);
  return It == ListedSizes_.end() ? job::JobSize() : It->second;
}

std::vector<job::JobSize> FleetFeed::sizesOf(const PoolId &Pool) const {
  std::vector<job::JobSize> All;
  for (const auto &[Name, Record] : Instances_)
    if (Record.Row_.Pool_ == Pool && ListedSizes_.contains(Name))
      All.push_back(ListedSizes_.at(Name));
  return All;
}

void FleetFeed::readInstancesNow(std::function<void(bool)> OnDone) {
  Platform_.scan(
      "instance/", InstanceVersion_,
      [this, OnDone = std::move(OnDone)](const store::ScanResult &R) {
        if (R.Answered_)
          applyScan(R);
        OnDone(R.Answered_);
      });
}

void FleetFeed::applyScan(const store::ScanResult &R) {
  const bool IsFirstRead = !std::exchange(InstancesRead_, true);
  for (const Row &Changed : R.Rows_)
    InstanceVersion_ = std::max(InstanceVersion_, Changed.Version_);
  applyRows(R.Rows_);
  if (IsFirstRead)
    schedulePublish();
}

void FleetFeed::applyRows(const std::vector<Row> &Rows) {
  for (const Row &Changed : Rows) {
    try {
      applyRecord(fleet::decodeInstance(Changed));
    } catch (const FormatError &E) {
      LOG(ERROR) << "event=bad-row problem=\"" << E.what() << "\"";
    }
  }
}

void FleetFeed::applyPeerRows(const std::vector<Row> &Rows) {
  applyRows(Rows);
  InstancesRead_ = InstancesRead_ || !Rows.empty();
  schedulePublish();
}

void FleetFeed::applyRecord(fleet::InstanceRecord Record) {
  const InstanceId Name = Record.Row_.Name_;
  const auto Known = Instances_.find(Name);
  if (Known != Instances_.end() && Known->second.Version_ >= Record.Version_)
    return;
  if (Record.Row_.State_ == InstanceState::Leaving)
    markLeaving(Name, "row");
  Instances_[Name] = std::move(Record);
  schedulePublish();
}

void FleetFeed::markLeaving(const InstanceId &Worker, const char *Source) {
  if (!Leaving_.insert(Worker).second)
    return;
  LOG(INFO) << "event=leaving instance=" << Worker.str()
            << " source=" << Source;
  History_.write("leaving", Worker.str(), {{"source", Source}});
  schedulePublish();
}

void FleetFeed::schedulePublish() {
  if (PublishDue_)
    return;
  PublishDue_ = true;
  QTimer::singleShot(0, this, [this] { publish(); });
}

void FleetFeed::setZoneEntries(std::vector<EntryId> Entries) {
  if (Entries == ZoneEntries_)
    return;
  ZoneEntries_ = std::move(Entries);
  schedulePublish();
}

void FleetFeed::publish() {
  PublishDue_ = false;
  if (!ready())
    return;
  request::Fleet F;
  F.Head_ = view().Head_;
  F.Pools_ = view().Pools_;
  F.Quotas_ = view().Quotas_;
  F.ZoneEntries_ = ZoneEntries_;
  std::map<InstanceId, std::string> Addresses;
  for (const auto &[Name, Record] : Instances_) {
    const InstanceRow &Row = Record.Row_;
    Addresses[Name] = Row.Address_;
    const auto Status = Statuses_.find(Name);
    const bool Known = Status != Statuses_.end() && Status->second.Slots_ > 0;
    const bool AcceptsWork =
        Row.State_ == InstanceState::Active && !Leaving_.contains(Name);
    F.Candidates_.push_back({Name,
                             Row.Pool_,
                             Row.Zone_,
                             Row.Rack_,
                             {Known ? Status->second.Slots_ : DefaultSlots},
                             AcceptsWork});
  }
  Workers_.setAddresses(std::move(Addresses));
  for (const auto &Listener : FleetListeners_)
    Listener(F);
}

bool FleetFeed::watches(const InstanceId &Worker) const {
  const std::uint64_t OwnWeight =
      rendezvousWeight(Config_.Entry_.str(), Worker.str());
  const auto HigherRanked =
      std::ranges::count_if(ZoneEntries_, [&](const EntryId &E) {
        return rendezvousWeight(E.str(), Worker.str()) > OwnWeight;
      });
  return HigherRanked < static_cast<long>(Config_.WatchersPerWorker_);
}

void FleetFeed::pollWorkers() {
  const Instant Due = Clock_.now() - Config_.WorkerPollInterval_;
  for (const auto &[Name, Record] : Instances_) {
    const bool Watched = Record.Row_.Zone_ == Config_.Zone_ && watches(Name);
    const auto It = LastContactAt_.find(Name);
    if (!Watched || (It != LastContactAt_.end() && It->second > Due))
      continue;
    LastContactAt_[Name] = Clock_.now();
    requestStatus(Name);
  }
}

void FleetFeed::requestStatus(const InstanceId &Worker,
                              std::function<void()> OnDone) {
  Workers_.status(
      Worker, [this, Worker, OnDone = std::move(OnDone)](const StatusReply &R) {
        handleStatus(Worker, R);
        if (OnDone)
          OnDone();
      });
}

void FleetFeed::handleStatus(const InstanceId &Worker, const StatusReply &R) {
  fleet::WorkerStatus &S = Statuses_[Worker];
  S.Reachable_ = R.Answered_;
  if (!R.Answered_)
    return;
  const QJsonObject &O = R.Status_;
  const bool SlotsChanged =
      S.Slots_ != static_cast<unsigned>(O["slots"].toInt());
  S.ReceivedAt_ = Clock_.now();
  S.Boot_ = O["boot"].toVariant().toString().toStdString();
  S.Slots_ = static_cast<std::uint32_t>(O["slots"].toInt());
  S.Busy_ = static_cast<std::uint32_t>(O["busy"].toInt());
  S.Leaving_ = O["leaving"].toBool();
  S.Draining_ = O["draining"].toBool();
  S.Tasks_ = parseTasks(O);
  request::WorkerReport Report{
      Worker,
      {S.Busy_},
      S.Leaving_,
      S.Draining_,
      static_cast<std::int64_t>(O["clock"].toDouble())};
  recordReport(Report);
  for (const auto &Listener : ReportListeners_)
    Listener(Report);
  if (SlotsChanged)
    schedulePublish();
}

void FleetFeed::recordReport(const request::WorkerReport &Report) {
  LastContactAt_[Report.Worker_] = Clock_.now();
  if (Report.Leaving_)
    markLeaving(Report.Worker_, "worker");
}

std::string FleetFeed::dump() const {
  constexpr qsizetype MaxListed = 2000;
  QJsonArray Instances;
  for (const auto &[Name, Record] : Instances_) {
    if (Instances.size() >= MaxListed)
      break;
    const auto S = Statuses_.find(Name);
    QJsonObject O = view::toJson(Record.Row_);
    O["version"] = static_cast<qint64>(Record.Version_.value());
    if (S != Statuses_.end()) {
      O["reachable"] = S->second.Reachable_;
      O["busy"] = static_cast<int>(S->second.Busy_);
      O["boot"] = QString::fromStdString(S->second.Boot_);
    }
    Instances.append(O);
  }
  const QJsonObject All{
      {"ready", ready()},
      {"instance_version", static_cast<qint64>(InstanceVersion_.value())},
      {"poll_failures", static_cast<int>(PollFailures_)},
      {"instances", Instances}};
  return QJsonDocument(All).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace heathercross::daemon
