// Keeps this entry's copy of the agreed view up to date.
#include "daemon/view-service.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>

namespace heathercross::daemon {

namespace {

constexpr int TickMs = 100;

view::SyncSettings syncSettings(Millis Poll) {
  view::SyncSettings S;
  S.Interval_ = Poll;
  return S;
}

/// Returns the number in the head row, zero if there is no such row, or nullopt
/// if it cannot be read.
std::optional<TicketNumber> parseHead(const store::RowResult &R) {
  if (!R.Answered_)
    return std::nullopt;
  if (!R.Row_)
    return TicketNumber();
  try {
    return view::decodeHead(R.Row_->Value_);
  } catch (const FormatError &E) {
    LOG(ERROR) << "event=bad-row problem=\"" << E.what() << "\"";
    return std::nullopt;
  }
}

} // namespace

ViewService::ViewService(ViewConfig Config, process::Clock &C, History &H,
                         store::TableClient &Platform)
    : Clock_(C), History_(H), Platform_(Platform),
      Sync_(C.now(), Config.Seed_, syncSettings(Config.Poll_)) {
  connect(&TickTimer_, &QTimer::timeout, this,
          [this] { handleEvent(view::SyncTick{}); });
}

void ViewService::start() {
  TickTimer_.start(TickMs);
  handleEvent(view::SyncTick{});
}

void ViewService::peerSeen(const EntryId &Peer, TicketNumber Head) {
  handleEvent(view::PeerHeadReported{Peer, Head});
}

void ViewService::peerGone(const EntryId &Peer) {
  handleEvent(view::PeerGone{Peer});
}

void ViewService::handleEvent(const view::SyncEvent &E) {
  for (const view::SyncEffect &Effect : Sync_.on(Clock_.now(), E))
    std::visit([this](const auto &Alternative) { execute(Alternative); },
               Effect);
}

void ViewService::execute(const view::ReadHead &) {
  Platform_.readRow(std::string(view::HeadKey),
                    [this](const store::RowResult &R) {
                      if (const auto Head = parseHead(R))
                        handleEvent(view::HeadRead{*Head});
                      else
                        handleEvent(view::ReadFailed{});
                    });
}

void ViewService::execute(const view::ReadRows &E) {
  scan(Store_.cursor(),
       [this, Head = E.Head_](std::optional<std::vector<Row>> Rows) {
         if (!Rows)
           return handleEvent(view::ReadFailed{});
         const bool Torn = apply(*Rows, Head) == view::Applied::Torn;
         handleEvent(view::RowsApplied{Store_.head(), Torn});
       });
}

void ViewService::execute(const view::RequestPeerChanges &E) {
  if (!AskPeer_)
    return handleEvent(view::PeerRequestFailed{E.Peer_});
  AskPeer_(E.Peer_, Store_.head(),
           [this, Peer = E.Peer_](std::optional<view::ViewChanges> Changes) {
             if (!Changes)
               return handleEvent(view::PeerRequestFailed{Peer});
             const TicketNumber PreviousHead = Store_.head();
             const bool Known = Store_.hasView();
             try {
               Store_.merge(*Changes);
             } catch (const FormatError &Invalid) {
               LOG(ERROR) << "event=bad-peer-rows peer=" << Peer.str()
                          << " problem=\"" << Invalid.what() << "\"";
               return handleEvent(view::PeerRequestFailed{Peer});
             }
             handleEvent(view::PeerChangesMerged{Peer, Store_.head()});
             if (!Known || Store_.head() != PreviousHead)
               notifyChanged(PreviousHead);
           });
}

void ViewService::execute(const view::BecameReady &) {
  LOG(INFO) << "event=view-ready head=" << Store_.head().value();
  if (OnChange_)
    OnChange_();
}

void ViewService::scan(
    RowVersion After,
    std::function<void(std::optional<std::vector<Row>>)> Done) {
  Platform_.scan(std::string(view::ViewPrefix), After,
                 [Done = std::move(Done)](const store::ScanResult &R) {
                   Done(R.Answered_ ? std::optional(R.Rows_) : std::nullopt);
                 });
}

view::Applied ViewService::apply(const std::vector<Row> &Rows,
                                 TicketNumber Head) {
  const TicketNumber PreviousHead = Store_.head();
  const bool Known = Store_.hasView();
  try {
    const view::Applied Result = Store_.apply(Rows, Head);
    if (Result == view::Applied::Newer || Known != Store_.hasView())
      notifyChanged(PreviousHead);
    return Result;
  } catch (const FormatError &E) {
    LOG(ERROR) << "event=bad-row problem=\"" << E.what() << "\"";
    return view::Applied::Torn;
  }
}

void ViewService::notifyChanged(TicketNumber PreviousHead) {
  const auto Head = static_cast<qint64>(Store_.head().value());
  LOG(INFO) << "event=in-force ticket=" << Head
            << " before=" << PreviousHead.value();
  History_.write("in-force", std::to_string(Head), {{"head", Head}});
  if (OnChange_)
    OnChange_();
}

void ViewService::readNow(std::function<void(bool)> Done) {
  Platform_.readRow(std::string(view::HeadKey), [this, Done = std::move(Done)](
                                                    const store::RowResult &R) {
    const auto Head = parseHead(R);
    if (!Head)
      return Done(false);
    if (Store_.hasView() && *Head <= Store_.head())
      return Done(true);
    scan(Store_.cursor(),
         [this, Head, Done](std::optional<std::vector<Row>> Rows) {
           Done(Rows && apply(*Rows, *Head) != view::Applied::Torn);
         });
  });
}

} // namespace heathercross::daemon
