// Reads histories and formats the results of the checks.
#include "standin/common/checker.h"

#include <QJsonDocument>

#include <algorithm>
#include <sstream>

namespace heathercross::standin {
namespace {

constexpr std::size_t MaxViolationsShown = 5;

} // namespace

std::string HistoryEvent::text(const char *Name) const {
  return Fields_[Name].toString().toStdString();
}

std::int64_t HistoryEvent::number(const char *Name) const {
  return Fields_[Name].toInteger();
}

HistoryEvents parseHistory(const std::string &Text, int &BadLines) {
  HistoryEvents Events;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);) {
    const QJsonDocument Document =
        QJsonDocument::fromJson(QByteArray::fromStdString(Line));
    if (!Document.isObject()) {
      ++BadLines;
      continue;
    }
    HistoryEvent Event;
    Event.Fields_ = Document.object();
    Event.TimeUs_ = Event.number("t");
    Event.Process_ = Event.text("p");
    Event.Kind_ = Event.text("k");
    Event.Id_ = Event.text("id");
    Events.push_back(std::move(Event));
  }
  return Events;
}

void sortHistory(HistoryEvents &Events) {
  std::ranges::stable_sort(Events, {}, &HistoryEvent::TimeUs_);
}

std::vector<CheckResult> checkAll(const HistoryEvents &Events) {
  return {checkAtMostOnce(Events),
          checkNotRun(Events),
          checkOwnAnswer(Events),
          checkOnePool(Events),
          checkAvailabilityBudget(Events),
          checkLeaving(Events),
          checkPlannedStop(Events),
          checkMaintenance(Events),
          checkConfiguration(Events),
          checkJobs(Events),
          checkTries(Events),
          checkUnknownOutcomes(Events)};
}

std::string formatReport(const std::vector<CheckResult> &Results) {
  std::ostringstream Out;
  for (const CheckResult &Result : Results) {
    Out << Result.Guarantee_ << ": checked " << Result.Checked_
        << ", violations " << Result.Violations_.size();
    if (!Result.Note_.empty())
      Out << ", " << Result.Note_;
    Out << '\n';
    const auto Shown = std::min(Result.Violations_.size(), MaxViolationsShown);
    for (std::size_t I = 0; I < Shown; ++I)
      Out << "  " << Result.Violations_[I] << '\n';
  }
  return Out.str();
}

bool allPassed(const std::vector<CheckResult> &Results) {
  return std::ranges::all_of(Results, [](const CheckResult &Result) {
    return Result.Violations_.empty();
  });
}

} // namespace heathercross::standin
