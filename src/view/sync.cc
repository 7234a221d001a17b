// Schedules reads of the head and requests to peers.
#include "view/sync.h"

#include "core/json-node.h"

#include <algorithm>

namespace heathercross::view {

namespace {

/// Maximum number of doublings of the read interval after failed reads.
constexpr std::uint32_t MaxDoublings = 8;

} // namespace

ViewSync::ViewSync(Instant Start, std::uint64_t Seed, SyncSettings Settings)
    : Settings_(Settings), Jitter_(Seed), Start_(Start), NextRead_(Start) {}

SyncEffects ViewSync::on(Instant Now, const SyncEvent &E) {
  SyncEffects Out;
  std::visit([&](const auto &Event) { handle(Now, Event, Out); }, E);
  setReadyFromPeers(Now, Out);
  return Out;
}

void ViewSync::handle(Instant Now, const HeadRead &E, SyncEffects &Out) {
  if (!ReadStartedAt_)
    return;
  if (Ready_ && E.Head_ <= Head_)
    return finishRead(Now);
  ReadStartedAt_ = Now;
  Out.emplace_back(ReadRows{E.Head_});
}

void ViewSync::handle(Instant Now, const RowsApplied &E, SyncEffects &Out) {
  Head_ = std::max(Head_, E.Head_);
  if (!ReadStartedAt_)
    return;
  finishRead(Now);
  if (E.Torn_)
    NextRead_ = Now + Jitter_.between(Micros(0), Settings_.HintJitter_);
  else
    setReady(Out);
}

void ViewSync::handle(Instant Now, const ReadFailed &, SyncEffects &) {
  if (ReadStartedAt_)
    backOffReads(Now);
}

void ViewSync::handle(Instant Now, const PeerHeadReported &E, SyncEffects &) {
  PeerHeads_[E.Peer_] = E.Head_;
  schedulePeerRequest(Now);
  if (E.Head_ <= std::max(Head_, HighestHint_) || platformUnavailable())
    return;
  HighestHint_ = E.Head_;
  const Micros Delay = Jitter_.between(Micros(0), Settings_.HintJitter_);
  NextRead_ = std::min(NextRead_, Now + Delay);
}

void ViewSync::handle(Instant, const PeerGone &E, SyncEffects &) {
  forgetPeer(E.Peer_);
}

void ViewSync::handle(Instant Now, const PeerChangesMerged &E, SyncEffects &) {
  Head_ = std::max(Head_, E.Head_);
  HasPeerView_ = true;
  if (RequestedPeer_ == E.Peer_)
    RequestedPeer_.reset();
  schedulePeerRequest(Now);
}

void ViewSync::handle(Instant Now, const PeerRequestFailed &E, SyncEffects &) {
  forgetPeer(E.Peer_);
  schedulePeerRequest(Now);
}

void ViewSync::handle(Instant Now, const SyncTick &, SyncEffects &Out) {
  if (ReadStartedAt_ && Now - *ReadStartedAt_ >= Settings_.ResponseTimeout_)
    backOffReads(Now);
  if (!ReadStartedAt_ && Now >= NextRead_) {
    ReadStartedAt_ = Now;
    Out.emplace_back(std::in_place_type<ReadHead>);
  }
  if (RequestedPeer_ && Now - PeerRequestedAt_ >= Settings_.ResponseTimeout_)
    forgetPeer(EntryId(*RequestedPeer_));
  schedulePeerRequest(Now);
  if (!NextPeerRequest_ || Now < *NextPeerRequest_)
    return;
  NextPeerRequest_.reset();
  if (!needsPeerRequest())
    return;
  RequestedPeer_ = peerWithHighestHead()->Peer_;
  PeerRequestedAt_ = Now;
  Out.emplace_back(RequestPeerChanges{*RequestedPeer_});
}

std::optional<ViewSync::PeerHead> ViewSync::peerWithHighestHead() const {
  const auto ByHead = [](const auto &A, const auto &B) {
    return A.second < B.second;
  };
  const auto I = std::ranges::max_element(PeerHeads_, ByHead);
  if (I == PeerHeads_.end())
    return std::nullopt;
  return PeerHead{I->first, I->second};
}

void ViewSync::finishRead(Instant Now) {
  ReadStartedAt_.reset();
  ConsecutiveFailures_ = 0;
  NextRead_ = Now + Jitter_.between(Settings_.Interval_ * 3 / 4,
                                    Settings_.Interval_ * 5 / 4);
}

void ViewSync::backOffReads(Instant Now) {
  ReadStartedAt_.reset();
  ConsecutiveFailures_ = std::min(ConsecutiveFailures_ + 1, MaxDoublings);
  const Micros MaxWait = std::min(
      Settings_.MaxBackoff_, Settings_.Interval_ * (1 << ConsecutiveFailures_));
  NextRead_ = Now + Jitter_.between(MaxWait / 4, MaxWait);
  schedulePeerRequest(Now);
}

void ViewSync::forgetPeer(const EntryId &Peer) {
  PeerHeads_.erase(Peer);
  if (RequestedPeer_ == Peer)
    RequestedPeer_.reset();
}

bool ViewSync::needsPeerRequest() const {
  const auto Peer = peerWithHighestHead();
  if (!platformUnavailable() || RequestedPeer_ || !Peer)
    return false;
  return Peer->Head_ > Head_ || (!Ready_ && !HasPeerView_);
}

void ViewSync::schedulePeerRequest(Instant Now) {
  if (!NextPeerRequest_ && needsPeerRequest())
    NextPeerRequest_ = Now + Jitter_.between(Micros(0), Settings_.HintJitter_);
}

void ViewSync::setReady(SyncEffects &Out) {
  if (Ready_)
    return;
  Ready_ = true;
  Out.emplace_back(std::in_place_type<BecameReady>);
}

void ViewSync::setReadyFromPeers(Instant Now, SyncEffects &Out) {
  if (!platformUnavailable() || !HasPeerView_ ||
      Now - Start_ < Settings_.DiscoveryDuration_)
    return;
  const auto Peer = peerWithHighestHead();
  if (!Peer || Peer->Head_ <= Head_)
    setReady(Out);
}

std::string ViewSync::dump() const {
  QJsonObject Peers;
  for (const auto &[Peer, Head] : PeerHeads_)
    Peers[QString::fromStdString(Peer.str())] = jsonValue(Head.value());
  return jsonText(
      {{"ready", Ready_},
       {"head", jsonValue(Head_.value())},
       {"failed_reads", jsonValue(std::uint64_t{ConsecutiveFailures_})},
       {"peer_heads", Peers}});
}

} // namespace heathercross::view
