// Figures of a policy run, from what the load tool and the workers recorded.
#include "outcome-figures.h"

#include <algorithm>

namespace heathercross::bench {
namespace {

using standin::HistoryEvent;
using standin::HistoryEvents;

/// How often the work of each request ran to a good end.
std::map<std::string, int> completions(const HistoryEvents &Events) {
  std::map<std::string, int> Count;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "end" && E.text("result") == "done")
      ++Count[E.Id_];
  return Count;
}

/// The last answer to each request of a load.
std::map<std::string, const HistoryEvent *>
lastAnswers(const HistoryEvents &Events, const std::string &Load) {
  std::map<std::string, const HistoryEvent *> Last;
  for (const HistoryEvent &E : Events)
    if (E.Kind_ == "answer" && E.Process_ == Load)
      Last[E.Id_] = &E;
  return Last;
}

} // namespace

OutcomeFigures figuresOf(const HistoryEvents &Events, const std::string &Load,
                         int WorkMs) {
  OutcomeFigures F;
  const auto Completed = completions(Events);
  for (const auto &[Id, Answer] : lastAnswers(Events, Load)) {
    ++F.Requests_;
    auto &[Offered, Good] = F.GoodByEntry_[Answer->number("port")];
    ++Offered;
    if (Answer->text("outcome") != "done") {
      ++F.NotDone_[Answer->text("outcome") + '/' + Answer->text("reason")];
      continue;
    }
    const auto Runs = Completed.find(Answer->text("request"));
    const bool Once = Runs != Completed.end() && Runs->second == 1;
    F.Twice_ += Once ? 0 : 1;
    const std::int64_t Wait =
        Answer->number("took_us") - WorkMs * std::int64_t{1000};
    F.WaitsUs_.push_back(Wait);
    F.ByEntry_[Answer->number("port")].push_back(Wait);
    if (!Once || !Answer->number("own") || !Answer->number("within"))
      continue;
    ++F.Good_;
    ++Good;
  }
  return F;
}

std::int64_t refusals(const HistoryEvents &Events) {
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

double unfairness(const OutcomeFigures &F) {
  double Best = 0;
  double Worst = 1;
  for (const auto &[Port, Counts] : F.GoodByEntry_) {
    const double Share =
        static_cast<double>(Counts.second) / static_cast<double>(Counts.first);
    Best = std::max(Best, Share);
    Worst = std::min(Worst, Share);
  }
  return F.GoodByEntry_.empty() ? 0 : Best - Worst;
}

} // namespace heathercross::bench
