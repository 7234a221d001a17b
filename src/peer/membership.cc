// Heartbeats in and out, and what follows from them.
#include "peer/membership.h"

#include "core/json-place.h"

#include <QJsonArray>

#include <algorithm>

namespace heathercross::peer {

Membership::Membership(Instant Start, Self Own, std::vector<std::string> Seeds,
                       std::uint64_t Seed, MembershipSettings Settings)
    : Settings_(Settings), Own_(std::move(Own)), Seeds_(std::move(Seeds)),
      Jitter_(Seed), NextRound_(Start), LastRound_(Start - Settings.Interval_),
      LostCursor_(Jitter_.next() % (Seeds_.size() + 1)) {}

void Membership::setOwnState(const OwnState &State) {
  Urgent_ = Urgent_ || State.Head_ > State_.Head_;
  State_ = State;
  State_.Queues_.resize(std::min(State_.Queues_.size(), MaxPoolQueues));
}

void Membership::sawLeaving(Instant Now, const InstanceId &Instance) {
  note(Now, Instance);
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
  forgetOld(Now);
  const bool News = Urgent_ && Now - LastRound_ >= Settings_.MinGap_;
  if (Now < NextRound_ && !News)
    return {};
  Urgent_ = false;
  LastRound_ = Now;
  NextRound_ = Now + Jitter_.between(Settings_.Interval_ * 9 / 10,
                                     Settings_.Interval_ * 11 / 10);
  return heartbeatsTo(Now, targets(Now));
}

std::vector<Outgoing>
Membership::heartbeatsTo(Instant Now, const std::vector<std::string> &To) {
  std::vector<Outgoing> Result;
  Result.reserve(To.size());
  for (const std::string &Address : To)
    Result.push_back({Address, heartbeat(Now, Address)});
  return Result;
}

Received Membership::on(Instant Now, const Heartbeat &H) {
  if (H.Entry_ == Own_.Entry_)
    return Received::FromSelf;
  const bool Room = Peers_.size() < MaxPeers || Peers_.contains(H.Entry_);
  if (!Room)
    return Received::Refused;
  Known &K = Peers_[H.Entry_];
  const auto OrderOf = [](const Heartbeat &B) {
    return std::pair(B.Incarnation_, B.Sequence_);
  };
  if (K.Heard_ && OrderOf(H) <= OrderOf(K.Last_))
    return Received::Replayed;
  const Instant FirstHeardAt = K.Heard_ ? K.FirstHeardAt_ : Now;
  K = {H.Zone_, H.Address_, true, Now, FirstHeardAt, H};
  recount();
  for (const LeavingInstance &L : H.Leaving_)
    if (L.Age_ < Settings_.LeavingFor_)
      note(Now - L.Age_, L.Instance_);
  for (const KnownPeer &P : H.Known_)
    introduce(Now, P);
  return Received::News;
}

std::vector<PeerStatus> Membership::peers(Instant Now) const {
  std::vector<PeerStatus> Result;
  for (const auto &[Entry, K] : Peers_)
    Result.push_back({Entry, K.Zone_, K.Address_, healthOf(K, Now), K.Last_});
  return Result;
}

std::vector<EntryId> Membership::zoneEntries(Instant Now) const {
  return live(Now, true);
}

std::vector<EntryId> Membership::liveEntries(Instant Now) const {
  return live(Now, false);
}

std::vector<EntryId> Membership::dutyEntries(Instant Now) const {
  std::vector<EntryId> Result = live(Now, false);
  std::erase_if(Result, [&](const EntryId &E) {
    const auto K = Peers_.find(E);
    return K == Peers_.end() ? State_.PlatformAway_
                             : K->second.Last_.PlatformAway_;
  });
  return Result;
}

std::vector<EntryId> Membership::live(Instant Now, bool OwnZoneOnly) const {
  std::vector<EntryId> Result;
  if (!Stopping_)
    Result.push_back(Own_.Entry_);
  for (const auto &[Entry, K] : Peers_) {
    const bool Serves = healthOf(K, Now) == Health::Live && !K.Last_.Stopping_;
    if (Serves && (!OwnZoneOnly || K.Zone_ == Own_.Zone_))
      Result.push_back(Entry);
  }
  std::ranges::sort(Result);
  return Result;
}

std::optional<HeadAt> Membership::highestHead(Instant Now) const {
  std::optional<HeadAt> Best;
  for (const auto &[Entry, K] : Peers_) {
    const Health H = healthOf(K, Now);
    const bool Reachable = H == Health::Live || H == Health::Suspect;
    if (Reachable && (!Best || K.Last_.Head_ > Best->Head_))
      Best = {Entry, K.Address_, K.Last_.Head_};
  }
  return Best;
}

std::vector<InstanceId> Membership::leaving(Instant Now) const {
  std::vector<InstanceId> Result;
  for (const auto &[Instance, L] : Leaving_)
    if (Now - L.SeenAt_ < Settings_.LeavingFor_)
      Result.push_back(Instance);
  return Result;
}

void Membership::recount() {
  ZonePeers_ = static_cast<std::size_t>(std::ranges::count_if(
      Peers_, [&](const auto &P) { return P.second.Zone_ == Own_.Zone_; }));
}

Micros Membership::expectedGap(const Known &K) const {
  const bool OwnZone = K.Zone_ == Own_.Zone_;
  const std::size_t FanOut =
      OwnZone ? Settings_.ZoneFanOut_ : Settings_.OtherFanOut_;
  // The sender counts this entry in place of itself, so its group is as large.
  const std::size_t Size = OwnZone ? ZonePeers_ : Peers_.size() - ZonePeers_;
  const std::size_t Rounds = (Size + FanOut - 1) / FanOut;
  return Settings_.Interval_ *
         static_cast<std::int64_t>(std::max<std::size_t>(1, Rounds));
}

Health Membership::healthOf(const Known &K, Instant Now) const {
  if (!K.Heard_)
    return Health::Introduced;
  const Micros Silent = Now - K.HeardAt_;
  const Micros Gap = expectedGap(K);
  if (Silent >= Gap * Settings_.GoneAfter_)
    return Health::Gone;
  return Silent >= Gap * Settings_.SuspectAfter_ ? Health::Suspect
                                                 : Health::Live;
}

std::vector<std::string> Membership::addressesOf(bool OwnZone,
                                                 Instant Now) const {
  std::vector<std::string> Result;
  for (const auto &[Entry, K] : Peers_) {
    const bool InGroup = (K.Zone_ == Own_.Zone_) == OwnZone;
    if (InGroup && healthOf(K, Now) != Health::Gone)
      Result.push_back(K.Address_);
  }
  return Result;
}

std::vector<std::string> Membership::lostAddresses(Instant Now) const {
  std::vector<std::string> Result;
  for (const auto &[Entry, K] : Peers_)
    if (healthOf(K, Now) == Health::Gone)
      Result.push_back(K.Address_);
  const auto Unheard = [&](const std::string &Address) {
    const auto IsAt = [&](const auto &P) {
      return P.second.Address_ == Address;
    };
    return Address != Own_.Address_ && std::ranges::none_of(Peers_, IsAt);
  };
  std::ranges::copy_if(Seeds_, std::back_inserter(Result), Unheard);
  return Result;
}

std::vector<std::string> Membership::pick(const std::vector<std::string> &From,
                                          std::size_t Count,
                                          std::size_t &Cursor) {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < std::min(Count, From.size()); ++I)
    Result.push_back(From[Cursor++ % From.size()]);
  return Result;
}

std::vector<std::string> Membership::targets(Instant Now) {
  std::vector<std::string> Result =
      pick(addressesOf(true, Now), Settings_.ZoneFanOut_, ZoneCursor_);
  const auto Others =
      pick(addressesOf(false, Now), Settings_.OtherFanOut_, OtherCursor_);
  const auto Lost =
      pick(lostAddresses(Now), Settings_.LostFanOut_, LostCursor_);
  Result.insert(Result.end(), Others.begin(), Others.end());
  Result.insert(Result.end(), Lost.begin(), Lost.end());
  return Result;
}

Heartbeat Membership::heartbeat(Instant Now, const std::string &To) {
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
  H.Leaving_ = leavingToTell(Now);
  H.Known_ = peersToIntroduce(Now, To);
  H.PlatformAway_ = State_.PlatformAway_;
  H.Queues_ = State_.Queues_;
  return H;
}

std::vector<LeavingInstance> Membership::leavingToTell(Instant Now) {
  std::vector<std::pair<std::uint32_t, InstanceId>> Order;
  for (const auto &[Instance, L] : Leaving_)
    Order.emplace_back(L.TimesTold_, Instance);
  const std::size_t Count = std::min(Order.size(), MaxLeavingInstances);
  std::ranges::partial_sort(Order,
                            Order.begin() + static_cast<std::ptrdiff_t>(Count));
  Order.resize(Count);
  std::vector<LeavingInstance> Result;
  for (const auto &[Told, Instance] : Order) {
    LeavingNote &L = Leaving_[Instance];
    ++L.TimesTold_;
    Result.push_back({Instance, toMillis(Now - L.SeenAt_)});
  }
  return Result;
}

const Membership::Known *Membership::peerAt(const std::string &Address) const {
  const auto IsAt = [&](const auto &P) { return P.second.Address_ == Address; };
  const auto I = std::ranges::find_if(Peers_, IsAt);
  return I == Peers_.end() ? nullptr : &I->second;
}

std::vector<KnownPeer> Membership::peersToIntroduce(Instant Now,
                                                    const std::string &To) {
  const Known *Receiver = peerAt(To);
  std::vector<KnownPeer> Any;
  std::vector<KnownPeer> SameZone;
  for (const auto &[Entry, K] : Peers_) {
    if (healthOf(K, Now) != Health::Live || K.Address_ == To)
      continue;
    auto &Group = Receiver && K.Zone_ == Receiver->Zone_ ? SameZone : Any;
    Group.push_back({Entry, K.Zone_, K.Address_});
  }
  // Entries of the receiver's own zone are what it needs most. The start is
  // drawn, so that receivers get different ones.
  const bool IsNew = !Receiver || !Receiver->Heard_ ||
                     Now - Receiver->FirstHeardAt_ < Settings_.NewFor_;
  const std::size_t Each = IsNew ? MaxKnownPeers / 2 : 1;
  std::vector<KnownPeer> Result;
  for (const auto *Group : {&SameZone, &Any}) {
    const std::size_t First = Jitter_.next() % (Group->size() + 1);
    for (std::size_t I = 0; I < std::min(Each, Group->size()); ++I)
      Result.push_back((*Group)[(First + I) % Group->size()]);
  }
  return Result;
}

void Membership::note(Instant SeenAt, const InstanceId &Instance) {
  const auto I = Leaving_.find(Instance);
  if (I != Leaving_.end()) {
    I->second.SeenAt_ = std::max(I->second.SeenAt_, SeenAt);
    return;
  }
  if (Leaving_.size() >= MaxLeaving)
    return;
  Leaving_[Instance] = {SeenAt, 0};
  Urgent_ = true;
}

void Membership::introduce(Instant Now, const KnownPeer &P) {
  const bool Full = Peers_.size() >= MaxPeers;
  if (P.Entry_ == Own_.Entry_ || Full || Peers_.contains(P.Entry_))
    return;
  Known K;
  K.Zone_ = P.Zone_;
  K.Address_ = P.Address_;
  K.HeardAt_ = Now;
  Peers_[P.Entry_] = K;
  recount();
}

void Membership::forgetOld(Instant Now) {
  std::erase_if(Leaving_, [&](const auto &L) {
    return Now - L.second.SeenAt_ >= Settings_.LeavingFor_;
  });
  std::erase_if(Peers_, [&](const auto &P) {
    const Known &K = P.second;
    const Micros Kept =
        std::max(Settings_.ForgetAfter_, expectedGap(K) * Settings_.GoneAfter_);
    return Now - K.HeardAt_ >= Kept;
  });
  recount();
}

std::string Membership::dump(Instant Now) const {
  QJsonArray Entries;
  for (const PeerStatus &P : peers(Now))
    Entries.append(QJsonObject{{"entry", jsonValue(P.Entry_.str())},
                               {"zone", jsonValue(P.Zone_.str())},
                               {"address", jsonValue(P.Address_)},
                               {"health", static_cast<int>(P.Health_)},
                               {"head", jsonValue(P.Last_.Head_.value())},
                               {"stopping", P.Last_.Stopping_}});
  QJsonArray Leaving;
  for (const InstanceId &I : leaving(Now))
    Leaving.append(jsonValue(I.str()));
  return jsonText({{"entry", jsonValue(Own_.Entry_.str())},
                   {"stopping", Stopping_},
                   {"peers", Entries},
                   {"leaving", Leaving}});
}

namespace {

/// The weight of an entry for a duty (FNV-1a with a final mix).
std::uint64_t weightOf(std::string_view Duty, const EntryId &Entry) {
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
    return std::pair(weightOf(Duty, E), E);
  });
  Result.resize(std::min(Count, Result.size()));
  return Result;
}

} // namespace heathercross::peer
