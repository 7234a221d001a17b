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
      readRows(ProgressTable, "", [this] { restoreRows(); });
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

std::map<std::string, std::string> PoolHolder::takeRosterRows() {
  schedule::JoinedValues Joined =
      schedule::joinValues(std::exchange(LoadedRows_[RosterTable], {}));
  for (const std::string &Key : Joined.Incomplete_)
    logIncomplete(RosterTable, Key);
  std::map<std::string, std::string> Values;
  for (auto &[Key, Stored] : Joined.Values_) {
    Journal_.restoreParts(schedule::RowKind::Roster, Key, Stored.Parts_);
    Values[Key] = std::move(Stored.Value_);
  }
  return Values;
}

void PoolHolder::logIncomplete(const char *Table, const std::string &Key) {
  Context_.Log_.write("value-incomplete", {{"pool", toQString(Pool_.str())},
                                           {"table", Table},
                                           {"key", toQString(Key)}});
}

bool PoolHolder::restoreJob(const JobId &Id,
                            const schedule::StoredJob &Stored) {
  const auto Row = decodeJob(Stored.Row_);
  const auto Spec = Row ? platform_api::parseJob(Row->Body_) : std::nullopt;
  if (!Spec) {
    Context_.Log_.write("job-unreadable", jobFields(Id));
    return false;
  }
  Job J(Id, Row->Queue_, *Spec,
        Context_.Clock_.now() - (Context_.Clock_.wall() - Row->Accepted_),
        Row->Account_);
  try {
    if (Stored.Progress_)
      J.decodeProgress(*Stored.Progress_);
  } catch (const FormatError &E) {
    QJsonObject F = jobFields(Id);
    F["error"] = E.what();
    Context_.Log_.write("progress-unreadable", F);
    return false;
  }
  if (isFinal(J.state()))
    JobRows_.restoreEnd(Id, Stored.EndedAt_);
  JobMemory_.add(Id, schedule::memoryOf(*Spec, Stored.Row_.size()));
  Scheduler_.restore(std::move(J),
                     schedule::attemptFloor(self().Epoch_, Row->Epoch_));
  return true;
}

schedule::StoredJobs PoolHolder::restoreJobs() {
  // The rows aren't kept beside what is made of them: a small entry may have to
  // load many.
  schedule::StoredJobs Stored = JobRows_.restore(
      std::exchange(LoadedRows_[JobTable], {}),
      std::exchange(LoadedRows_[ProgressTable], {}), Context_.Clock_.now());
  UnreadableJobs_ = Stored.Incomplete_;
  for (const JobId &Id : Stored.Incomplete_)
    logIncomplete(JobTable, Id.str());
  for (const auto &[Id, J] : Stored.Jobs_)
    if (!restoreJob(Id, J))
      UnreadableJobs_.insert(Id);
  return Stored;
}

void PoolHolder::restoreRows() {
  const Instant Now = Context_.Clock_.now();
  const schedule::StoredJobs Stored = restoreJobs();
  const auto OpenJobs =
      std::ranges::count_if(Scheduler_.jobs(), [](const auto &E) {
        return !isFinal(E.second.state());
      });
  const Instant LastLeaseEnd = Duty_.formerLeasesEnd(Now, maxLease());
  std::map<InstanceId, Instant> Awaited;
  auto PoolRows = takeRosterRows();
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
                       {"jobs", static_cast<qint64>(Stored.Jobs_.size())},
                       {"leftovers", static_cast<qint64>(Stored.Leftovers_)},
                       {"open", static_cast<qint64>(OpenJobs)},
                       {"awaited", static_cast<qint64>(Awaited.size())},
                       {"awaited_silent", static_cast<qint64>(AwaitedSilent)}});
  LoadedRows_.clear();
  Ready_ = true;
  scheduleRound();
}

} // namespace heathercross::entry
