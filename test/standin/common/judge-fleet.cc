// The promises about instances, entries and the configuration.
#include "standin/common/judge.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace heathercross::standin {
namespace {

constexpr std::int64_t Second = 1'000'000;
constexpr std::int64_t LeavingLimitUs = 3 * Second;
constexpr std::int64_t InForceLimitUs = 8 * Second;
/// How long a failure may stay unseen before it counts against a decision.
constexpr std::int64_t DetectionUs = 3 * Second;
/// An entry counts as in service when it showed its head so recently.
constexpr std::int64_t InServiceUs = 2 * Second;

/// One row that a commit wrote; no value when it was erased.
struct RowWrite {
  std::string Key_;
  QJsonObject Value_;
};

std::vector<RowWrite> writesOf(const HistoryEvent &E) {
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

std::optional<std::string> idUnder(const std::string &Prefix,
                                   const std::string &Key) {
  if (!Key.starts_with(Prefix))
    return std::nullopt;
  return Key.substr(Prefix.size());
}

/// Instances, budgets and the workers' true state as a history goes on.
class FleetReplay {
public:
  void apply(const HistoryEvent &E) {
    if (E.Kind_ == "die" || E.Kind_ == "leaving")
      Lost_.try_emplace(E.Id_, E.At_);
    if (E.Kind_ == "boot")
      Lost_.erase(E.Id_);
  }

  void apply(const RowWrite &W) {
    if (const auto Id = idUnder("instance/", W.Key_)) {
      if (W.Value_.isEmpty())
        Instances_.erase(*Id);
      else
        Instances_[*Id] = W.Value_;
    }
    if (const auto Pool = idUnder("view/budget/", W.Key_))
      Budgets_[*Pool] = W.Value_["budget"]["min_available"].toInt();
  }

  /// Instances of a pool that take work, as far as could be known at a time.
  int available(const std::string &Pool, std::int64_t At) const {
    return static_cast<int>(
        std::ranges::count_if(Instances_, [&](const auto &I) {
          return poolOf(I.second) == Pool &&
                 I.second["state"].toString() == "active" &&
                 !knownLost(I.first, At);
        }));
  }

  static std::string poolOf(const QJsonObject &Row) {
    return Row["pool"].toString().toStdString();
  }

  const QJsonObject *instance(const std::string &Id) const {
    const auto At = Instances_.find(Id);
    return At == Instances_.end() ? nullptr : &At->second;
  }

  int budget(const std::string &Pool) const {
    const auto At = Budgets_.find(Pool);
    return At == Budgets_.end() ? 0 : At->second;
  }

private:
  bool knownLost(const std::string &Id, std::int64_t At) const {
    const auto Lost = Lost_.find(Id);
    return Lost != Lost_.end() && Lost->second + DetectionUs < At;
  }

  std::map<std::string, QJsonObject> Instances_;
  std::map<std::string, int> Budgets_;
  std::map<std::string, std::int64_t> Lost_;
};

/// What one entry was last seen to have in force.
struct ShownHead {
  std::int64_t Head_ = 0;
  std::int64_t LastAt_ = 0;
  /// Since when it has answered without a break.
  std::int64_t ServiceSince_ = 0;
};

/// True when a write takes an active instance out by the system's own choice.
bool isVoluntary(const QJsonObject *Old, const QJsonObject &New) {
  if (!Old || (*Old)["state"].toString() != "active")
    return false;
  const QString State = New["state"].toString();
  const bool Moved = !New.isEmpty() && (*Old)["pool"] != New["pool"];
  return Moved || State == "draining" || State == "rebooting";
}

} // namespace

Judgement judgeOnePool(const HistoryEvents &Events) {
  Judgement J{"one-pool", 0, {}, {}};
  std::map<std::string, std::string> Pools;
  std::map<std::string, std::set<std::string>> Running;
  std::int64_t Moves = 0;
  for (const HistoryEvent &E : Events) {
    const std::string Attempt = E.text("attempt");
    if (E.Kind_ == "start")
      Running[E.Process_].insert(Attempt);
    if (E.Kind_ == "end" || E.Kind_ == "cut")
      Running[E.Process_].erase(E.Kind_ == "cut" ? E.Id_ : Attempt);
    for (const RowWrite &W : writesOf(E)) {
      const auto Id = idUnder("instance/", W.Key_);
      if (!Id)
        continue;
      ++J.Checked_;
      const std::string New = FleetReplay::poolOf(W.Value_);
      const std::string Old = std::exchange(Pools[*Id], New);
      const bool Moved = !Old.empty() && !New.empty() && Old != New;
      Moves += Moved ? 1 : 0;
      if (Moved && !Running[*Id].empty())
        J.Violations_.push_back(std::string(*Id)
                                    .append(" went from ")
                                    .append(Old)
                                    .append(" to ")
                                    .append(New)
                                    .append(" with work running"));
    }
  }
  J.Note_ = "moves " + std::to_string(Moves);
  return J;
}

Judgement judgeBudget(const HistoryEvents &Events) {
  Judgement J{"budget", 0, {}, {}};
  FleetReplay Fleet;
  for (const HistoryEvent &E : Events) {
    Fleet.apply(E);
    const auto Writes = writesOf(E);
    std::set<std::string> Disturbed;
    for (const RowWrite &W : Writes)
      if (const auto Id = idUnder("instance/", W.Key_);
          Id && isVoluntary(Fleet.instance(*Id), W.Value_))
        Disturbed.insert(FleetReplay::poolOf(*Fleet.instance(*Id)));
    for (const RowWrite &W : Writes)
      Fleet.apply(W);
    for (const std::string &Pool : Disturbed) {
      ++J.Checked_;
      const int Available = Fleet.available(Pool, E.At_);
      if (Available < Fleet.budget(Pool))
        J.Violations_.push_back("pool " + Pool + " has " +
                                std::to_string(Available) + " of at least " +
                                std::to_string(Fleet.budget(Pool)) + " after " +
                                E.Id_);
    }
  }
  return J;
}

Judgement judgeLeaving(const HistoryEvents &Events) {
  Judgement J{"leaving", 0, {}, {}};
  std::map<std::string, std::int64_t> LeavingSince;
  for (const HistoryEvent &E : Events) {
    const bool Listed = E.Kind_ == "listed" && E.text("state") == "leaving";
    if (E.Kind_ == "leaving" || Listed)
      LeavingSince.try_emplace(E.Id_, E.At_);
    const bool Work =
        E.Kind_ == "start" || E.Kind_ == "task-start" || E.Kind_ == "refuse";
    const auto At = LeavingSince.find(E.Process_);
    if (Work && At != LeavingSince.end() && E.At_ - At->second > LeavingLimitUs)
      J.Violations_.push_back(E.Process_ + " got work " +
                              std::to_string((E.At_ - At->second) / 1000) +
                              " ms after leaving");
  }
  J.Checked_ = static_cast<std::int64_t>(LeavingSince.size());
  return J;
}

Judgement judgePlannedStop(const HistoryEvents &Events) {
  Judgement J{"planned-stop", 0, {}, {}};
  // By port: when the entry was asked to stop and when it was started again.
  std::map<std::string, std::int64_t> StoppedAt;
  std::set<std::string> Spoiled;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "entry-stop" && !Spoiled.contains(E.Id_)) {
      StoppedAt[E.Id_] = E.At_;
      ++J.Checked_;
    }
    if (E.Kind_ == "entry-kill" || E.Kind_ == "entry-freeze")
      Spoiled.insert(E.Id_);
    if (E.Kind_ != "answer")
      continue;
    const std::string Port = std::to_string(E.number("port"));
    const std::string Outcome = E.text("outcome");
    const bool Broken =
        Outcome == "cut" || Outcome == "refused" || Outcome == "timeout";
    if (Broken && StoppedAt.contains(Port) && !Spoiled.contains(Port))
      J.Violations_.push_back(
          std::string(E.Id_)
              .append(" " + Outcome + " ")
              .append(std::to_string((E.At_ - StoppedAt[Port]) / 1000))
              .append(" ms after the stop of ")
              .append(Port));
  }
  return J;
}

Judgement judgeMaintenance(const HistoryEvents &Events) {
  Judgement J{"maintenance-cuts-nothing", 0, {}, {}};
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "reboot")
      ++J.Checked_;
    if (E.Kind_ == "cut" && E.text("reason") == "reboot")
      J.Violations_.push_back(E.Id_ + " was cut by the reboot of " +
                              E.Process_);
  }
  return J;
}

Judgement judgeConfiguration(const HistoryEvents &Events) {
  Judgement J{"configuration", 0, {}, {}};
  std::map<std::int64_t, std::int64_t> CommittedAt;
  std::map<std::string, ShownHead> Shown;
  std::vector<std::int64_t> Delays;
  for (const HistoryEvent &E : Events) {
    for (const RowWrite &W : writesOf(E))
      if (W.Key_ == "head")
        CommittedAt[W.Value_["ticket"].toInteger()] = E.At_;
    if (E.Kind_ != "head")
      continue;
    ++J.Checked_;
    const std::int64_t Head = E.number("head");
    ShownHead &S = Shown[E.Id_];
    if (E.At_ - S.LastAt_ > InServiceUs)
      S.ServiceSince_ = E.At_;
    S.LastAt_ = E.At_;
    if (Head < S.Head_)
      J.Violations_.push_back("entry " + E.Id_ + " went from " +
                              std::to_string(S.Head_) + " back to " +
                              std::to_string(Head));
    // Tickets that are in force here since now, and those that aren't yet.
    for (auto At = CommittedAt.upper_bound(S.Head_); At != CommittedAt.end();
         ++At) {
      const std::int64_t Delay = E.At_ - std::max(At->second, S.ServiceSince_);
      if (At->first <= Head)
        Delays.push_back(Delay);
      if (Delay > InForceLimitUs)
        J.Violations_.push_back("entry " + E.Id_ + " takes more than " +
                                std::to_string(Delay / 1000) +
                                " ms for ticket " + std::to_string(At->first));
    }
    S.Head_ = std::max(Head, S.Head_);
  }
  if (!Delays.empty()) {
    std::ranges::sort(Delays);
    J.Note_ = "in force p99 " +
              std::to_string(Delays[(Delays.size() - 1) * 99 / 100] / 1000) +
              " ms over " + std::to_string(Delays.size());
  }
  return J;
}

} // namespace heathercross::standin
