// PoolHolder's loading of the rows that earlier holders stored.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"
#include "platform/documents.h"

#include <algorithm>
#include <map>
#include <utility>

namespace heathercross::entry {

using detail::MaxRenewalAge;
using detail::RetryPause;
using detail::toQString;

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;
using schedule::Job;

/// The store usually answers in 5 ms, and in 60 times that when it is slow.
constexpr Millis ReadTimeout{1500};

} // namespace

void PoolHolder::load() {
  LoadedRows_.clear();
  readRows(RosterTable, "", [this] {
    readRows(JobTable, "", [this] {
      readRows(ProgressTable, "", [this] { restoreJobs(); });
    });
  });
}

void PoolHolder::readRows(const std::string &Table, const std::string &From,
                          std::function<void()> OnDone) {
  Context_.Store_.read(
      Table, Pool_.str(), From, ReadTimeout,
      guarded(this, [this, Table, From,
                     OnDone = std::move(OnDone)](const StoreReply &R) {
        if (Lost_)
          return;
        const Instant Now = Context_.Clock_.now();
        if (R.Clock_)
          Writer_.storeClock().answered(*R.Clock_, Now - R.Took_, Now);
        if (R.Outcome_ != StoreOutcome::Ok) {
          Context_.Log_.write(
              "load-retry",
              {{"pool", toQString(Pool_.str())},
               {"table", toQString(Table)},
               {"outcome", platform_api::outcomeName(R.Outcome_)}});
          QTimer::singleShot(RetryPause, this, [this, Table, From, OnDone] {
            readRows(Table, From, OnDone);
          });
          return;
        }
        auto &Rows = LoadedRows_[Table];
        Rows.insert(Rows.end(), R.Rows_.begin(), R.Rows_.end());
        if (R.More_ && !R.Rows_.empty())
          return readRows(Table, R.Rows_.back().Place_.Key_ + '\0', OnDone);
        OnDone();
      }));
}

void PoolHolder::restoreJobs() {
  const Instant Now = Context_.Clock_.now();
  const schedule::WallTime Wall = Context_.Clock_.wall();
  std::map<std::string, std::string> Progress;
  for (const auto &Row : LoadedRows_[ProgressTable])
    Progress[Row.Place_.Key_] = Row.Value_;
  std::size_t OpenJobs = 0;
  for (const auto &Row : LoadedRows_[JobTable]) {
    const JobId Id(Row.Place_.Key_);
    const auto Stored = decodeJob(Row.Value_);
    const auto Spec =
        Stored ? platform_api::parseJob(Stored->Body_) : std::nullopt;
    if (!Spec) {
      Context_.Log_.write("job-unreadable", jobFields(Id));
      continue;
    }
    Job J(Id, Stored->Queue_, *Spec, Now - (Wall - Stored->Accepted_));
    const auto Saved = Progress.find(Row.Place_.Key_);
    try {
      if (Saved != Progress.end())
        J.decodeProgress(Saved->second);
    } catch (const FormatError &E) {
      QJsonObject F = jobFields(Id);
      F["error"] = E.what();
      Context_.Log_.write("progress-unreadable", F);
      continue;
    }
    if (isFinal(J.state()))
      JobEnds_[Id] = {0, Now};
    else
      ++OpenJobs;
    Scheduler_.restore(std::move(J),
                       schedule::attemptFloor(self().Epoch_, Stored->Epoch_));
  }
  // The former holder may have granted leases until MaxRenewalAge after it last
  // renewed the duty, which was before this holder took it.
  const Instant LastLeaseEnd = Now + MaxRenewalAge + leaseBound();
  std::map<InstanceId, Instant> Awaited;
  for (const auto &Row : LoadedRows_[RosterTable])
    for (const auto &[Id, Listed] : decodeRoster(Row.Value_)) {
      const auto EndBy =
          Listed.RunsEndBy_ ? Writer_.storeClock().reachedBy(*Listed.RunsEndBy_)
                            : std::nullopt;
      Awaited[Id] = EndBy.value_or(LastLeaseEnd);
      Roster_[Id] = Listed;
      if (Listed.RunsEndBy_)
        RecordedSilent_.insert(Id);
      if (Links_.contains(Id)) {
        Scheduler_.setRostered(Id, !Listed.RunsEndBy_);
        continue;
      }
      schedule::WorkerInfo Info;
      Info.Id_ = Id;
      Info.Pool_ = Pool_;
      Info.Address_ = Listed.Address_;
      // Adds the worker as not registered: it may have runs but gets no new
      // ones.
      Scheduler_.setWorker(Info);
      Scheduler_.removeWorker(Id);
      Links_[Id].Address_ = Listed.Address_;
    }
  const auto AwaitedSilent = std::ranges::count_if(
      Roster_, [](const auto &E) { return E.second.RunsEndBy_.has_value(); });
  Scheduler_.awaitWorkers(Awaited);
  Context_.Log_.write(
      "duty-loaded",
      {{"pool", toQString(Pool_.str())},
       {"epoch", static_cast<qint64>(self().Epoch_.value())},
       {"jobs", static_cast<qint64>(LoadedRows_[JobTable].size())},
       {"open", static_cast<qint64>(OpenJobs)},
       {"awaited", static_cast<qint64>(Awaited.size())},
       {"awaited_silent", static_cast<qint64>(AwaitedSilent)}});
  LoadedRows_.clear();
  Ready_ = true;
  scheduleRound();
}

} // namespace heathercross::entry
