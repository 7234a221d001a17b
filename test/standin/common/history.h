// Writes the history of a run: one JSON line per event, appended to a file.
#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <cstdint>
#include <string>
#include <string_view>

namespace heathercross::standin {

/// Microseconds since 1970.
std::int64_t nowMicros();

/// Builds the JSON line of one event; fields keep their order.
class HistoryLine {
public:
  HistoryLine(std::string_view Process, std::string_view Kind,
              std::string_view Id, std::int64_t TimeUs = nowMicros());

  HistoryLine &text(std::string_view Name, std::string_view Value);
  HistoryLine &number(std::string_view Name, std::int64_t Value);
  /// Appends a value that is already JSON.
  HistoryLine &json(std::string_view Name, std::string_view Value);
  /// Returns the complete line including its newline, and moves it out.
  std::string finish();

private:
  std::string Line_;
};

/// Appends each line with a single write() and no buffer, so that a killed
/// process loses no line that it has written.
class HistoryFile {
public:
  HistoryFile() = default;
  ~HistoryFile();
  HistoryFile(const HistoryFile &) = delete;
  HistoryFile &operator=(const HistoryFile &) = delete;

  /// Opens a file for appending; an empty name disables the history.
  bool open(const std::string &Name);
  bool enabled() const { return Descriptor_ >= 0; }
  void write(HistoryLine &Line);

private:
  int Descriptor_ = -1;
};

} // namespace heathercross::standin
