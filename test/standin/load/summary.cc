// Counts what became of the requests and how long they took.
#include "summary.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cstdio>

namespace heathercross::standin {
namespace {

std::string formatted(const char *Format, auto... Values) {
  char Line[160];
  std::snprintf(Line, sizeof Line, Format, Values...);
  return Line;
}

} // namespace

void Summary::add(const Ending &E) {
  ++Counts_[{E.Outcome_, E.Reason_}];
  ++Total_;
  if (!E.OwnAnswer_)
    ++Foreign_;
  if (E.Outcome_ != "done")
    return;
  Latencies_.push_back(E.TookUs_);
  if (E.WithinWindow_)
    ++Within_;
}

std::int64_t Summary::quantile(double Q) {
  if (Latencies_.empty())
    return 0;
  const auto Index = static_cast<std::ptrdiff_t>(
      Q * static_cast<double>(Latencies_.size() - 1));
  std::nth_element(Latencies_.begin(), Latencies_.begin() + Index,
                   Latencies_.end());
  return Latencies_[static_cast<std::size_t>(Index)];
}

std::string Summary::table(double Seconds) {
  std::string Out = formatted("%-12s %-20s %10s\n", "outcome", "reason", "n");
  for (const auto &[Name, Count] : Counts_)
    Out += formatted("%-12s %-20s %10lld\n", Name.first.c_str(),
                     Name.second.c_str(), static_cast<long long>(Count));
  const double Share =
      Total_ == 0 ? 0
                  : static_cast<double>(Within_) / static_cast<double>(Total_);
  Out +=
      formatted("requests %lld, tries %lld, %.0f/s offered, %.0f/s done\n",
                static_cast<long long>(Total_), static_cast<long long>(Tries_),
                static_cast<double>(Total_) / Seconds,
                static_cast<double>(Latencies_.size()) / Seconds);
  Out += formatted("done within window %.4f, answers of others %lld\n", Share,
                   static_cast<long long>(Foreign_));
  Out += formatted("latency ms p50 %.3f p99 %.3f p99.9 %.3f\n",
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
  const QJsonObject All{{"requests", static_cast<qint64>(Total_)},
                        {"tries", static_cast<qint64>(Tries_)},
                        {"done", static_cast<qint64>(Latencies_.size())},
                        {"within_window", static_cast<qint64>(Within_)},
                        {"answers_of_others", static_cast<qint64>(Foreign_)},
                        {"seconds", Seconds},
                        {"outcomes", Outcomes},
                        {"p50_us", static_cast<qint64>(quantile(0.5))},
                        {"p99_us", static_cast<qint64>(quantile(0.99))},
                        {"p999_us", static_cast<qint64>(quantile(0.999))}};
  return QJsonDocument(All).toJson(QJsonDocument::Compact).toStdString() + '\n';
}

} // namespace heathercross::standin
