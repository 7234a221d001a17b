// Decisions of when to read the head and when to ask a peer.
#include "view/sync.h"

#include "core/json-place.h"

#include <algorithm>

namespace heathercross::view {

namespace {

/// The most doublings of the interval after failed reads.
constexpr std::uint32_t MaxDoublings = 8;

} // namespace

ViewSync::ViewSync(Instant Start, std::uint64_t Seed, SyncSettings Settings)
    : Settings_(Settings), Jitter_(Seed), Start_(Start), NextRead_(Start) {}

SyncEffects ViewSync::on(Instant Now, const SyncEvent &E) {
  SyncEffects Out;
  std::visit([&](const auto &Known) { handle(Now, Known, Out); }, E);
  becomeReadyFromPeers(Now, Out);
  return Out;
}

void ViewSync::handle(Instant Now, const HeadRead &E, SyncEffects &Out) {
  if (!ReadSince_)
    return;
  if (Ready_ && E.Head_ <= Head_)
    return readDone(Now);
  ReadSince_ = Now;
  Out.emplace_back(ReadRows{E.Head_});
}

void ViewSync::handle(Instant Now, const RowsApplied &E, SyncEffects &Out) {
  Head_ = std::max(Head_, E.Head_);
  if (!ReadSince_)
    return;
  readDone(Now);
  if (E.Torn_)
    NextRead_ = Now + Jitter_.between(Micros(0), Settings_.HintSpread_);
  else
    becomeReady(Out);
}

void ViewSync::handle(Instant Now, const ReadFailed &, SyncEffects &) {
  if (ReadSince_)
    readFailed(Now);
}

void ViewSync::handle(Instant Now, const PeerSeen &E, SyncEffects &) {
  Peers_[E.Peer_] = E.Head_;
  planAsk(Now);
  if (E.Head_ <= std::max(Head_, Hinted_) || platformAway())
    return;
  Hinted_ = E.Head_;
  const Micros Wait = Jitter_.between(Micros(0), Settings_.HintSpread_);
  NextRead_ = std::min(NextRead_, Now + Wait);
}

void ViewSync::handle(Instant, const PeerGone &E, SyncEffects &) {
  forget(E.Peer_);
}

void ViewSync::handle(Instant Now, const PeerAnswered &E, SyncEffects &) {
  Head_ = std::max(Head_, E.Head_);
  PeerMerged_ = true;
  if (Asked_ == E.Peer_)
    Asked_.reset();
  planAsk(Now);
}

void ViewSync::handle(Instant Now, const PeerFailed &E, SyncEffects &) {
  forget(E.Peer_);
  planAsk(Now);
}

void ViewSync::handle(Instant Now, const SyncTick &, SyncEffects &Out) {
  if (ReadSince_ && Now - *ReadSince_ >= Settings_.AnswerTimeout_)
    readFailed(Now);
  if (!ReadSince_ && Now >= NextRead_) {
    ReadSince_ = Now;
    Out.emplace_back(std::in_place_type<ReadHead>);
  }
  if (Asked_ && Now - AskedAt_ >= Settings_.AnswerTimeout_)
    forget(EntryId(*Asked_));
  planAsk(Now);
  if (!NextAsk_ || Now < *NextAsk_)
    return;
  NextAsk_.reset();
  if (!wantsPeer())
    return;
  Asked_ = bestPeer()->Peer_;
  AskedAt_ = Now;
  Out.emplace_back(AskPeer{*Asked_});
}

std::optional<ViewSync::Best> ViewSync::bestPeer() const {
  const auto ByHead = [](const auto &A, const auto &B) {
    return A.second < B.second;
  };
  const auto I = std::ranges::max_element(Peers_, ByHead);
  if (I == Peers_.end())
    return std::nullopt;
  return Best{I->first, I->second};
}

void ViewSync::readDone(Instant Now) {
  ReadSince_.reset();
  Failures_ = 0;
  NextRead_ = Now + Jitter_.between(Settings_.Interval_ * 3 / 4,
                                    Settings_.Interval_ * 5 / 4);
}

void ViewSync::readFailed(Instant Now) {
  ReadSince_.reset();
  Failures_ = std::min(Failures_ + 1, MaxDoublings);
  const Micros Longest =
      std::min(Settings_.MaxBackoff_, Settings_.Interval_ * (1 << Failures_));
  NextRead_ = Now + Jitter_.between(Longest / 4, Longest);
  planAsk(Now);
}

void ViewSync::forget(const EntryId &Peer) {
  Peers_.erase(Peer);
  if (Asked_ == Peer)
    Asked_.reset();
}

bool ViewSync::wantsPeer() const {
  const auto Ahead = bestPeer();
  if (!platformAway() || Asked_ || !Ahead)
    return false;
  return Ahead->Head_ > Head_ || (!Ready_ && !PeerMerged_);
}

void ViewSync::planAsk(Instant Now) {
  if (!NextAsk_ && wantsPeer())
    NextAsk_ = Now + Jitter_.between(Micros(0), Settings_.HintSpread_);
}

void ViewSync::becomeReady(SyncEffects &Out) {
  if (Ready_)
    return;
  Ready_ = true;
  Out.emplace_back(std::in_place_type<BecameReady>);
}

void ViewSync::becomeReadyFromPeers(Instant Now, SyncEffects &Out) {
  if (!platformAway() || !PeerMerged_ || Now - Start_ < Settings_.Listen_)
    return;
  const auto Ahead = bestPeer();
  if (!Ahead || Ahead->Head_ <= Head_)
    becomeReady(Out);
}

std::string ViewSync::dump() const {
  QJsonObject Peers;
  for (const auto &[Peer, Head] : Peers_)
    Peers[QString::fromStdString(Peer.str())] = jsonValue(Head.value());
  return jsonText({{"ready", Ready_},
                   {"head", jsonValue(Head_.value())},
                   {"failed_reads", jsonValue(std::uint64_t{Failures_})},
                   {"peer_heads", Peers}});
}

} // namespace heathercross::view
