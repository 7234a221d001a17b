// A model of the platform's machine API.
#pragma once

#include "standin/common/http-server.h"

#include <QObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathercross::standin {

/// Machines of the pool "quoting" on a loopback port, named "m-0" and so on,
/// each with the worker "w-0" and so on. It checks fencing tokens and carries
/// out upkeeps; machines can't change their pool.
class MachineService : public QObject {
public:
  explicit MachineService(int Count);

  quint16 port() const { return Server_.port(); }
  /// The first names, as many as Count.
  static std::vector<std::string> names(int Count);

  /// What becomes of an order of an upkeep.
  struct Delays {
    std::chrono::milliseconds Execution_{0};
    /// From the execution on; without it the call gets no answer.
    std::optional<std::chrono::milliseconds> Answer_;
  };
  /// Delays the next upkeep, and calls OnOrder with the holder that orders it.
  void delayNextUpkeep(Delays D,
                       std::function<void(const std::string &)> OnOrder);

  /// Number of upkeeps that were carried out.
  std::size_t upkeeps() const { return Done_.size(); }
  /// The most machines that were in their upkeep at the same time.
  std::size_t mostAway() const { return MostAway_; }

private:
  struct Machine {
    bool Up_ = true;
    std::uint64_t Fence_ = 0;
  };
  struct Order {
    std::string Machine_;
    std::uint64_t Token_ = 0;
    std::int64_t Wave_ = 0;
  };

  void serve(const HttpRequest &R, const Responder &To);
  HttpResponse list() const;
  HttpResponse move(const HttpRequest &R);
  void upkeep(const HttpRequest &R, const Responder &To);
  HttpResponse carryOut(const Order &O);
  /// Keeps the highest token of the machine; false if this one is lower.
  bool accept(const Order &O);

  std::map<std::string, Machine> Machines_;
  std::set<std::pair<std::string, std::int64_t>> Done_;
  std::optional<Delays> NextDelays_;
  std::function<void(const std::string &)> OnOrder_;
  std::size_t Away_ = 0;
  std::size_t MostAway_ = 0;
  HttpServer Server_;
};

} // namespace heathercross::standin
