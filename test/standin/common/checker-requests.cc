// Checks of the guarantees about requests and jobs.
#include "standin/common/checker.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <map>
#include <set>

namespace heathercross::standin {
namespace {

constexpr double MaxTriesPerRequest = 1.2;
/// Ratios over fewer requests vary too much to be checked.
constexpr std::int64_t MinRequestsForRatio = 200;
constexpr double MaxUnknownShare = 0.02;

/// Start events by digest of the request body. Every request has a body of its
/// own, so that the digest identifies the request.
using StartsByDigest = std::map<std::string, std::vector<const HistoryEvent *>>;

StartsByDigest groupStartsByDigest(const HistoryEvents &Events) {
  StartsByDigest Starts;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "start")
      Starts[E.text("digest")].push_back(&E);
  return Starts;
}

std::string formatAttempts(const std::vector<const HistoryEvent *> &Starts) {
  std::string Out;
  for (const HistoryEvent *E : Starts)
    Out += ' ' + E->text("attempt") + " on " + E->Process_;
  return Out;
}

/// The last answer to each request, by the id that the caller gave it.
std::map<std::string, const HistoryEvent *>
lastAnswers(const HistoryEvents &Events) {
  std::map<std::string, const HistoryEvent *> Last;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "answer")
      Last[E.Id_] = &E;
  return Last;
}

bool isNotRun(const HistoryEvent &Answer) {
  return Answer.text("outcome") == "not-run";
}

} // namespace

CheckResult checkAtMostOnce(const HistoryEvents &Events) {
  CheckResult Result{"at-most-once", 0, {}, {}};
  const StartsByDigest Starts = groupStartsByDigest(Events);
  std::map<std::string, std::string> KeyByDigest;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "sent" && !E.text("key").empty())
      KeyByDigest[E.text("digest")] = E.text("key");
  Result.Checked_ = static_cast<std::int64_t>(KeyByDigest.size());
  std::int64_t StartedKeys = 0;
  for (const auto &[Digest, Key] : KeyByDigest) {
    const auto It = Starts.find(Digest);
    if (It == Starts.end())
      continue;
    ++StartedKeys;
    if (It->second.size() > 1)
      Result.Violations_.push_back(Key +
                                   " started:" + formatAttempts(It->second));
  }
  Result.Note_ = "ran " + std::to_string(StartedKeys);
  return Result;
}

CheckResult checkNotRun(const HistoryEvents &Events) {
  CheckResult Result{"not-run-is-true", 0, {}, {}};
  const StartsByDigest Starts = groupStartsByDigest(Events);
  std::set<std::string> StartedRequests;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "start")
      StartedRequests.insert(E.Id_);
  const auto Last = lastAnswers(Events);
  // Tries of each request that have not been answered as not run.
  std::map<std::string, int> OpenTries;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "sent")
      ++OpenTries[E.Id_];
    if (E.Kind_ != "answer" || !isNotRun(E))
      continue;
    ++Result.Checked_;
    const std::string Request = E.text("request");
    if (!Request.empty() && StartedRequests.contains(Request)) {
      Result.Violations_.push_back(E.Id_ + " request " + Request + " started");
      continue;
    }
    const bool AllNotRun = --OpenTries[E.Id_] == 0;
    // An entry that can't read the table can't know whether an earlier try with
    // an unknown outcome started; an entry that has read the claim does.
    const bool OutcomeKnown = AllNotRun || E.text("reason") == "claim-pending";
    const auto It = Starts.find(E.text("digest"));
    if (!OutcomeKnown || It == Starts.end())
      continue;
    const bool StartedBefore = It->second.front()->TimeUs_ < E.TimeUs_;
    if (StartedBefore || Last.at(E.Id_) == &E)
      Result.Violations_.push_back(E.Id_ +
                                   " started:" + formatAttempts(It->second));
  }
  return Result;
}

CheckResult checkOwnAnswer(const HistoryEvents &Events) {
  CheckResult Result{"own-whole-answer", 0, {}, {}};
  std::set<std::string> EndedDigests;
  std::map<std::string, std::string> DigestOfAttempt;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "start")
      DigestOfAttempt[E.text("attempt")] = E.text("digest");
    if (E.Kind_ == "end" && E.text("result") == "done")
      EndedDigests.insert(DigestOfAttempt[E.text("attempt")]);
  }
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ != "answer" || E.text("outcome") != "done")
      continue;
    ++Result.Checked_;
    if (E.number("own") != 1)
      Result.Violations_.push_back(E.Id_ + " got an answer that isn't its own");
    else if (!EndedDigests.contains(E.text("digest")))
      Result.Violations_.push_back(E.Id_ + " is done, but no work of it ended");
  }
  return Result;
}

CheckResult checkJobs(const HistoryEvents &Events) {
  CheckResult Result{"jobs", 0, {}, {}};
  std::map<std::string, QJsonObject> Rows;
  std::map<std::string, int> BillCounts;
  const std::set<QString> FinalStates{"done", "failed", "cancelled",
                                      "set-aside"};
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ != "commit")
      continue;
    for (const QJsonValue Key : E.Fields_["erase"].toArray())
      if (Key.toString().startsWith("job/"))
        Result.Violations_.push_back(Key.toString().toStdString() +
                                     " was erased");
    for (const QJsonValue Put : E.Fields_["put"].toArray()) {
      const std::string Key = Put["key"].toString().toStdString();
      if (!Key.starts_with("job/"))
        continue;
      const QJsonObject Row =
          QJsonDocument::fromJson(Put["value"].toString().toUtf8()).object();
      const QJsonObject Old = std::exchange(Rows[Key], Row);
      const QString OldState = Old["state"].toString();
      if (FinalStates.contains(OldState) && OldState != Row["state"].toString())
        Result.Violations_.push_back(Key + " left the final state " +
                                     OldState.toStdString());
      if (Row["bills"].toInt() > 1 ||
          Row["bills"].toInt() < Old["bills"].toInt())
        Result.Violations_.push_back(Key + " was billed wrongly");
      if (Row["bills"].toInt() > Old["bills"].toInt() && ++BillCounts[Key] > 1)
        Result.Violations_.push_back(Key + " was billed twice");
    }
  }
  std::int64_t Unfinished = 0;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ != "job-accepted")
      continue;
    ++Result.Checked_;
    const auto It = Rows.find("job/" + E.Id_);
    if (It == Rows.end())
      Result.Violations_.push_back(E.Id_ + " was accepted and has no row");
    else if (!FinalStates.contains(It->second["state"].toString()))
      ++Unfinished;
  }
  Result.Note_ = "rows " + std::to_string(Rows.size()) + ", not yet ended " +
                 std::to_string(Unfinished);
  return Result;
}

CheckResult checkTries(const HistoryEvents &Events) {
  CheckResult Result{"tries-per-request", 0, {}, {}};
  std::set<std::string> Requests;
  std::int64_t Tries = 0;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "sent")
      Requests.insert(E.Id_ + '/' + std::to_string(E.number("try")));
    // A refused try starts no work, but counts as a try.
    if (E.Kind_ == "start" || E.Kind_ == "refuse")
      ++Tries;
  }
  Result.Checked_ = static_cast<std::int64_t>(Requests.size());
  const double TriesPerRequest =
      Result.Checked_ == 0
          ? 0
          : static_cast<double>(Tries) / static_cast<double>(Result.Checked_);
  Result.Note_ = "tries for each request " + std::to_string(TriesPerRequest);
  if (Result.Checked_ >= MinRequestsForRatio &&
      TriesPerRequest > MaxTriesPerRequest)
    Result.Violations_.push_back("workers saw " + std::to_string(Tries) +
                                 " tries");
  return Result;
}

CheckResult checkUnknownOutcomes(const HistoryEvents &Events) {
  CheckResult Result{"unknown-share", 0, {}, {}};
  std::map<std::string, bool> HasKnownOutcome;
  std::map<std::string, int> OpenTries;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "sent" && !E.text("key").empty())
      ++OpenTries[E.Id_];
    if (E.Kind_ != "answer" || E.text("key").empty())
      continue;
    const std::string Outcome = E.text("outcome");
    if (isNotRun(E) || Outcome == "refused")
      --OpenTries[E.Id_];
    HasKnownOutcome[E.Id_] =
        Outcome == "done" || Outcome == "failed" || OpenTries[E.Id_] == 0;
  }
  Result.Checked_ = static_cast<std::int64_t>(HasKnownOutcome.size());
  const auto Unknown = std::ranges::count_if(
      HasKnownOutcome, [](const auto &S) { return !S.second; });
  Result.Note_ = "keyed requests that ended unknown " + std::to_string(Unknown);
  const double Share =
      Result.Checked_ == 0
          ? 0
          : static_cast<double>(Unknown) / static_cast<double>(Result.Checked_);
  if (Result.Checked_ >= MinRequestsForRatio && Share > MaxUnknownShare)
    Result.Violations_.push_back("the share is " + std::to_string(Share));
  return Result;
}

} // namespace heathercross::standin
