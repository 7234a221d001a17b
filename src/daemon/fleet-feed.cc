// Follows the instances' rows and the workers of the zone.
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

constexpr int SoonMs = 30;
constexpr Millis MaxBackoff{8000};
constexpr Millis ListInterval{2000};
constexpr unsigned DefaultSlots = 8;

std::uint64_t weightOf(const std::string &Entry, const std::string &Worker) {
  return std::hash<std::string>()(Entry + "\n" + Worker);
}

std::vector<fleet::BatchTask> tasksIn(const QJsonObject &Status) {
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
  WorkerTimer_.start(Config_.WorkerPoll_ / 4);
}

void FleetFeed::pollSoon() {
  if (!Polling_ && PollTimer_.remainingTime() > SoonMs)
    PollTimer_.start(SoonMs);
}

void FleetFeed::onFleet(std::function<void(request::Fleet)> Done) {
  FleetListeners_.push_back(std::move(Done));
}

void FleetFeed::onReport(
    std::function<void(const request::WorkerReport &)> Done) {
  ReportListeners_.push_back(std::move(Done));
}

void FleetFeed::poll() {
  Polling_ = true;
  readList();
  readInstancesNow([this](bool Answered) {
    Polling_ = false;
    Failures_ = Answered ? 0 : Failures_ + 1;
    // Half to one and a half intervals, longer after failures.
    const unsigned Doublings = std::min(Failures_, 3U);
    const Millis Base =
        std::min(Config_.Poll_ * (std::int64_t{1} << Doublings), MaxBackoff);
    const auto Half = static_cast<unsigned>(Base.count() / 2);
    PollTimer_.start(static_cast<int>(Half + Random_() % (2UL * Half)));
  });
}

void FleetFeed::readList() {
  const Instant Now = Clock_.now();
  if (!ListedAt_.time_since_epoch().count() ||
      Now - ListedAt_ >= ListInterval) {
    ListedAt_ = Now;
    Platform_.listInstances([this](const store::ListResult &R) {
      for (const ListedInstance &L : R.Instances_) {
        Sizes_[L.Name_] = {Millis(0), L.Cores_, L.MemoryMb_};
        if (L.Leaving_)
          markLeaving(L.Name_, "list");
      }
    });
  }
}

job::JobSize FleetFeed::sizeOf(const InstanceId &Name) const {
  const auto It = Sizes_.find(Name);
  return It == Sizes_.end() ? job::JobSize() : It->second;
}

std::vector<job::JobSize> FleetFeed::sizesOf(const PoolId &Pool) const {
  std::vector<job::JobSize> All;
  for (const auto &[Name, Record] : Instances_)
    if (Record.Row_.Pool_ == Pool && Sizes_.contains(Name))
      All.push_back(Sizes_.at(Name));
  return All;
}

void FleetFeed::readInstancesNow(std::function<void(bool)> OnDone) {
  Platform_.scan(
      "instance/", InstanceVersion_,
      [this, OnDone = std::move(OnDone)](const store::ScanResult &R) {
        if (R.Answered_)
          takeInstances(R);
        OnDone(R.Answered_);
      });
}

void FleetFeed::takeInstances(const store::ScanResult &R) {
  const bool First = !std::exchange(InstancesRead_, true);
  for (const Row &One : R.Rows_)
    InstanceVersion_ = std::max(InstanceVersion_, One.Version_);
  takeRows(R.Rows_);
  if (First)
    publishSoon();
}

void FleetFeed::takeRows(const std::vector<Row> &Rows) {
  for (const Row &One : Rows) {
    try {
      takeRow(fleet::decodeInstance(One));
    } catch (const FormatError &E) {
      LOG(ERROR) << "event=bad-row problem=\"" << E.what() << "\"";
    }
  }
}

void FleetFeed::takeFromPeer(const std::vector<Row> &Rows) {
  takeRows(Rows);
  InstancesRead_ = InstancesRead_ || !Rows.empty();
  publishSoon();
}

void FleetFeed::takeRow(fleet::InstanceRecord Record) {
  const InstanceId Name = Record.Row_.Name_;
  const auto Known = Instances_.find(Name);
  if (Known != Instances_.end() && Known->second.Version_ >= Record.Version_)
    return;
  if (Record.Row_.State_ == InstanceState::Leaving)
    markLeaving(Name, "row");
  Instances_[Name] = std::move(Record);
  publishSoon();
}

void FleetFeed::markLeaving(const InstanceId &Worker, const char *Source) {
  if (!Leaving_.insert(Worker).second)
    return;
  LOG(INFO) << "event=leaving instance=" << Worker.str()
            << " source=" << Source;
  History_.write("leaving", Worker.str(), {{"source", Source}});
  publishSoon();
}

void FleetFeed::publishSoon() {
  if (PublishDue_)
    return;
  PublishDue_ = true;
  QTimer::singleShot(0, this, [this] { publish(); });
}

void FleetFeed::setZoneEntries(std::vector<EntryId> Entries) {
  if (Entries == ZoneEntries_)
    return;
  ZoneEntries_ = std::move(Entries);
  publishSoon();
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
    const bool Takes =
        Row.State_ == InstanceState::Active && !Leaving_.contains(Name);
    F.Candidates_.push_back({Name,
                             Row.Pool_,
                             Row.Zone_,
                             Row.Rack_,
                             {Known ? Status->second.Slots_ : DefaultSlots},
                             Takes});
  }
  Workers_.setAddresses(std::move(Addresses));
  for (const auto &Listener : FleetListeners_)
    Listener(F);
}

bool FleetFeed::watches(const InstanceId &Worker) const {
  const std::uint64_t Own = weightOf(Config_.Entry_.str(), Worker.str());
  const auto Ahead = std::ranges::count_if(ZoneEntries_, [&](const EntryId &E) {
    return weightOf(E.str(), Worker.str()) > Own;
  });
  return Ahead < static_cast<long>(Config_.Watchers_);
}

void FleetFeed::pollWorkers() {
  const Instant Due = Clock_.now() - Config_.WorkerPoll_;
  for (const auto &[Name, Record] : Instances_) {
    const bool Mine = Record.Row_.Zone_ == Config_.Zone_ && watches(Name);
    const auto It = HeardAt_.find(Name);
    if (!Mine || (It != HeardAt_.end() && It->second > Due))
      continue;
    HeardAt_[Name] = Clock_.now();
    ask(Name);
  }
}

void FleetFeed::ask(const InstanceId &Worker, std::function<void()> OnDone) {
  Workers_.status(
      Worker, [this, Worker, OnDone = std::move(OnDone)](const StatusReply &R) {
        takeStatus(Worker, R);
        if (OnDone)
          OnDone();
      });
}

void FleetFeed::takeStatus(const InstanceId &Worker, const StatusReply &R) {
  fleet::WorkerStatus &S = Statuses_[Worker];
  S.Reachable_ = R.Answered_;
  if (!R.Answered_)
    return;
  const QJsonObject &O = R.Status_;
  const bool NewSlots = S.Slots_ != static_cast<unsigned>(O["slots"].toInt());
  S.SeenAt_ = Clock_.now();
  S.Boot_ = O["boot"].toVariant().toString().toStdString();
  S.Slots_ = static_cast<std::uint32_t>(O["slots"].toInt());
  S.Busy_ = static_cast<std::uint32_t>(O["busy"].toInt());
  S.Leaving_ = O["leaving"].toBool();
  S.Draining_ = O["draining"].toBool();
  S.Tasks_ = tasksIn(O);
  request::WorkerReport Report{
      Worker,
      {S.Busy_},
      S.Leaving_,
      S.Draining_,
      static_cast<std::int64_t>(O["clock"].toDouble())};
  heard(Report);
  for (const auto &Listener : ReportListeners_)
    Listener(Report);
  if (NewSlots)
    publishSoon();
}

void FleetFeed::heard(const request::WorkerReport &Report) {
  HeardAt_[Report.Worker_] = Clock_.now();
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
      {"poll_failures", static_cast<int>(Failures_)},
      {"instances", Instances}};
  return QJsonDocument(All).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace heathercross::daemon
