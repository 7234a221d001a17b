// Writes the changes of one duty to the store.
#include "entry/journal-writer.h"

#include "entry/rows.h"

#include <QTimer>

#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;

/// The store usually answers in 10 ms, and in 60 times that when it is slow.
constexpr Millis CommitTimeout{1500};
/// How long a refused write that gives a duty back is repeated, and the pause
/// between two tries. A planned stop has to end in time.
constexpr Millis MaxGiveBack{1500};
constexpr Millis GiveBackPause{100};

QString toQString(const std::string &T) { return QString::fromStdString(T); }

const char *tableOf(schedule::RowKind Kind) {
  switch (Kind) {
  case schedule::RowKind::Job:
    return JobTable;
  case schedule::RowKind::Progress:
    return ProgressTable;
  case schedule::RowKind::Roster:
    return RosterTable;
  case schedule::RowKind::Wave:
    return WaveTable;
  }
  return JobTable;
}

} // namespace

JournalWriter::JournalWriter(Context &C, PoolId Pool, schedule::HeldDuty Duty,
                             Handlers H)
    : Context_(C), Pool_(std::move(Pool)), Handlers_(std::move(H)),
      Journal_(std::move(Duty)) {}

void JournalWriter::sendNextBatch() {
  const Instant Now = Context_.Clock_.now();
  auto B = Journal_.next(Now);
  if (!B)
    return;
  platform_api::StoreTransaction T;
  const platform_api::RowPlace Guard{HolderTable, Pool_.str(), HolderKey};
  T.Conditions_ = {{Guard, B->Guard_}};
  T.Changes_ = {{Guard, encodeHolder(B->Holder_)}};
  for (schedule::RowWrite &W : B->Writes_)
    T.Changes_.push_back({{tableOf(W.Kind_), Pool_.str(), std::move(W.Key_)},
                          std::move(W.Value_)});
  Context_.Store_.transact(
      T, CommitTimeout,
      guarded(this, [this, Now](const StoreReply &R) { committed(R, Now); }));
}

void JournalWriter::committed(const StoreReply &R, Instant SentAt) {
  const Instant Now = Context_.Clock_.now();
  const bool WasFailing = Journal_.failingSince().has_value();
  if (R.Clock_)
    StoreClock_.answered(*R.Clock_, SentAt, Now);
  switch (R.Outcome_) {
  case StoreOutcome::Ok:
    Journal_.committed(R.Version_, SentAt);
    break;
  case StoreOutcome::Conflict: {
    std::optional<schedule::HolderRow> Current;
    RowVersion Version;
    for (const auto &Row : R.Rows_)
      if (Row.Place_.Table_ == HolderTable && !Row.Removed_) {
        Current = decodeHolder(Row.Value_);
        Version = Row.Version_;
      }
    Journal_.conflict(Current, Version, SentAt);
    break;
  }
  case StoreOutcome::Refused:
  case StoreOutcome::Rejected:
    Journal_.refused(Now);
    break;
  case StoreOutcome::HistoryGone:
  case StoreOutcome::Unknown:
    Journal_.outcomeUnknown(Now);
    break;
  }
  logOutage(WasFailing, R);
  if (Journal_.lost())
    return Handlers_.OnLost_();
  Handlers_.OnDurable_();
}

void JournalWriter::logOutage(bool WasFailing, const StoreReply &R) {
  if (!WasFailing && Journal_.failingSince())
    Context_.Log_.write("commit-failing",
                        {{"pool", toQString(Pool_.str())},
                         {"outcome", platform_api::outcomeName(R.Outcome_)},
                         {"waiting", static_cast<qint64>(Journal_.waiting())}});
  if (WasFailing && !Journal_.failingSince())
    Context_.Log_.write("commit-working", {{"pool", toQString(Pool_.str())}});
}

void JournalWriter::giveBack(const std::function<void()> &OnDone) {
  writeVacant(Context_.Clock_.now() + MaxGiveBack, OnDone);
}

void JournalWriter::writeVacant(Instant Until,
                                const std::function<void()> &OnDone) {
  schedule::HolderRow Vacant = Journal_.self();
  Vacant.Holder_ = EntryId();
  Vacant.Address_.clear();
  ++Vacant.Serial_;
  const platform_api::RowPlace Place{HolderTable, Pool_.str(), HolderKey};
  Context_.Store_.transact(
      {{{Place, Journal_.guard()}}, {{Place, encodeHolder(Vacant)}}},
      CommitTimeout, guarded(this, [this, Until, OnDone](const StoreReply &R) {
        if (R.Outcome_ == StoreOutcome::Refused &&
            Context_.Clock_.now() < Until) {
          QTimer::singleShot(GiveBackPause, this, [this, Until, OnDone] {
            writeVacant(Until, OnDone);
          });
          return;
        }
        // The same write isn't tried again if it may have been carried out: a
        // successor may already rely on it.
        Context_.Log_.write(
            "duty-given-back",
            {{"pool", toQString(Pool_.str())},
             {"epoch", static_cast<qint64>(Journal_.self().Epoch_.value())},
             {"outcome", platform_api::outcomeName(R.Outcome_)}});
        if (R.Outcome_ != StoreOutcome::Ok)
          Context_.Metrics_.add("heathercross_duties_not_given_back_total",
                                "Duties that ended here without a write that "
                                "gives them back; others claim them later.");
        OnDone();
      }));
}

} // namespace heathercross::entry
