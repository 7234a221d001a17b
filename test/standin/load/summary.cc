// Counts the outcomes of requests and their latencies.
#include "summary.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cstdio>

namespace heathercross::standin {
namespace {

std::string formatLine(const char *Format, auto... Values) {
  char Line[160];
  std::snprintf(Line, sizeof Line, Format, Values...);
  return Line;
}

} // namespace

void Summary::add(const Outcome &O) {
  ++Counts_[{O.Outcome_, O.Reason_}];
  ++Requests_;
  if (!O.OwnAnswer_)
    ++WrongAnswers_;
  if (O.Outcome_ != "done")
    return;
  LatenciesUs_.push_back(O.LatencyUs_);
  if (O.WithinWindow_)
    ++DoneWithinWindow_;
}

std::int64_t Summary::quantile(double Q) {
  if (LatenciesUs_.empty())
    return 0;
  const auto Index = static_cast<std::ptrdiff_t>(
      Q * static_cast<double>(LatenciesUs_.size() - 1));
  std::nth_element(LatenciesUs_.begin(), LatenciesUs_.begin() + Index,
                   LatenciesUs_.end());
  return LatenciesUs_[static_cast<std::size_t>(Index)];
}

std::string Summary::table(double Seconds) {
  std::string Out = formatLine("%-12s %-20s %10s\n", "outcome", "reason", "n");
  for (const auto &[Name, Count] : Counts_)
    Out += formatLine("%-12s %-20s %10lld\n", Name.first.c_str(),
                      Name.second.c_str(), static_cast<long long>(Count));
  const double Share = Requests_ == 0 ? 0
                                      : static_cast<double>(DoneWithinWindow_) /
                                            static_cast<double>(Requests_);
  Out += formatLine("requests %lld, tries %lld, %.0f/s offered, %.0f/s done\n",
                    static_cast<long long>(Requests_),
                    static_cast<long long>(Tries_),
                    static_cast<double>(Requests_) / Seconds,
                    static_cast<double>(LatenciesUs_.size()) / Seconds);
  Out += formatLine("done within window %.4f, answers of others %lld\n", Share,
                    static_cast<long long>(WrongAnswers_));
  Out += formatLine("latency ms p50 %.3f p99 %.3f p99.9 %.3f\n",
                    static_cast<double>(quantile(0.5)) / 1e3,
                    static_cast<double>(quantile(0.99)) / 1e3,
                    static_cast<double>(quantile(0.999)) / 1e3);
  return Out;
}

std::string Summary::json(double Seconds) {
  QJsonObject Outcomes;
  for (const auto &[Name, Count] : Counts_)
    Outcomes[QString::fromStdString(Name.first + '/' + Name.second)] =
        static_cast<qint64>(Count);
  const QJsonObject All{
      {"requests", static_cast<qint64>(Requests_)},
      {"tries", static_cast<qint64>(Tries_)},
      {"done", static_cast<qint64>(LatenciesUs_.size())},
      {"within_window", static_cast<qint64>(DoneWithinWindow_)},
      {"answers_of_others", static_cast<qint64>(WrongAnswers_)},
      {"seconds", Seconds},
      {"outcomes", Outcomes},
      {"p50_us", static_cast<qint64>(quantile(0.5))},
      {"p99_us", static_cast<qint64>(quantile(0.99))},
      {"p999_us", static_cast<qint64>(quantile(0.999))}};
  return QJsonDocument(All).toJson(QJsonDocument::Compact).toStdString() + '\n';
}

} // namespace heathercross::standin
