// Follows the changes of one table of the store.
#include "entry/table-follower.h"

#include <algorithm>
#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;

/// The store usually answers in 4 ms, and in 60 times that when it is slow.
constexpr Millis CallTimeout{900};
/// Pause after a failed call.
constexpr Millis FailurePause{250};

/// The smallest key greater than that of a row.
std::string keyAfter(const platform_api::StoredRow &Row) {
  return Row.Place_.Key_ + '\0';
}

} // namespace

TableFollower::TableFollower(Context &C, FollowerConfig Config, Handlers H)
    : Context_(C), Config_(std::move(Config)), Handlers_(std::move(H)) {
  PollTimer_.setSingleShot(true);
  connect(&PollTimer_, &QTimer::timeout, this, [this] { poll(); });
}

void TableFollower::start() { schedulePoll(Millis(0)); }

void TableFollower::pollNow() {
  if (!InFlight_)
    schedulePoll(Millis(0));
}

void TableFollower::schedulePoll(Millis Pause) {
  PollTimer_.start(static_cast<int>(Pause.count()));
}

void TableFollower::poll() {
  if (InFlight_)
    return;
  if (!TableRead_)
    return readTable();
  InFlight_ = true;
  Context_.Store_.changes(Config_.Table_, Version_, Config_.Wait_, CallTimeout,
                          guarded(this, [this](const StoreReply &R) {
                            InFlight_ = false;
                            handleChangesReply(R);
                          }));
}

void TableFollower::trackOutage(const StoreReply &R) {
  const Instant Now = Context_.Clock_.now();
  const bool Ok = R.Outcome_ == StoreOutcome::Ok;
  if (Ok)
    CurrentAt_ = Now;
  if (Ok && FailingSince_) {
    Context_.Log_.write(
        "dependency-back",
        {{"dependency", "store"},
         {"table", Config_.Table_.c_str()},
         {"away_ms",
          static_cast<qint64>(toMillis(Now - *FailingSince_).count())}});
    FailingSince_.reset();
  } else if (!Ok && !FailingSince_ && R.Outcome_ != StoreOutcome::HistoryGone) {
    FailingSince_ = Now;
    Context_.Log_.write("dependency-lost",
                        {{"dependency", "store"},
                         {"table", Config_.Table_.c_str()},
                         {"outcome", platform_api::outcomeName(R.Outcome_)}});
  }
}

void TableFollower::handleChangesReply(const StoreReply &R) {
  trackOutage(R);
  if (R.Outcome_ == StoreOutcome::HistoryGone) {
    Context_.Log_.write("table-reread", {{"table", Config_.Table_.c_str()},
                                         {"cause", "history-gone"}});
    TableRead_ = false;
    return schedulePoll(Millis(0));
  }
  if (R.Outcome_ != StoreOutcome::Ok)
    return schedulePoll(FailurePause);
  Version_ = std::max(Version_, R.Version_);
  if (!R.Rows_.empty())
    Handlers_.OnChanges_(R.Rows_);
  Handlers_.OnCurrent_();
  schedulePoll(Config_.Pause_);
}

void TableFollower::readTable() {
  PartitionsLeft_ = Handlers_.Partitions_();
  NextKey_.clear();
  FirstVersion_ = RowVersion();
  Rows_.clear();
  if (PartitionsLeft_.empty())
    return schedulePoll(FailurePause);
  if (!Config_.IndexTable_.empty())
    return readIndex("");
  readPage();
}

void TableFollower::readIndex(const std::string &From) {
  InFlight_ = true;
  Context_.Store_.read(Config_.IndexTable_, "", From, CallTimeout,
                       guarded(this, [this](const StoreReply &R) {
                         InFlight_ = false;
                         handleIndexReply(R);
                       }));
}

void TableFollower::handleIndexReply(const StoreReply &R) {
  trackOutage(R);
  if (R.Outcome_ != StoreOutcome::Ok)
    return schedulePoll(FailurePause);
  for (const auto &Row : R.Rows_) {
    if (Row.Removed_)
      continue;
    Handlers_.OnIndexRow_(Row);
    if (std::ranges::find(PartitionsLeft_, Row.Place_.Key_) ==
        PartitionsLeft_.end())
      PartitionsLeft_.push_back(Row.Place_.Key_);
  }
  if (R.More_ && !R.Rows_.empty())
    return readIndex(keyAfter(R.Rows_.back()));
  readPage();
}

void TableFollower::readPage() {
  InFlight_ = true;
  Context_.Store_.read(Config_.Table_, PartitionsLeft_.back(), NextKey_,
                       CallTimeout, guarded(this, [this](const StoreReply &R) {
                         InFlight_ = false;
                         handleReadReply(R);
                       }));
}

void TableFollower::handleReadReply(const StoreReply &R) {
  trackOutage(R);
  if (R.Outcome_ != StoreOutcome::Ok)
    return schedulePoll(FailurePause);
  if (FirstVersion_ == RowVersion())
    FirstVersion_ = R.Version_;
  Rows_.insert(Rows_.end(), R.Rows_.begin(), R.Rows_.end());
  if (R.More_ && !R.Rows_.empty()) {
    NextKey_ = keyAfter(R.Rows_.back());
    return readPage();
  }
  PartitionsLeft_.pop_back();
  NextKey_.clear();
  if (!PartitionsLeft_.empty())
    return readPage();
  TableRead_ = true;
  Version_ = FirstVersion_;
  Handlers_.OnTable_(std::exchange(Rows_, {}));
  Handlers_.OnCurrent_();
  schedulePoll(Config_.Pause_);
}

} // namespace heathercross::entry
