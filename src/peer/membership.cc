// Sends and processes heartbeats and tracks the health of other entries.
#include "peer/membership.h"

#include "core/json-node.h"

#include <QJsonArray>

#include <algorithm>

namespace heathercross::peer {

Membership::Membership(Instant Start, OwnIdentity Own,
                       std::vector<std::string> Seeds, std::uint64_t Seed,
                       MembershipSettings Settings)
    : Settings_(Settings), Own_(std::move(Own)), Seeds_(std::move(Seeds)),
      Jitter_(Seed), NextRound_(Start), LastRound_(Start - Settings.Interval_),
      UnreachableCursor_(Jitter_.next() % (Seeds_.size() + 1)) {}

void Membership::setOwnState(const OwnState &State) {
  HasNews_ = HasNews_ || State.Head_ > State_.Head_;
  State_ = State;
  State_.Queues_.resize(std::min(State_.Queues_.size(), MaxPoolQueues));
}

void Membership::onLeavingObserved(Instant Now, const InstanceId &Instance) {
  recordLeaving(Now, Instance);
}

std::vector<Outgoing> Membership::stop(Instant Now) {
  Stopping_ = true;
  std::vector<std::string> To = addressesOf(true, Now);
  for (std::string &Address : addressesOf(false, Now))
    To.push_back(std::move(Address));
  To.resize(std::min(To.size(), MaxStopNotices));
  return heartbeatsTo(Now, To);
}

std::vector<Outgoing> Membership::tick(Instant Now) {
  forgetExpired(Now);
  const bool News = HasNews_ && Now - LastRound_ >= Settings_.MinInterval_;
  if (Now < NextRound_ && !News)
    return {};
  HasNews_ = false;
  LastRound_ = Now;
  NextRound_ = Now + Jitter_.between(Settings_.Interval_ * 9 / 10,
                                     Settings_.Interval_ * 11 / 10);
  return heartbeatsTo(Now, nextTargets(Now));
}

std::vector<Outgoing>
Membership::heartbeatsTo(Instant Now, const std::vector<std::string> &To) {
  std::vector<Outgoing> Result;
  Result.reserve(To.size());
  for (const std::string &Address : To)
    Result.push_back({Address, makeHeartbeat(Now, Address)});
  return Result;
}

HeartbeatResult Membership::on(Instant Now, const Heartbeat &H) {
  if (H.Entry_ == Own_.Entry_)
    return HeartbeatResult::FromSelf;
  const bool HasRoom = Peers_.size() < MaxPeers || Peers_.contains(H.Entry_);
  if (!HasRoom)
    return HeartbeatResult::Refused;
  PeerRecord &Record = Peers_[H.Entry_];
  const auto SequenceOf = [](const Heartbeat &B) {
    return std::pair(B.Incarnation_, B.Sequence_);
  };
  if (Record.HasReported_ && SequenceOf(H) <= SequenceOf(Record.LastHeartbeat_))
    return HeartbeatResult::Replayed;
  const Instant FirstReportAt =
      Record.HasReported_ ? Record.FirstReportAt_ : Now;
  Record = {H.Zone_, H.Address_, true, Now, FirstReportAt, H};
  countZonePeers();
  for (const LeavingInstance &L : H.Leaving_)
    if (L.Age_ < Settings_.LeavingDuration_)
      recordLeaving(Now - L.Age_, L.Instance_);
  for (const KnownPeer &P : H.Known_)
    addIntroduced(Now, P);
  return HeartbeatResult::Accepted;
}

std::vector<PeerStatus> Membership::peers(Instant Now) const {
  std::vector<PeerStatus> Result;
  for (const auto &[Entry, Record] : Peers_)
    Result.push_back({Entry, Record.Zone_, Record.Address_,
                      healthOf(Record, Now), Record.LastHeartbeat_});
  return Result;
}

std::vector<EntryId> Membership::zoneEntries(Instant Now) const {
  return selectLive(Now, true);
}

std::vector<EntryId> Membership::liveEntries(Instant Now) const {
  return selectLive(Now, false);
}

std::vector<EntryId> Membership::dutyEntries(Instant Now) const {
  std::vector<EntryId> Result = selectLive(Now, false);
  std::erase_if(Result, [&](const EntryId &E) {
    const auto Record = Peers_.find(E);
    return Record == Peers_.end()
               ? State_.PlatformUnavailable_
               : Record->second.LastHeartbeat_.PlatformUnavailable_;
  });
  return Result;
}

std::vector<EntryId> Membership::selectLive(Instant Now,
                                            bool OwnZoneOnly) const {
  std::vector<EntryId> Result;
  if (!Stopping_)
    Result.push_back(Own_.Entry_);
  for (const auto &[Entry, Record] : Peers_) {
    const bool Serves = healthOf(Record, Now) == Health::Live &&
                        !Record.LastHeartbeat_.Stopping_;
    if (Serves && (!OwnZoneOnly || Record.Zone_ == Own_.Zone_))
      Result.push_back(Entry);
  }
  std::ranges::sort(Result);
  return Result;
}

std::optional<HighestHead> Membership::highestHead(Instant Now) const {
  std::optional<HighestHead> Best;
  for (const auto &[Entry, Record] : Peers_) {
    const Health H = healthOf(Record, Now);
    const bool Reachable = H == Health::Live || H == Health::Suspect;
    if (Reachable && (!Best || Record.LastHeartbeat_.Head_ > Best->Head_))
      Best = {Entry, Record.Address_, Record.LastHeartbeat_.Head_};
  }
  return Best;
}

std::vector<InstanceId> Membership::leaving(Instant Now) const {
  std::vector<InstanceId> Result;
  for (const auto &[Instance, L] : Leaving_)
    if (Now - L.ReportedAt_ < Settings_.LeavingDuration_)
      Result.push_back(Instance);
  return Result;
}

void Membership::countZonePeers() {
  ZonePeers_ = static_cast<std::size_t>(std::ranges::count_if(
      Peers_, [&](const auto &P) { return P.second.Zone_ == Own_.Zone_; }));
}

Micros Membership::expectedReportInterval(const PeerRecord &Record) const {
  const bool OwnZone = Record.Zone_ == Own_.Zone_;
  const std::size_t FanOut =
      OwnZone ? Settings_.ZoneFanOut_ : Settings_.OtherZonesFanOut_;
  // The sender's group contains this entry instead of the sender and has the
  // same size.
  const std::size_t Size = OwnZone ? ZonePeers_ : Peers_.size() - ZonePeers_;
  const std::size_t Rounds = (Size + FanOut - 1) / FanOut;
  return Settings_.Interval_ *
         static_cast<std::int64_t>(std::max<std::size_t>(1, Rounds));
}

Health Membership::healthOf(const PeerRecord &Record, Instant Now) const {
  if (!Record.HasReported_)
    return Health::Introduced;
  const Micros SinceReport = Now - Record.LastReportAt_;
  const Micros Interval = expectedReportInterval(Record);
  if (SinceReport >= Interval * Settings_.GoneAfter_)
    return Health::Gone;
  return SinceReport >= Interval * Settings_.SuspectAfter_ ? Health::Suspect
                                                           : Health::Live;
}

std::vector<std::string> Membership::addressesOf(bool OwnZone,
                                                 Instant Now) const {
  std::vector<std::string> Result;
  for (const auto &[Entry, Record] : Peers_) {
    const bool InGroup = (Record.Zone_ == Own_.Zone_) == OwnZone;
    if (InGroup && healthOf(Record, Now) != Health::Gone)
      Result.push_back(Record.Address_);
  }
  return Result;
}

std::vector<std::string> Membership::unreachableAddresses(Instant Now) const {
  std::vector<std::string> Result;
  for (const auto &[Entry, Record] : Peers_)
    if (healthOf(Record, Now) == Health::Gone)
      Result.push_back(Record.Address_);
  const auto IsUnknown = [&](const std::string &Address) {
    const auto IsAt = [&](const auto &P) {
      return P.second.Address_ == Address;
    };
    return Address != Own_.Address_ && std::ranges::none_of(Peers_, IsAt);
  };
  std::ranges::copy_if(Seeds_, std::back_inserter(Result), IsUnknown);
  return Result;
}

std::vector<std::string>
Membership::pickRoundRobin(const std::vector<std::string> &From,
                           std::size_t Count, std::size_t &Cursor) {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < std::min(Count, From.size()); ++I)
    Result.push_back(From[Cursor++ % From.size()]);
  return Result;
}

std::vector<std::string> Membership::nextTargets(Instant Now) {
  std::vector<std::string> Result = pickRoundRobin(
      addressesOf(true, Now), Settings_.ZoneFanOut_, ZoneCursor_);
  const auto Others = pickRoundRobin(
      addressesOf(false, Now), Settings_.OtherZonesFanOut_, OtherZonesCursor_);
  const auto Unreachable =
      pickRoundRobin(unreachableAddresses(Now), Settings_.UnreachableFanOut_,
                     UnreachableCursor_);
  Result.insert(Result.end(), Others.begin(), Others.end());
  Result.insert(Result.end(), Unreachable.begin(), Unreachable.end());
  return Result;
}

Heartbeat Membership::makeHeartbeat(Instant Now, const std::string &To) {
  Heartbeat H;
  H.Entry_ = Own_.Entry_;
  H.Zone_ = Own_.Zone_;
  H.Address_ = Own_.Address_;
  H.Incarnation_ = Own_.Incarnation_;
  H.Sequence_ = ++Sequence_;
  H.Head_ = State_.Head_;
  H.Queued_ = State_.Queued_;
  H.Busy_ = State_.Busy_;
  H.Free_ = State_.Free_;
  H.Stopping_ = Stopping_;
  H.Leaving_ = selectLeaving(Now);
  H.Known_ = selectKnownPeers(Now, To);
  H.PlatformUnavailable_ = State_.PlatformUnavailable_;
  H.Queues_ = State_.Queues_;
  return H;
}

std::vector<LeavingInstance> Membership::selectLeaving(Instant Now) {
  std::vector<std::pair<std::uint32_t, InstanceId>> Order;
  for (const auto &[Instance, L] : Leaving_)
    Order.emplace_back(L.TimesSent_, Instance);
  const std::size_t Count = std::min(Order.size(), MaxLeavingInstances);
  std::ranges::partial_sort(Order,
                            Order.begin() + static_cast<std::ptrdiff_t>(Count));
  Order.resize(Count);
  std::vector<LeavingInstance> Result;
  for (const auto &[TimesSent, Instance] : Order) {
    LeavingRecord &L = Leaving_[Instance];
    ++L.TimesSent_;
    Result.push_back({Instance, toMillis(Now - L.ReportedAt_)});
  }
  return Result;
}

const Membership::PeerRecord *
Membership::findPeer(const std::string &Address) const {
  const auto IsAt = [&](const auto &P) { return P.second.Address_ == Address; };
  const auto I = std::ranges::find_if(Peers_, IsAt);
  return I == Peers_.end() ? nullptr : &I->second;
}

std::vector<KnownPeer> Membership::selectKnownPeers(Instant Now,
                                                    const std::string &To) {
  const PeerRecord *Receiver = findPeer(To);
  std::vector<KnownPeer> Others;
  std::vector<KnownPeer> SameZone;
  for (const auto &[Entry, Record] : Peers_) {
    if (healthOf(Record, Now) != Health::Live || Record.Address_ == To)
      continue;
    auto &Group =
        Receiver && Record.Zone_ == Receiver->Zone_ ? SameZone : Others;
    Group.push_back({Entry, Record.Zone_, Record.Address_});
  }
  // The receiver needs entries of its own zone most, so they come first. The
  // start is random, so that receivers get different entries.
  const bool IsNew =
      !Receiver || !Receiver->HasReported_ ||
      Now - Receiver->FirstReportAt_ < Settings_.NewPeerDuration_;
  const std::size_t Each = IsNew ? MaxKnownPeers / 2 : 1;
  std::vector<KnownPeer> Result;
  for (const auto *Group : {&SameZone, &Others}) {
    const std::size_t First = Jitter_.next() % (Group->size() + 1);
    for (std::size_t I = 0; I < std::min(Each, Group->size()); ++I)
      Result.push_back((*Group)[(First + I) % Group->size()]);
  }
  return Result;
}

void Membership::recordLeaving(Instant ReportedAt, const InstanceId &Instance) {
  const auto I = Leaving_.find(Instance);
  if (I != Leaving_.end()) {
    I->second.ReportedAt_ = std::max(I->second.ReportedAt_, ReportedAt);
    return;
  }
  if (Leaving_.size() >= MaxLeaving)
    return;
  Leaving_[Instance] = {ReportedAt, 0};
  HasNews_ = true;
}

void Membership::addIntroduced(Instant Now, const KnownPeer &P) {
  const bool Full = Peers_.size() >= MaxPeers;
  if (P.Entry_ == Own_.Entry_ || Full || Peers_.contains(P.Entry_))
    return;
  PeerRecord Record;
  Record.Zone_ = P.Zone_;
  Record.Address_ = P.Address_;
  Record.LastReportAt_ = Now;
  Peers_[P.Entry_] = Record;
  countZonePeers();
}

void Membership::forgetExpired(Instant Now) {
  std::erase_if(Leaving_, [&](const auto &L) {
    return Now - L.second.ReportedAt_ >= Settings_.LeavingDuration_;
  });
  std::erase_if(Peers_, [&](const auto &P) {
    const PeerRecord &Record = P.second;
    const Micros Retention =
        std::max(Settings_.PeerRetention_,
                 expectedReportInterval(Record) * Settings_.GoneAfter_);
    return Now - Record.LastReportAt_ >= Retention;
  });
  countZonePeers();
}

std::string Membership::dump(Instant Now) const {
  QJsonArray Entries;
  for (const PeerStatus &P : peers(Now))
    Entries.append(
        QJsonObject{{"entry", jsonValue(P.Entry_.str())},
                    {"zone", jsonValue(P.Zone_.str())},
                    {"address", jsonValue(P.Address_)},
                    {"health", static_cast<int>(P.Health_)},
                    {"head", jsonValue(P.LastHeartbeat_.Head_.value())},
                    {"stopping", P.LastHeartbeat_.Stopping_}});
  QJsonArray Leaving;
  for (const InstanceId &I : leaving(Now))
    Leaving.append(jsonValue(I.str()));
  return jsonText({{"entry", jsonValue(Own_.Entry_.str())},
                   {"stopping", Stopping_},
                   {"peers", Entries},
                   {"leaving", Leaving}});
}

namespace {

/// Rendezvous weight of an entry for a duty: FNV-1a with a splitmix64
/// finalizer.
std::uint64_t rendezvousWeight(std::string_view Duty, const EntryId &Entry) {
  std::uint64_t Hash = 0xcbf29ce484222325U;
  const auto Add = [&](std::string_view Text) {
    for (const char C : Text)
      Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001b3U;
  };
  Add(Duty);
  Add("/");
  Add(Entry.str());
  return Jitter(Hash).next();
}

} // namespace

std::vector<EntryId> dutyWatchers(std::string_view Duty,
                                  const std::vector<EntryId> &Live,
                                  std::size_t Count) {
  std::vector<EntryId> Result = Live;
  std::ranges::sort(Result, std::ranges::greater(), [&](const EntryId &E) {
    return std::pair(rendezvousWeight(Duty, E), E);
  });
  Result.resize(std::min(Count, Result.size()));
  return Result;
}

} // namespace heathercross::peer
