// Checks of the guarantees about instances, entries and the configuration.
#include "standin/common/checker.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace heathercross::standin {
namespace {

constexpr std::int64_t SecondUs = 1'000'000;
constexpr std::int64_t MaxStartAfterLeavingUs = 3 * SecondUs;
constexpr std::int64_t MaxConfigurationDelayUs = 8 * SecondUs;
/// A decision may count an instance as available for this long after it died or
/// started to leave.
constexpr std::int64_t FailureDetectionUs = 3 * SecondUs;
/// An entry counts as in service while the gap between the heads that it shows
/// is at most this long.
constexpr std::int64_t MaxHeadGapUs = 2 * SecondUs;

/// A row that a commit wrote; the value is empty if the row was erased.
struct RowWrite {
  std::string Key_;
  QJsonObject Value_;
};

std::vector<RowWrite> rowWrites(const HistoryEvent &E) {
  std::vector<RowWrite> Writes;
  if (E.Kind_ != "commit")
    return Writes;
  for (const QJsonValue Put : E.Fields_["put"].toArray())
    Writes.push_back(
        {Put["key"].toString().toStdString(),
         QJsonDocument::fromJson(Put["value"].toString().toUtf8()).object()});
  for (const QJsonValue Key : E.Fields_["erase"].toArray())
    Writes.push_back({Key.toString().toStdString(), {}});
  return Writes;
}

std::optional<std::string> stripPrefix(const std::string &Prefix,
                                       const std::string &Key) {
  if (!Key.starts_with(Prefix))
    return std::nullopt;
  return Key.substr(Prefix.size());
}

/// Replays a history: the rows of instances and budgets, and which workers are
/// really down or leaving.
class FleetReplay {
public:
  void apply(const HistoryEvent &E) {
    if (E.Kind_ == "die" || E.Kind_ == "leaving")
      LostSinceUs_.try_emplace(E.Id_, E.TimeUs_);
    if (E.Kind_ == "boot")
      LostSinceUs_.erase(E.Id_);
  }

  void apply(const RowWrite &W) {
    if (const auto Id = stripPrefix("instance/", W.Key_)) {
      if (W.Value_.isEmpty())
        Instances_.erase(*Id);
      else
        Instances_[*Id] = W.Value_;
    }
    if (const auto Pool = stripPrefix("view/budget/", W.Key_))
      Budgets_[*Pool] = W.Value_["budget"]["min_available"].toInt();
  }

  /// Number of a pool's active instances, without those that died or started
  /// to leave more than FailureDetectionUs ago.
  int availableInstances(const std::string &Pool, std::int64_t TimeUs) const {
    return static_cast<int>(
        std::ranges::count_if(Instances_, [&](const auto &I) {
          return poolOf(I.second) == Pool &&
                 I.second["state"].toString() == "active" &&
                 !isKnownLost(I.first, TimeUs);
        }));
  }

  static std::string poolOf(const QJsonObject &Row) {
    return Row["pool"].toString().toStdString();
  }

  const QJsonObject *instance(const std::string &Id) const {
    const auto It = Instances_.find(Id);
    return It == Instances_.end() ? nullptr : &It->second;
  }

  int budget(const std::string &Pool) const {
    const auto It = Budgets_.find(Pool);
    return It == Budgets_.end() ? 0 : It->second;
  }

private:
  bool isKnownLost(const std::string &Id, std::int64_t TimeUs) const {
    const auto It = LostSinceUs_.find(Id);
    return It != LostSinceUs_.end() && It->second + FailureDetectionUs < TimeUs;
  }

  std::map<std::string, QJsonObject> Instances_;
  std::map<std::string, int> Budgets_;
  std::map<std::string, std::int64_t> LostSinceUs_;
};

/// The highest head that an entry has shown, and when it last showed one.
struct EntryHead {
  std::int64_t Head_ = 0;
  std::int64_t LastShownUs_ = 0;
  /// Start of the current period without a gap over MaxHeadGapUs.
  std::int64_t InServiceSinceUs_ = 0;
};

/// Returns true if a write takes an active instance out of its pool by a
/// decision of the system.
bool isVoluntary(const QJsonObject *Old, const QJsonObject &New) {
  if (!Old || (*Old)["state"].toString() != "active")
    return false;
  const QString State = New["state"].toString();
  const bool Moved = !New.isEmpty() && (*Old)["pool"] != New["pool"];
  return Moved || State == "draining" || State == "rebooting";
}

} // namespace

CheckResult checkOnePool(const HistoryEvents &Events) {
  CheckResult Result{"one-pool", 0, {}, {}};
  std::map<std::string, std::string> Pools;
  std::map<std::string, std::set<std::string>> Running;
  std::int64_t Moves = 0;
  for (const HistoryEvent &E : Events) {
    const std::string Attempt = E.text("attempt");
    if (E.Kind_ == "start")
      Running[E.Process_].insert(Attempt);
    if (E.Kind_ == "end" || E.Kind_ == "cut")
      Running[E.Process_].erase(E.Kind_ == "cut" ? E.Id_ : Attempt);
    for (const RowWrite &W : rowWrites(E)) {
      const auto Id = stripPrefix("instance/", W.Key_);
      if (!Id)
        continue;
      ++Result.Checked_;
      const std::string New = FleetReplay::poolOf(W.Value_);
      const std::string Old = std::exchange(Pools[*Id], New);
      const bool Moved = !Old.empty() && !New.empty() && Old != New;
      Moves += Moved ? 1 : 0;
      if (Moved && !Running[*Id].empty())
        Result.Violations_.push_back(std::string(*Id)
                                         .append(" went from ")
                                         .append(Old)
                                         .append(" to ")
                                         .append(New)
                                         .append(" with work running"));
    }
  }
  Result.Note_ = "moves " + std::to_string(Moves);
  return Result;
}

CheckResult checkAvailabilityBudget(const HistoryEvents &Events) {
  CheckResult Result{"budget", 0, {}, {}};
  FleetReplay Fleet;
  for (const HistoryEvent &E : Events) {
    Fleet.apply(E);
    const auto Writes = rowWrites(E);
    std::set<std::string> AffectedPools;
    for (const RowWrite &W : Writes)
      if (const auto Id = stripPrefix("instance/", W.Key_);
          Id && isVoluntary(Fleet.instance(*Id), W.Value_))
        AffectedPools.insert(FleetReplay::poolOf(*Fleet.instance(*Id)));
    for (const RowWrite &W : Writes)
      Fleet.apply(W);
    for (const std::string &Pool : AffectedPools) {
      ++Result.Checked_;
      const int Available = Fleet.availableInstances(Pool, E.TimeUs_);
      if (Available < Fleet.budget(Pool))
        Result.Violations_.push_back(
            "pool " + Pool + " has " + std::to_string(Available) +
            " of at least " + std::to_string(Fleet.budget(Pool)) + " after " +
            E.Id_);
    }
  }
  return Result;
}

CheckResult checkLeaving(const HistoryEvents &Events) {
  CheckResult Result{"leaving", 0, {}, {}};
  std::map<std::string, std::int64_t> LeavingSinceUs;
  for (const HistoryEvent &E : Events) {
    const bool Listed = E.Kind_ == "listed" && E.text("state") == "leaving";
    if (E.Kind_ == "leaving" || Listed)
      LeavingSinceUs.try_emplace(E.Id_, E.TimeUs_);
    const bool IsWork =
        E.Kind_ == "start" || E.Kind_ == "task-start" || E.Kind_ == "refuse";
    const auto It = LeavingSinceUs.find(E.Process_);
    if (IsWork && It != LeavingSinceUs.end() &&
        E.TimeUs_ - It->second > MaxStartAfterLeavingUs)
      Result.Violations_.push_back(
          E.Process_ + " got work " +
          std::to_string((E.TimeUs_ - It->second) / 1000) +
          " ms after leaving");
  }
  Result.Checked_ = static_cast<std::int64_t>(LeavingSinceUs.size());
  return Result;
}

CheckResult checkPlannedStop(const HistoryEvents &Events) {
  CheckResult Result{"planned-stop", 0, {}, {}};
  // Time of the last stop request, by port of the entry.
  std::map<std::string, std::int64_t> StopTimeUs;
  std::set<std::string> KilledOrFrozen;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "entry-stop" && !KilledOrFrozen.contains(E.Id_)) {
      StopTimeUs[E.Id_] = E.TimeUs_;
      ++Result.Checked_;
    }
    if (E.Kind_ == "entry-kill" || E.Kind_ == "entry-freeze")
      KilledOrFrozen.insert(E.Id_);
    if (E.Kind_ != "answer")
      continue;
    const std::string Port = std::to_string(E.number("port"));
    const std::string Outcome = E.text("outcome");
    const bool Interrupted =
        Outcome == "cut" || Outcome == "refused" || Outcome == "timeout";
    if (Interrupted && StopTimeUs.contains(Port) &&
        !KilledOrFrozen.contains(Port))
      Result.Violations_.push_back(
          std::string(E.Id_)
              .append(" " + Outcome + " ")
              .append(std::to_string((E.TimeUs_ - StopTimeUs[Port]) / 1000))
              .append(" ms after the stop of ")
              .append(Port));
  }
  return Result;
}

CheckResult checkMaintenance(const HistoryEvents &Events) {
  CheckResult Result{"maintenance-cuts-nothing", 0, {}, {}};
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "reboot")
      ++Result.Checked_;
    if (E.Kind_ == "cut" && E.text("reason") == "reboot")
      Result.Violations_.push_back(E.Id_ + " was cut by the reboot of " +
                                   E.Process_);
  }
  return Result;
}

CheckResult checkConfiguration(const HistoryEvents &Events) {
  CheckResult Result{"configuration", 0, {}, {}};
  std::map<std::int64_t, std::int64_t> CommitTimeUs;
  std::map<std::string, EntryHead> HeadsByEntry;
  std::vector<std::int64_t> DelaysUs;
  for (const HistoryEvent &E : Events) {
    for (const RowWrite &W : rowWrites(E))
      if (W.Key_ == "head")
        CommitTimeUs[W.Value_["ticket"].toInteger()] = E.TimeUs_;
    if (E.Kind_ != "head")
      continue;
    ++Result.Checked_;
    const std::int64_t Head = E.number("head");
    EntryHead &S = HeadsByEntry[E.Id_];
    if (E.TimeUs_ - S.LastShownUs_ > MaxHeadGapUs)
      S.InServiceSinceUs_ = E.TimeUs_;
    S.LastShownUs_ = E.TimeUs_;
    if (Head < S.Head_)
      Result.Violations_.push_back("entry " + E.Id_ + " went from " +
                                   std::to_string(S.Head_) + " back to " +
                                   std::to_string(Head));
    // Tickets that this report shows for the first time, and those that are
    // still missing.
    for (auto It = CommitTimeUs.upper_bound(S.Head_); It != CommitTimeUs.end();
         ++It) {
      const std::int64_t DelayUs =
          E.TimeUs_ - std::max(It->second, S.InServiceSinceUs_);
      if (It->first <= Head)
        DelaysUs.push_back(DelayUs);
      if (DelayUs > MaxConfigurationDelayUs)
        Result.Violations_.push_back("entry " + E.Id_ + " takes more than " +
                                     std::to_string(DelayUs / 1000) +
                                     " ms for ticket " +
                                     std::to_string(It->first));
    }
    S.Head_ = std::max(Head, S.Head_);
  }
  if (!DelaysUs.empty()) {
    std::ranges::sort(DelaysUs);
    Result.Note_ =
        "in force p99 " +
        std::to_string(DelaysUs[(DelaysUs.size() - 1) * 99 / 100] / 1000) +
        " ms over " + std::to_string(DelaysUs.size());
  }
  return Result;
}

} // namespace heathercross::standin
