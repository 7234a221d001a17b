// Counts how often instances change pool.
#pragma once

#include <QJsonArray>
#include <QJsonObject>

#include <cstdint>
#include <map>
#include <string>

namespace heathercross::bench {

/// Counts the pool changes between successive lists of instances.
class MoveCounter {
public:
  void update(const QJsonArray &Instances) {
    for (const QJsonValue I : Instances) {
      const std::string Pool = I["pool"].toString().toStdString();
      if (Pool.empty())
        continue;
      std::string &LastPool = Pools_[I["id"].toString().toStdString()];
      if (!LastPool.empty() && LastPool != Pool)
        ++Moves_;
      LastPool = Pool;
    }
  }
  std::int64_t moves() const { return Moves_; }

private:
  std::map<std::string, std::string> Pools_;
  std::int64_t Moves_ = 0;
};

} // namespace heathercross::bench
