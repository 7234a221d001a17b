// Keeps up with the rows of one table of the store.
#include "entry/table-follower.h"

#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;

/// The store answers in 4 ms, and in 60 times that on its slow days.
constexpr Millis CallTimeout{900};
/// After a call that failed.
constexpr Millis FailurePause{250};

} // namespace

TableFollower::TableFollower(Context &C, FollowerConfig Config, Handlers H)
    : Context_(C), Config_(std::move(Config)), Handlers_(std::move(H)) {
  Next_.setSingleShot(true);
  connect(&Next_, &QTimer::timeout, this, [this] { poll(); });
}

void TableFollower::start() { again(Millis(0)); }

void TableFollower::hurry() {
  if (!InFlight_)
    again(Millis(0));
}

void TableFollower::again(Millis Pause) {
  Next_.start(static_cast<int>(Pause.count()));
}

void TableFollower::poll() {
  if (InFlight_)
    return;
  if (!HaveAll_)
    return readAll();
  InFlight_ = true;
  Context_.Store_.changes(Config_.Table_, Version_, Config_.Wait_, CallTimeout,
                          guarded(this, [this](const StoreReply &R) {
                            InFlight_ = false;
                            takeChanges(R);
                          }));
}

void TableFollower::noteOutcome(const StoreReply &R) {
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

void TableFollower::takeChanges(const StoreReply &R) {
  noteOutcome(R);
  if (R.Outcome_ == StoreOutcome::HistoryGone) {
    Context_.Log_.write("table-reread", {{"table", Config_.Table_.c_str()},
                                         {"cause", "history-gone"}});
    HaveAll_ = false;
    return again(Millis(0));
  }
  if (R.Outcome_ != StoreOutcome::Ok)
    return again(FailurePause);
  Version_ = std::max(Version_, R.Version_);
  if (!R.Rows_.empty())
    Handlers_.OnSome_(R.Rows_);
  Handlers_.OnCurrent_();
  again(Config_.Pause_);
}

void TableFollower::readAll() {
  Left_ = Handlers_.Partitions_();
  From_.clear();
  FirstVersion_ = RowVersion();
  Rows_.clear();
  if (Left_.empty())
    return again(FailurePause);
  readNext();
}

void TableFollower::readNext() {
  InFlight_ = true;
  Context_.Store_.read(Config_.Table_, Left_.back(), From_, CallTimeout,
                       guarded(this, [this](const StoreReply &R) {
                         InFlight_ = false;
                         takeAll(R);
                       }));
}

void TableFollower::takeAll(const StoreReply &R) {
  noteOutcome(R);
  if (R.Outcome_ != StoreOutcome::Ok)
    return again(FailurePause);
  if (FirstVersion_ == RowVersion())
    FirstVersion_ = R.Version_;
  Rows_.insert(Rows_.end(), R.Rows_.begin(), R.Rows_.end());
  if (R.More_ && !R.Rows_.empty()) {
    // The key right behind the last one.
    From_ = R.Rows_.back().Place_.Key_ + '\0';
    return readNext();
  }
  Left_.pop_back();
  From_.clear();
  if (!Left_.empty())
    return readNext();
  HaveAll_ = true;
  Version_ = FirstVersion_;
  Handlers_.OnAll_(std::exchange(Rows_, {}));
  Handlers_.OnCurrent_();
  again(Config_.Pause_);
}

} // namespace heathercross::entry
