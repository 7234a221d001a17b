// A structured log that never blocks its writer.
#pragma once

#include "heathercross/units.h"

#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace heathercross::process {

/// Whether lines of an event are rate-limited.
enum class LineClass : std::uint8_t {
  /// Not rate-limited; dropped only when the buffer is full.
  Decision,
  /// Written for each task or call; rate-limited per event name.
  Routine,
};

/// Writes one JSON object per line: "t" (Unix time in milliseconds), "event",
/// and the event's fields. Lines are kept in a bounded buffer until the
/// descriptor accepts them. Lines that don't fit or exceed the rate limit are
/// dropped and counted; the number dropped by the rate limit is logged.
class EventLog : public QObject {
public:
  /// Logs to a file descriptor and makes it non-blocking.
  explicit EventLog(int Descriptor);
  ~EventLog() override;

  void write(const char *Event, QJsonObject Fields,
             LineClass Class = LineClass::Decision);
  /// Writes a line of class Routine. MakeFields returns its fields; it isn't
  /// called if the line is dropped.
  template <std::invocable Callback>
  void writeRoutine(const char *Event, Callback MakeFields) {
    if (const auto NowMs = admitNow(Event, LineClass::Routine))
      append(Event, MakeFields(), *NowMs);
  }
  /// The number of lines dropped so far.
  std::uint64_t dropped() const { return Dropped_; }
  /// Writes as many buffered lines as the descriptor accepts without blocking.
  void flush();

private:
  /// The lines of one routine event in the current second.
  struct Rate {
    std::int64_t Second_ = 0;
    std::uint32_t Lines_ = 0;
    std::uint32_t Skipped_ = 0;
  };

  /// Applies the rate limit to a line; false when the line is to be dropped.
  bool admit(const char *Event, LineClass Class, std::int64_t NowMs);
  /// The current time in milliseconds if a line may be written now.
  std::optional<std::int64_t> admitNow(const char *Event, LineClass Class);
  void append(const char *Event, QJsonObject Fields, std::int64_t NowMs);

  int Descriptor_;
  std::string Buffer_;
  std::map<std::string, Rate, std::less<>> Rates_;
  std::uint64_t Dropped_ = 0;
  QTimer FlushTimer_;
};

} // namespace heathercross::process
