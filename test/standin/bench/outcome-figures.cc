// Computes the figures of a policy run from the histories of its processes.
#include "outcome-figures.h"

#include <algorithm>

namespace heathercross::bench {
namespace {

using standin::HistoryEvent;
using standin::HistoryEvents;

/// Counts how often the work of each request completed successfully.
std::map<std::string, int> countCompletions(const HistoryEvents &Events) {
  std::map<std::string, int> Count;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "end" && E.text("result") == "done")
      ++Count[E.Id_];
  return Count;
}

/// The last answer to each request of a load generator.
std::map<std::string, const HistoryEvent *>
lastAnswers(const HistoryEvents &Events, const std::string &Load) {
  std::map<std::string, const HistoryEvent *> Last;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "answer" && E.Process_ == Load)
      Last[E.Id_] = &E;
  return Last;
}

} // namespace

OutcomeFigures computeFigures(const HistoryEvents &Events,
                              const std::string &Load, int WorkMs) {
  OutcomeFigures F;
  const auto Completed = countCompletions(Events);
  for (const auto &[Id, Answer] : lastAnswers(Events, Load)) {
    ++F.Requests_;
    auto &[Offered, Good] = F.RequestsByEntry_[Answer->number("port")];
    ++Offered;
    if (Answer->text("outcome") != "done") {
      ++F.NotDone_[Answer->text("outcome") + '/' + Answer->text("reason")];
      continue;
    }
    const auto Runs = Completed.find(Answer->text("request"));
    const bool ExactlyOnce = Runs != Completed.end() && Runs->second == 1;
    F.NotExactlyOnce_ += ExactlyOnce ? 0 : 1;
    const std::int64_t Wait =
        Answer->number("took_us") - WorkMs * std::int64_t{1000};
    F.WaitsUs_.push_back(Wait);
    F.WaitsByEntryUs_[Answer->number("port")].push_back(Wait);
    if (!ExactlyOnce || !Answer->number("own") || !Answer->number("within"))
      continue;
    ++F.Good_;
    ++Good;
  }
  return F;
}

std::int64_t countRefusals(const HistoryEvents &Events) {
  return std::ranges::count_if(
      Events, [](const HistoryEvent &E) { return E.Kind_ == "refuse"; });
}

std::int64_t quantile(std::vector<std::int64_t> Values, double Q) {
  if (Values.empty())
    return 0;
  const auto Index =
      static_cast<std::ptrdiff_t>(Q * static_cast<double>(Values.size() - 1));
  std::ranges::nth_element(Values, Values.begin() + Index);
  return Values[static_cast<std::size_t>(Index)];
}

double fairnessGap(const OutcomeFigures &F) {
  double Best = 0;
  double Worst = 1;
  for (const auto &[Port, Counts] : F.RequestsByEntry_) {
    const double Share =
        static_cast<double>(Counts.second) / static_cast<double>(Counts.first);
    Best = std::max(Best, Share);
    Worst = std::min(Worst, Share);
  }
  return F.RequestsByEntry_.empty() ? 0 : Best - Worst;
}

} // namespace heathercross::bench
