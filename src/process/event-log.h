// Structured log lines on standard output that never block.
#pragma once

#include "heathercross/units.h"

#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <cstdint>
#include <map>
#include <string>

namespace heathercross::process {

/// How a line is treated when there is much to say.
enum class LineClass : std::uint8_t {
  /// Always written, as long as there is room at all.
  Decision,
  /// Repeated for each task or call: only so many of a kind in a second.
  Routine,
};

/// Writes one JSON object a line: "t" (time of day, Unix milliseconds),
/// "event", and the event's fields. Lines wait in a bounded buffer; what
/// doesn't fit, or exceeds the rate, is counted and the count is logged.
class EventLog : public QObject {
public:
  /// Writes to this file descriptor, which becomes non-blocking.
  explicit EventLog(int Descriptor);
  ~EventLog() override;

  void write(const char *Event, QJsonObject Fields,
             LineClass Class = LineClass::Decision);
  /// Lines that were left out so far.
  std::uint64_t dropped() const { return Dropped_; }
  /// Writes what the descriptor takes now.
  void flush();

private:
  struct Rate {
    std::int64_t Second_ = 0;
    std::uint32_t Lines_ = 0;
    std::uint32_t Skipped_ = 0;
  };

  bool admits(const char *Event, LineClass Class, std::int64_t NowMs);
  void append(const char *Event, QJsonObject Fields, std::int64_t NowMs);

  int Descriptor_;
  std::string Buffer_;
  std::map<std::string, Rate> Rates_;
  std::uint64_t Dropped_ = 0;
  QTimer Flush_;
};

} // namespace heathercross::process
