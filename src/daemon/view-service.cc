// Keeps the agreed view in force at this entry.
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

/// The ticket in the row "head", or nothing when it can't be read.
std::optional<TicketNumber> headIn(const store::RowResult &R) {
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
  connect(&Tick_, &QTimer::timeout, this, [this] { feed(view::SyncTick{}); });
}

void ViewService::start() {
  Tick_.start(TickMs);
  feed(view::SyncTick{});
}

void ViewService::peerSeen(const EntryId &Peer, TicketNumber Head) {
  feed(view::PeerSeen{Peer, Head});
}

void ViewService::peerGone(const EntryId &Peer) { feed(view::PeerGone{Peer}); }

void ViewService::feed(const view::SyncEvent &E) {
  for (const view::SyncEffect &One : Sync_.on(Clock_.now(), E))
    std::visit([this](const auto &What) { execute(What); }, One);
}

void ViewService::execute(const view::ReadHead &) {
  Platform_.readRow(std::string(view::HeadKey),
                    [this](const store::RowResult &R) {
                      if (const auto Head = headIn(R))
                        feed(view::HeadRead{*Head});
                      else
                        feed(view::ReadFailed{});
                    });
}

void ViewService::execute(const view::ReadRows &E) {
  scan(Store_.cursor(),
       [this, Head = E.Head_](std::optional<std::vector<Row>> Rows) {
         if (!Rows)
           return feed(view::ReadFailed{});
         const bool Torn = apply(*Rows, Head) == view::Applied::Torn;
         feed(view::RowsApplied{Store_.head(), Torn});
       });
}

void ViewService::execute(const view::AskPeer &E) {
  if (!AskPeer_)
    return feed(view::PeerFailed{E.Peer_});
  AskPeer_(E.Peer_, Store_.head(),
           [this, Peer = E.Peer_](std::optional<view::ViewChanges> Changes) {
             if (!Changes)
               return feed(view::PeerFailed{Peer});
             const TicketNumber Before = Store_.head();
             const bool Known = Store_.known();
             try {
               Store_.merge(*Changes);
             } catch (const FormatError &Bad) {
               LOG(ERROR) << "event=bad-peer-rows peer=" << Peer.str()
                          << " problem=\"" << Bad.what() << "\"";
               return feed(view::PeerFailed{Peer});
             }
             feed(view::PeerAnswered{Peer, Store_.head()});
             if (!Known || Store_.head() != Before)
               changed(Before);
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
  const TicketNumber Before = Store_.head();
  const bool Known = Store_.known();
  try {
    const view::Applied Result = Store_.apply(Rows, Head);
    if (Result == view::Applied::Newer || Known != Store_.known())
      changed(Before);
    return Result;
  } catch (const FormatError &E) {
    LOG(ERROR) << "event=bad-row problem=\"" << E.what() << "\"";
    return view::Applied::Torn;
  }
}

void ViewService::changed(TicketNumber Before) {
  const auto Head = static_cast<qint64>(Store_.head().value());
  LOG(INFO) << "event=in-force ticket=" << Head << " before=" << Before.value();
  History_.write("in-force", std::to_string(Head), {{"head", Head}});
  if (OnChange_)
    OnChange_();
}

void ViewService::readNow(std::function<void(bool)> Done) {
  Platform_.readRow(std::string(view::HeadKey), [this, Done = std::move(Done)](
                                                    const store::RowResult &R) {
    const auto Head = headIn(R);
    if (!Head)
      return Done(false);
    if (Store_.known() && *Head <= Store_.head())
      return Done(true);
    scan(Store_.cursor(),
         [this, Head, Done](std::optional<std::vector<Row>> Rows) {
           Done(Rows && apply(*Rows, *Head) != view::Applied::Torn);
         });
  });
}

} // namespace heathercross::daemon
