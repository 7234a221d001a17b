// How a pool's holder takes in what earlier holders stored.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"
#include "platform/documents.h"

#include <algorithm>
#include <utility>

namespace heathercross::entry {

using detail::MaxRenewalAge;
using detail::RetryPause;
using detail::text;

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;
using schedule::Job;

/// The store answers in 5 ms, and in 60 times that on its slow days.
constexpr Millis ReadTimeout{1500};
/// Attempts of tasks restored by a later holder go on in steps of this, since
/// the last attempt of an earlier holder isn't stored.
constexpr std::uint64_t AttemptsPerEpoch = 16;

} // namespace

void PoolHolder::load() {
  Loaded_.clear();
  readRows(RosterTable, "", [this] {
    readRows(JobTable, "", [this] {
      readRows(ProgressTable, "", [this] { restoreJobs(); });
    });
  });
}

void PoolHolder::readRows(const std::string &Table, const std::string &From,
                          std::function<void()> Then) {
  Context_.Store_.read(
      Table, Pool_.str(), From, ReadTimeout,
      guarded(this, [this, Table, From,
                     Then = std::move(Then)](const StoreReply &R) {
        if (Lost_)
          return;
        if (R.Outcome_ != StoreOutcome::Ok) {
          Context_.Log_.write(
              "load-retry",
              {{"pool", text(Pool_.str())},
               {"table", text(Table)},
               {"outcome", platform_api::outcomeName(R.Outcome_)}});
          QTimer::singleShot(RetryPause, this, [this, Table, From, Then] {
            readRows(Table, From, Then);
          });
          return;
        }
        auto &Rows = Loaded_[Table];
        Rows.insert(Rows.end(), R.Rows_.begin(), R.Rows_.end());
        if (R.More_ && !R.Rows_.empty())
          return readRows(Table, R.Rows_.back().Place_.Key_ + '\0', Then);
        Then();
      }));
}

void PoolHolder::restoreJobs() {
  const Instant Now = Context_.Clock_.now();
  const schedule::WallTime Wall = Context_.Clock_.wall();
  std::map<std::string, std::string> Progress;
  for (const auto &Row : Loaded_[ProgressTable])
    Progress[Row.Place_.Key_] = Row.Value_;
  std::size_t Open = 0;
  for (const auto &Row : Loaded_[JobTable]) {
    const JobId Id(Row.Place_.Key_);
    const auto Stored = decodeJob(Row.Value_);
    const auto Spec =
        Stored ? platform_api::parseJob(Stored->Body_) : std::nullopt;
    if (!Spec) {
      Context_.Log_.write("job-unreadable", fields(Id));
      continue;
    }
    Job J(Id, Stored->Queue_, *Spec, Now - (Wall - Stored->Accepted_));
    const auto Known = Progress.find(Row.Place_.Key_);
    try {
      if (Known != Progress.end())
        J.decodeProgress(Known->second);
    } catch (const FormatError &E) {
      QJsonObject F = fields(Id);
      F["error"] = E.what();
      Context_.Log_.write("progress-unreadable", F);
      continue;
    }
    const std::uint64_t Epochs =
        self().Epoch_.value() -
        std::min(self().Epoch_.value(), Stored->Epoch_.value());
    if (isFinal(J.state()))
      Endings_[Id] = {0, Now};
    else
      ++Open;
    Scheduler_.restore(std::move(J), static_cast<schedule::Attempt>(
                                         Epochs * AttemptsPerEpoch));
  }
  std::set<InstanceId> Awaited;
  for (const auto &Row : Loaded_[RosterTable])
    for (const auto &[Id, Address] : decodeRoster(Row.Value_)) {
      Awaited.insert(Id);
      Roster_[Id] = Address;
      if (Links_.contains(Id)) {
        Scheduler_.setRostered(Id, true);
        continue;
      }
      schedule::WorkerInfo Info;
      Info.Id_ = Id;
      Info.Pool_ = Pool_;
      Info.Address_ = Address;
      Scheduler_.setWorker(Info);
      Scheduler_.removeWorker(Id);
      Links_[Id].Address_ = Address;
    }
  // The holder before may have granted leases for a while after its last
  // renewal of the duty, which was before this one began.
  Scheduler_.awaitWorkers(Awaited, leaseEnd(Now + MaxRenewalAge));
  Context_.Log_.write("duty-loaded",
                      {{"pool", text(Pool_.str())},
                       {"epoch", static_cast<qint64>(self().Epoch_.value())},
                       {"jobs", static_cast<qint64>(Loaded_[JobTable].size())},
                       {"open", static_cast<qint64>(Open)},
                       {"awaited", static_cast<qint64>(Awaited.size())}});
  Loaded_.clear();
  Ready_ = true;
  kick();
}

} // namespace heathercross::entry
