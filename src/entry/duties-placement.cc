// Which entry holds a duty: releases after a restart, and handovers because of
// load.
#include "entry/duties.h"

#include "entry/rows.h"

#include <cmath>

namespace heathercross::entry {

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;

constexpr Millis ReleaseTimeout{1500};
/// Minimum time between two handovers of an entry, so that the effect of the
/// first one shows before the next.
constexpr Micros HandoverInterval{Seconds(3)};
/// Minimum time between reads of the holder rows because of an entry that
/// doesn't hold the duty it was asked for.
constexpr Micros NotHeldInterval{Millis(150)};
/// An event loop that is this late counts as loaded. Rounds of an entry with
/// 0.12 of a core are late by up to 90 ms, as it gets its time each 100 ms.
constexpr Micros LoadedLag{Millis(250)};
constexpr double MilliPerCore = 1000;
constexpr double Percent = 100;

/// The entry's name without the id of its process start.
EntryId nameOf(const EntryId &Incarnation) {
  return EntryId(Incarnation.str().substr(0, Incarnation.str().find('/')));
}

} // namespace

void Duties::entrySeen(const EntryId &Entry, std::uint32_t CpuMilli) {
  if (!Entry.empty() && CpuMilli > 0)
    Shares_.seen(Entry, CpuMilli / MilliPerCore, Context_.Clock_.now());
}

void Duties::notHeld() {
  const Instant Now = Context_.Clock_.now();
  if (Now - LastNotHeldPoll_ < NotHeldInterval)
    return;
  LastNotHeldPoll_ = Now;
  ClusterState_.pollDutiesNow();
}

void Duties::writeRelease(const PoolId &Pool,
                          const schedule::StoredHolder &Former) {
  Claiming_ = true;
  schedule::HolderRow Vacant = Former.Row_;
  Vacant.Holder_ = EntryId();
  Vacant.Address_.clear();
  ++Vacant.Serial_;
  const platform_api::RowPlace Place{HolderTable, Pool.str(), HolderKey};
  Context_.Store_.transact(
      {{{Place, Former.Version_}}, {{Place, encodeHolder(Vacant)}}},
      ReleaseTimeout, guarded(this, [this, Pool, Vacant](const StoreReply &R) {
        Claiming_ = false;
        Context_.Log_.write(
            "duty-released",
            {{"pool", Pool.str().c_str()},
             {"epoch", static_cast<qint64>(Vacant.Epoch_.value())},
             {"cpu_share", Context_.Settings_.CpuShare_},
             {"cause", "restart-with-low-share"},
             {"outcome", platform_api::outcomeName(R.Outcome_)}});
        const Instant Now = Context_.Clock_.now();
        if (R.Outcome_ == StoreOutcome::Ok)
          return ClusterState_.duties().holderRead(Pool, {Vacant, R.Version_},
                                                   Now);
        if (R.Outcome_ != StoreOutcome::Conflict)
          return ClusterState_.duties().claimRefused(Now);
        for (const auto &Row : R.Rows_)
          if (const auto H = decodeHolder(Row.Value_); H && !Row.Removed_)
            ClusterState_.duties().holderRead(Pool, {*H, Row.Version_}, Now);
      }));
}

std::map<EntryId, std::size_t> Duties::dutiesByEntry() const {
  std::map<EntryId, std::size_t> Held;
  for (const PoolId &P : ClusterState_.duties().pools())
    if (const auto H = ClusterState_.duties().holder(P))
      ++Held[nameOf(H->Row_.Holder_)];
  return Held;
}

void Duties::observeLoad() {
  const Instant Now = Context_.Clock_.now();
  for (const auto &[Pool, H] : Holders_)
    Places_[Pool].observe(H->heldBack() || H->lag() > LoadedLag, Now);
}

void Duties::checkPlacement() {
  if (Stopping_)
    return;
  observeLoad();
  const Instant Now = Context_.Clock_.now();
  if (!Claiming_ && ClusterState_.configuration())
    if (const auto C =
            ClusterState_.duties().nextReleasedClaim(heldCount(), Now))
      return claim(*C);
  // A handover while the store doesn't answer would leave the duty vacant.
  if (Now - LastHandover_ < HandoverInterval || !ClusterState_.storeAnswers())
    return;
  for (const auto &[Pool, H] : Holders_) {
    if (H->handingOver() || !Places_[Pool].wantsHandover(Now))
      continue;
    const auto To = Shares_.stronger(Context_.Settings_.CpuShare_, heldCount(),
                                     dutiesByEntry(), Now);
    if (To)
      return handOver(Pool, *H, *To);
  }
}

void Duties::handOver(const PoolId &Pool, PoolHolder &H,
                      const schedule::EntryShares::Candidate &To) {
  const Instant Now = Context_.Clock_.now();
  LastHandover_ = Now;
  Places_[Pool].handedOver(Now);
  Context_.Metrics_.add("heathercross_duties_handed_over_total",
                        "Duties given back because this entry was loaded and "
                        "one with more processor time was alive.");
  Context_.Log_.write(
      "duty-handover",
      {{"pool", Pool.str().c_str()},
       {"epoch", static_cast<qint64>(H.self().Epoch_.value())},
       {"cpu_share", Context_.Settings_.CpuShare_},
       {"duties", static_cast<qint64>(heldCount())},
       {"loaded_percent", std::round(Places_[Pool].loadedPart(Now) * Percent)},
       {"lag_ms", static_cast<qint64>(toMillis(H.lag()).count())},
       {"stronger_entry", To.Entry_.str().c_str()},
       {"stronger_cpu_share", To.Cores_}});
  H.handOver([this, Pool] {
    ClusterState_.duties().handedOver(Pool, Context_.Clock_.now());
  });
}

} // namespace heathercross::entry
