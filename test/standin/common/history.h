// The history of a run: one JSON line an event, appended to a file.
#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <cstdint>
#include <string>
#include <string_view>

namespace heathercross::standin {

/// Microseconds since 1970.
std::int64_t nowMicros();

/// One event that is being written; fields are appended in order.
class HistoryLine {
public:
  HistoryLine(std::string_view Process, std::string_view Kind,
              std::string_view Id, std::int64_t At = nowMicros());

  HistoryLine &text(std::string_view Name, std::string_view Value);
  HistoryLine &number(std::string_view Name, std::int64_t Value);
  /// A value that is JSON already.
  HistoryLine &json(std::string_view Name, std::string_view Value);
  /// The whole line with its end.
  std::string finish();

private:
  std::string Line_;
};

/// A file that takes each line with one write, so that a killed process loses
/// none that it had written.
class HistoryFile {
public:
  HistoryFile() = default;
  ~HistoryFile();
  HistoryFile(const HistoryFile &) = delete;
  HistoryFile &operator=(const HistoryFile &) = delete;

  /// Opens for appending; an empty name leaves the history off.
  bool open(const std::string &Name);
  bool on() const { return Descriptor_ >= 0; }
  void write(HistoryLine &Line);

private:
  int Descriptor_ = -1;
};

} // namespace heathercross::standin
