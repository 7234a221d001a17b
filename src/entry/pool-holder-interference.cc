// What a pool's holder shows of the interference between images.
#include "entry/pool-holder.h"

#include <QJsonArray>
#include <QJsonObject>

namespace heathercross::entry {

void PoolHolder::countInterference() {
  const schedule::InterferenceStarts Starts =
      Scheduler_.takeInterferenceStarts();
  if (Starts.Avoided_ > 0)
    Context_.Metrics_.add("heathercross_starts_interference_avoided_total",
                          "Starts that left out a worker with room on which "
                          "the task is known to interfere with others.",
                          static_cast<double>(Starts.Avoided_));
  if (Starts.Beside_ > 0)
    Context_.Metrics_.add("heathercross_starts_interfering_total",
                          "Starts next to tasks with which the task is known "
                          "to interfere, for lack of other room.",
                          static_cast<double>(Starts.Beside_));
}

std::size_t PoolHolder::interferingPairs() const {
  return Scheduler_.interference().known().size();
}

QJsonArray PoolHolder::interferenceDump() const {
  QJsonArray Pairs;
  for (const auto &[Pair, Effect] : Scheduler_.interference().known())
    Pairs.append(
        QJsonObject{{"image", QString::fromStdString(Pair.Observed_)},
                    {"neighbour", QString::fromStdString(Pair.Neighbour_)},
                    {"tail_with", Effect.TailWith_},
                    {"tail_without", Effect.TailWithout_}});
  return Pairs;
}

} // namespace heathercross::entry
