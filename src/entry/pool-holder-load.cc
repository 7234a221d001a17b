// PoolHolder's loading of the rows that earlier holders stored.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"
#include "platform/documents.h"
#include "schedule/long-value.h"

#include <algorithm>
#include <map>
#include <utility>

namespace heathercross::entry {

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
        for (const auto &Row : R.Rows_)
          LoadedRows_[Table][Row.Place_.Key_] = Row.Value_;
        if (R.More_ && !R.Rows_.empty())
          return readRows(Table, R.Rows_.back().Place_.Key_ + '\0', OnDone);
        OnDone();
      }));
}

std::map<std::string, std::string>
PoolHolder::takeLoaded(const std::string &Table, schedule::RowKind Kind) {
  schedule::JoinedValues Joined =
      schedule::joinValues(std::exchange(LoadedRows_[Table], {}));
  for (const std::string &Key : Joined.Incomplete_)
    Context_.Log_.write("value-incomplete", {{"pool", toQString(Pool_.str())},
                                             {"table", toQString(Table)},
                                             {"key", toQString(Key)}});
  std::map<std::string, std::string> Values;
  for (auto &[Key, Stored] : Joined.Values_) {
    Journal_.restoreParts(Kind, Key, Stored.Parts_);
    Values[Key] = std::move(Stored.Value_);
  }
  return Values;
}

void PoolHolder::restoreJobs() {
  using schedule::RowKind;
  const Instant Now = Context_.Clock_.now();
  const schedule::WallTime Wall = Context_.Clock_.wall();
  const auto Progress = takeLoaded(ProgressTable, RowKind::Progress);
  const auto Jobs = takeLoaded(JobTable, RowKind::Job);
  std::size_t OpenJobs = 0;
  for (const auto &[Key, Value] : Jobs) {
    const JobId Id(Key);
    const auto Stored = decodeJob(Value);
    const auto Spec =
        Stored ? platform_api::parseJob(Stored->Body_) : std::nullopt;
    if (!Spec) {
      Context_.Log_.write("job-unreadable", jobFields(Id));
      continue;
    }
    Job J(Id, Stored->Queue_, *Spec, Now - (Wall - Stored->Accepted_),
          Stored->Account_);
    const auto Saved = Progress.find(Key);
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
    JobMemory_.add(Id, schedule::memoryOf(*Spec, Value.size()));
    Scheduler_.restore(std::move(J),
                       schedule::attemptFloor(self().Epoch_, Stored->Epoch_));
  }
  const Instant LastLeaseEnd = Duty_.formerLeasesEnd(Now, maxLease());
  std::map<InstanceId, Instant> Awaited;
  auto PoolRows = takeLoaded(RosterTable, RowKind::Roster);
  restoreQueues(PoolRows[QueuesKey]);
  Ingresses_.restore(decodeIngresses(PoolRows[IngressesKey]));
  for (const auto &[Id, Listed] : decodeRoster(PoolRows[RosterKey])) {
    const auto EndBy = Listed.RunsEndBy_
                           ? Writer_.storeClock().reachedBy(*Listed.RunsEndBy_)
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
  Context_.Log_.write("duty-loaded",
                      {{"pool", toQString(Pool_.str())},
                       {"epoch", static_cast<qint64>(self().Epoch_.value())},
                       {"cpu_share", Context_.Settings_.CpuShare_},
                       {"jobs", static_cast<qint64>(Jobs.size())},
                       {"open", static_cast<qint64>(OpenJobs)},
                       {"awaited", static_cast<qint64>(Awaited.size())},
                       {"awaited_silent", static_cast<qint64>(AwaitedSilent)}});
  LoadedRows_.clear();
  Ready_ = true;
  scheduleRound();
}

} // namespace heathercross::entry
