// Counts how often instances change their pool.
#pragma once

#include <QJsonArray>
#include <QJsonObject>

#include <cstdint>
#include <map>
#include <string>

namespace heathercross::bench {

/// Given lists of instances over time, counts the changes of pool.
class MoveWatch {
public:
  void see(const QJsonArray &Instances) {
    for (const QJsonValue I : Instances) {
      const std::string Pool = I["pool"].toString().toStdString();
      if (Pool.empty())
        continue;
      std::string &Known = Pools_[I["id"].toString().toStdString()];
      if (!Known.empty() && Known != Pool)
        ++Moves_;
      Known = Pool;
    }
  }
  std::int64_t moves() const { return Moves_; }

private:
  std::map<std::string, std::string> Pools_;
  std::int64_t Moves_ = 0;
};

} // namespace heathercross::bench
