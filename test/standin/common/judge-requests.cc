// The promises about requests and jobs.
#include "standin/common/judge.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <map>
#include <set>

namespace heathercross::standin {
namespace {

/// Tries that workers see, as a multiple of the requests.
constexpr double TriesFactorMax = 1.2;
/// Few requests give no share worth judging.
constexpr std::int64_t ShareRequestsMin = 200;
constexpr double UnknownShareMax = 0.02;

/// The starts of one body, which every request has for itself.
using StartsByDigest = std::map<std::string, std::vector<const HistoryEvent *>>;

StartsByDigest startsOf(const HistoryEvents &Events) {
  StartsByDigest Starts;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "start")
      Starts[E.text("digest")].push_back(&E);
  return Starts;
}

std::string attemptsOf(const std::vector<const HistoryEvent *> &Starts) {
  std::string Out;
  for (const HistoryEvent *E : Starts)
    Out += ' ' + E->text("attempt") + " on " + E->Process_;
  return Out;
}

/// The last answer to each request that a caller sent.
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

Judgement judgeAtMostOnce(const HistoryEvents &Events) {
  Judgement J{"at-most-once", 0, {}, {}};
  const StartsByDigest Starts = startsOf(Events);
  std::map<std::string, std::string> Keys;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "sent" && !E.text("key").empty())
      Keys[E.text("digest")] = E.text("key");
  J.Checked_ = static_cast<std::int64_t>(Keys.size());
  std::int64_t Ran = 0;
  for (const auto &[Digest, Key] : Keys) {
    const auto At = Starts.find(Digest);
    if (At == Starts.end())
      continue;
    ++Ran;
    if (At->second.size() > 1)
      J.Violations_.push_back(Key + " started:" + attemptsOf(At->second));
  }
  J.Note_ = "ran " + std::to_string(Ran);
  return J;
}

Judgement judgeNotRun(const HistoryEvents &Events) {
  Judgement J{"not-run-is-true", 0, {}, {}};
  const StartsByDigest Starts = startsOf(Events);
  std::set<std::string> StartedRequests;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "start")
      StartedRequests.insert(E.Id_);
  const auto Last = lastAnswers(Events);
  // Tries of each request that were not answered as not run.
  std::map<std::string, int> Others;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "sent")
      ++Others[E.Id_];
    if (E.Kind_ != "answer" || !isNotRun(E))
      continue;
    ++J.Checked_;
    const std::string Request = E.text("request");
    if (!Request.empty() && StartedRequests.contains(Request)) {
      J.Violations_.push_back(E.Id_ + " request " + Request + " started");
      continue;
    }
    const bool OnlyNotRun = --Others[E.Id_] == 0;
    // An entry that can't read the table can't know what an earlier try that
    // ended as unknown did; one that read the claim can.
    const bool Knows = OnlyNotRun || E.text("reason") == "claim-pending";
    const auto At = Starts.find(E.text("digest"));
    if (!Knows || At == Starts.end())
      continue;
    const bool Before = At->second.front()->At_ < E.At_;
    if (Before || Last.at(E.Id_) == &E)
      J.Violations_.push_back(E.Id_ + " started:" + attemptsOf(At->second));
  }
  return J;
}

Judgement judgeOwnAnswer(const HistoryEvents &Events) {
  Judgement J{"own-whole-answer", 0, {}, {}};
  std::set<std::string> Ended;
  std::map<std::string, std::string> DigestOfAttempt;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "start")
      DigestOfAttempt[E.text("attempt")] = E.text("digest");
    if (E.Kind_ == "end" && E.text("result") == "done")
      Ended.insert(DigestOfAttempt[E.text("attempt")]);
  }
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ != "answer" || E.text("outcome") != "done")
      continue;
    ++J.Checked_;
    if (E.number("own") != 1)
      J.Violations_.push_back(E.Id_ + " got an answer that isn't its own");
    else if (!Ended.contains(E.text("digest")))
      J.Violations_.push_back(E.Id_ + " is done, but no work of it ended");
  }
  return J;
}

Judgement judgeJobs(const HistoryEvents &Events) {
  Judgement J{"jobs", 0, {}, {}};
  std::map<std::string, QJsonObject> Rows;
  std::map<std::string, int> Ends;
  const std::set<QString> Final{"done", "failed", "cancelled", "set-aside"};
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ != "commit")
      continue;
    for (const QJsonValue Key : E.Fields_["erase"].toArray())
      if (Key.toString().startsWith("job/"))
        J.Violations_.push_back(Key.toString().toStdString() + " was erased");
    for (const QJsonValue Put : E.Fields_["put"].toArray()) {
      const std::string Key = Put["key"].toString().toStdString();
      if (!Key.starts_with("job/"))
        continue;
      const QJsonObject Row =
          QJsonDocument::fromJson(Put["value"].toString().toUtf8()).object();
      const QJsonObject Old = std::exchange(Rows[Key], Row);
      const QString Was = Old["state"].toString();
      if (Final.contains(Was) && Was != Row["state"].toString())
        J.Violations_.push_back(Key + " left the final state " +
                                Was.toStdString());
      if (Row["bills"].toInt() > 1 ||
          Row["bills"].toInt() < Old["bills"].toInt())
        J.Violations_.push_back(Key + " was billed wrongly");
      if (Row["bills"].toInt() > Old["bills"].toInt() && ++Ends[Key] > 1)
        J.Violations_.push_back(Key + " was billed twice");
    }
  }
  std::int64_t Open = 0;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ != "job-accepted")
      continue;
    ++J.Checked_;
    const auto At = Rows.find("job/" + E.Id_);
    if (At == Rows.end())
      J.Violations_.push_back(E.Id_ + " was accepted and has no row");
    else if (!Final.contains(At->second["state"].toString()))
      ++Open;
  }
  J.Note_ = "rows " + std::to_string(Rows.size()) + ", not yet ended " +
            std::to_string(Open);
  return J;
}

Judgement judgeTries(const HistoryEvents &Events) {
  Judgement J{"tries-per-request", 0, {}, {}};
  std::set<std::string> Requests;
  std::int64_t Tries = 0;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "sent")
      Requests.insert(E.Id_ + '/' + std::to_string(E.number("try")));
    // A refusal for another's slot costs no work, but is a try all the same.
    if (E.Kind_ == "start" || E.Kind_ == "refuse")
      ++Tries;
  }
  J.Checked_ = static_cast<std::int64_t>(Requests.size());
  const double Factor = J.Checked_ == 0 ? 0
                                        : static_cast<double>(Tries) /
                                              static_cast<double>(J.Checked_);
  J.Note_ = "tries for each request " + std::to_string(Factor);
  if (J.Checked_ >= ShareRequestsMin && Factor > TriesFactorMax)
    J.Violations_.push_back("workers saw " + std::to_string(Tries) + " tries");
  return J;
}

Judgement judgeUnknown(const HistoryEvents &Events) {
  Judgement J{"unknown-share", 0, {}, {}};
  std::map<std::string, bool> Settled;
  std::map<std::string, int> Open;
  for (const HistoryEvent &E : Events) {
    if (E.Kind_ == "sent" && !E.text("key").empty())
      ++Open[E.Id_];
    if (E.Kind_ != "answer" || E.text("key").empty())
      continue;
    const std::string Outcome = E.text("outcome");
    if (isNotRun(E) || Outcome == "refused")
      --Open[E.Id_];
    Settled[E.Id_] =
        Outcome == "done" || Outcome == "failed" || Open[E.Id_] == 0;
  }
  J.Checked_ = static_cast<std::int64_t>(Settled.size());
  const auto Unknown =
      std::ranges::count_if(Settled, [](const auto &S) { return !S.second; });
  J.Note_ = "keyed requests that ended unknown " + std::to_string(Unknown);
  const double Share = J.Checked_ == 0 ? 0
                                       : static_cast<double>(Unknown) /
                                             static_cast<double>(J.Checked_);
  if (J.Checked_ >= ShareRequestsMin && Share > UnknownShareMax)
    J.Violations_.push_back("the share is " + std::to_string(Share));
  return J;
}

} // namespace heathercross::standin
